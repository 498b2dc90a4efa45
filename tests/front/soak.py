"""A soak of real front processes: faults from outside, by a proxy and by signals.

Run by hand: python -m tests.front.soak FIRST-SEED LAST-SEED [SECONDS]
Only promises are checked that hold at any speed of the machine.
"""

from __future__ import annotations

import math
import signal
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.platform.names import OPERATOR_KEY, OPERATOR_TOPIC, RUNNER_TOPIC
from sesamepoint_standins.platform.faulty_proxy import Fault, FaultyProxy, listen
from sesamepoint_standins.platform.processes import ProcessBed, caller_of
from sesamepoint_standins.platform.runner import Faults
from tests.front.builders import account, asked, asked_prompt, bearer, configuration, route
from tests.front.random_faults import Outcome, broken_of_request
from tests.front.soak_limits import SoakLimits
from tests.front.soak_words import Disturbance, SoakWords

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint_standins.platform.caller import Asked
    from sesamepoint_standins.platform.processes import Serve

    Step = Callable[[], Awaitable[None]]

FRONTS = 3
LENGTH_S = 12.0
REQUESTS_A_SECOND = 40.0
FAULT_PAUSE_S = 0.5
# After the faults all must be served again within this time.
RECOVER_S = 20.0
# Processes are frozen for no longer than this; a signal ends one that is frozen
# when it wakes, and is done within half a second.
LONGEST_FREEZE_S = 2.0
EARLY_END_S = LONGEST_FREEZE_S + 0.5
# The key that all requests show; it must be in no output.
KEY = 'k3yOfHarborOne77'
SHOWN = (bearer(KEY),)
# Within this time no two holders of the duty may take turns.
TURNS_S = 3.0
DENIED = 401
# A front that has just been started or woken has caught up after this time.
STARTED_S = 1.0
# Of the moments at which the store might go back it does so at these.
BACK_SHARE = 0.1


class SoakBed(ProcessBed):
    """A deployment of processes with a faulty proxy before the store and each runner."""

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        """Write settings to ``folder``."""
        super().__init__(nursery, folder)
        self.proxies: list[FaultyProxy] = []

    async def serve(self, serve: Serve) -> Address:
        """Serve behind a proxy; returns where the proxy listens."""
        proxy = FaultyProxy(await super().serve(serve))
        self.proxies.append(proxy)
        return Address(*await listen(proxy, self.nursery))


class Soak:
    """Requests and faults, drawn by lot."""

    def __init__(self, bed: SoakBed, rng: Random) -> None:
        """Draw all from ``rng``."""
        self.outcomes: list[Outcome] = []
        self._bed = bed
        self._rng = rng
        self._version = 1
        self._down: set[int] = set()
        # Drawn apart, so that what else befalls a seed stays as it was.
        self._limits = SoakLimits(bed, Random(FRONTS))
        self.words = SoakWords(bed, Random(FRONTS))
        self._restarts = 0
        self._steps: tuple[Step, ...] = (
            self._freeze_front,
            self._kill_front,
            self._stop_front,
            self._reload_front,
            self._harm_connections,
            self._harm_connections,
            self._reset_connections,
            self._harm_runner,
            self._publish,
            self._publish,
            self._take_store_back,
        )

    async def play(self, length_s: float) -> None:
        """Send requests and break things, then wait until all is well."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, nursery, length_s)
            nursery.start_soon(self._limits.name, length_s)
            nursery.start_soon(self.words.say, length_s)
            with trio.move_on_after(length_s):
                while True:
                    await trio.sleep(self._rng.expovariate(1 / FAULT_PAUSE_S))
                    nursery.start_soon(self._rng.choice(self._steps))
        self._heal()
        await self._until_served()

    def broken_promises(self) -> list[str]:
        """Return what callers and runners saw that must not be."""
        runners = (*self._bed.runners, *self.words.runners)
        runs = Counter(run.request_id for runner in runners for run in runner.runs if not run.prefill)
        found = [text for one in self.outcomes for text in broken_of_request(one, runs[one.asked.request_id])]
        known = {one.asked.request_id for one in self.outcomes}
        found += [f'unasked: {name}' for name in runs if name not in known]
        found += [f'denied: {one.asked.request_id}' for one in self.outcomes if one.seen.status == DENIED]
        found += self._bed.usage.broken(TURNS_S)
        found += self._limits.broken_promises(FRONTS + self._restarts)
        found += self.words.broken_promises({one.asked.request_id for one in self.outcomes if one.seen.status})
        return found + [f'a key in {log.name}' for log in self._bed.logs() if KEY in log.read_text(encoding='utf-8')]

    async def reload_front(self, place: int) -> None:
        """Tell a front that its settings have changed.

        Told before it handles signals, a start ends, and the platform starts
        the process again. From then on the signal must not end it.
        """
        front = self._bed.fronts[place]
        _signal(front.process, signal.SIGHUP)
        with trio.move_on_after(EARLY_END_S):
            await front.process.wait()
        if front.process.returncode != -signal.SIGHUP or front.has_started() or place in self._down:
            return
        self._down.add(place)
        self._restarts += 1
        began = trio.current_time()
        await self._bed.restart_front(place)
        self._down.discard(place)
        self._note_disturbed(place, began)

    async def _load(self, nursery: trio.Nursery, length_s: float) -> None:
        with trio.move_on_after(length_s):
            while True:
                await trio.sleep(self._rng.expovariate(REQUESTS_A_SECOND))
                nursery.start_soon(self._ask, self._request(), self._rng.randrange(FRONTS))

    async def _ask(self, req: Asked, front: int) -> bool:
        self.words.asked_at[req.request_id] = front
        seen = await caller_of(self._bed.fronts[front]).ask(req)
        self.outcomes.append(Outcome(req, seen, trio.current_time()))
        return seen.status == 200 and seen.whole

    def _request(self) -> Asked:
        limit_s = self._rng.choice((0.02, math.inf, math.inf, math.inf))
        path = self._rng.choice(('/card/a', '/thumb/a', '/tag/a', '/verdict/a'))
        if path in {'/card/a', '/thumb/a'}:
            return asked(path, deadline_s=2.0, extra=SHOWN)
        shared = (f'k{self._rng.randint(1, 9)}', 9000)
        return asked_prompt(path, 500, shared, output=20, deadline_s=3.0, first_limit_s=limit_s, extra=SHOWN)

    async def _freeze_front(self) -> None:
        place = self._rng.randrange(FRONTS)
        began = trio.current_time()
        front = self._bed.fronts[place].process
        _signal(front, signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(0.1, LONGEST_FREEZE_S))
        _signal(front, signal.SIGCONT)
        self._note_disturbed(place, began)

    async def _kill_front(self) -> None:
        await self._end_front(signal.SIGKILL)

    async def _stop_front(self) -> None:
        await self._end_front(signal.SIGTERM)

    async def _end_front(self, number: signal.Signals) -> None:
        """End a front and start it again; the signal may come more than once."""
        place = self._rng.randrange(FRONTS)
        process = self._bed.fronts[place].process
        _signal(process, number)
        if place in self._down:
            return
        self._down.add(place)
        began = trio.current_time()
        await process.wait()
        await trio.sleep(self._rng.uniform(0, 0.5))
        self._restarts += 1
        await self._bed.restart_front(place)
        self._down.discard(place)
        self._note_disturbed(place, began)

    async def _reload_front(self) -> None:
        await self.reload_front(self._rng.randrange(FRONTS))

    def _note_disturbed(self, place: int, began: float) -> None:
        self.words.disturbed[place].append(Disturbance(began, trio.current_time() + STARTED_S))

    async def _harm_connections(self) -> None:
        proxy = self._rng.choice(self._bed.proxies)
        proxy.delay_s = self._rng.uniform(0.02, 0.3)
        proxy.fault = self._rng.choice((Fault.delay, Fault.silence, Fault.lose_answers))
        await trio.sleep(self._rng.uniform(0.1, 2))
        proxy.fault = Fault.none

    async def _reset_connections(self) -> None:
        self._rng.choice(self._bed.proxies).reset_all()

    async def _harm_runner(self) -> None:
        names = ('rejects', 'fails', 'hangs', 'breaks_before_answer', 'answers_twice', 'unsigned')
        runner = self._rng.choice(self._bed.runners)
        runner.faults = Faults(**{self._rng.choice(names): True})
        await trio.sleep(self._rng.uniform(0.1, 1.5))
        runner.faults = Faults()

    async def _publish(self) -> None:
        self._version += 1
        base = _configuration(self._version)
        added = route(f'x{self._version}', '/x/', 'web', 'idempotent')
        self._bed.store.put(OPERATOR_TOPIC, OPERATOR_KEY, {**base, 'routes': [*base['routes'], added]})

    async def _take_store_back(self) -> None:
        """Have the store come back from an older copy; who wrote there writes again."""
        if self._rng.random() > BACK_SHARE:
            return
        self._bed.store.go_back(self._rng.uniform(0.2, 4))
        await trio.sleep(self._rng.uniform(0, 1))
        for runner in self._bed.runners:
            self._bed.store.put(RUNNER_TOPIC, runner.key, runner.record)
        await self._publish()

    def _heal(self) -> None:
        for proxy in self._bed.proxies:
            proxy.fault = Fault.none
        self._limits.end()
        for runner in self._bed.runners:
            runner.faults = Faults()

    async def _until_served(self) -> None:
        """Wait until each front serves each kind."""
        with trio.fail_after(RECOVER_S):
            for front in self._bed.fronts:
                await self._bed.until_ready(front)
            for place in range(FRONTS):
                for path in ('/card/a', '/thumb/a'):
                    await self._until(place, asked, path)
                for path in ('/tag/a', '/verdict/a'):
                    await self._until(place, asked_prompt, path)

    async def _until(self, place: int, build: Callable[..., Asked], path: str) -> None:
        while not await self._ask(build(path, extra=SHOWN), place):
            await trio.sleep(0.1)


def _configuration(version: int) -> dict[str, Any]:
    return configuration(version, tenants=[account('harbor', KEY, priority=1), account('marina', 'k3yOfMarina99')])


def _signal(process: trio.Process, number: signal.Signals) -> None:
    # It may have ended by an earlier one.
    with suppress(ProcessLookupError):
        process.send_signal(number)


async def play(seed: int, length_s: float = LENGTH_S) -> list[str]:
    """Play one seed and return the broken promises."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            bed = SoakBed(nursery, Path(folder))
            try:
                return await _play_on(bed, Random(seed), length_s)
            finally:
                bed.end()
                nursery.cancel_scope.cancel()


async def _play_on(bed: SoakBed, rng: Random, length_s: float) -> list[str]:
    await bed.start(_configuration(1))
    for _ in range(FRONTS):
        await bed.add_front()
    soak = Soak(bed, rng)
    await soak.words.begin()
    await soak.play(length_s)
    return soak.broken_promises()


def main() -> None:
    """Play a span of seeds and print what breaks."""
    length_s = float(sys.argv[3]) if len(sys.argv) > 3 else LENGTH_S
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        sys.stdout.write(f'seed {seed}: {trio.run(play, seed, length_s) or "kept"}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
