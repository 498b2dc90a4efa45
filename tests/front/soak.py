"""Soak test of real instance processes, with faults caused by proxies, signals, runners and the store.

Run by hand: python -m tests.front.soak FIRST-SEED LAST-SEED [SECONDS]
It checks only what holds at any speed of the machine.
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
# Time in seconds in which every instance must serve every kind of request after the last fault.
RECOVER_S = 20.0
# Processes are stopped for no longer than this. A signal that ends a stopped process takes
# effect when the process continues, and it exits within half a second.
LONGEST_FREEZE_S = 2.0
EARLY_END_S = LONGEST_FREEZE_S + 0.5
# The key in all requests; it must not appear in any output.
KEY = 'k3yOfHarborOne77'
SHOWN = (bearer(KEY),)
# Least time between two different holders of the duty, in seconds.
TURNS_S = 3.0
DENIED = 401
# Time that an instance needs to catch up after a start or a freeze, in seconds.
STARTED_S = 1.0
# Share of the chosen rollback steps that roll the store back.
BACK_SHARE = 0.1


class SoakBed(ProcessBed):
    """A deployment of processes with a faulty proxy in front of the store and of each runner."""

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        """Write the settings of the processes to ``folder``."""
        super().__init__(nursery, folder)
        self.proxies: list[FaultyProxy] = []

    async def serve(self, serve: Serve) -> Address:
        """Serve behind a proxy; return the address of the proxy."""
        proxy = FaultyProxy(await super().serve(serve))
        self.proxies.append(proxy)
        return Address(*await listen(proxy, self.nursery))


class Soak:
    """Random load and faults, and what callers and runners saw."""

    def __init__(self, bed: SoakBed, rng: Random) -> None:
        """Draw all random choices from ``rng``, except those of rate limits and runner status."""
        self.outcomes: list[Outcome] = []
        self._bed = bed
        self._rng = rng
        self._version = 1
        self._down: set[int] = set()
        # These draw from generators of their own, so that adding them changed none of the
        # other choices of a seed.
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
        """Send requests and cause faults, then wait until all kinds of requests are served."""
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
        """Return a message for each violation that callers or runners saw."""
        runners = (*self._bed.runners, *self.words.runners)
        runs = Counter(run.request_id for runner in runners for run in runner.runs if not run.prefill)
        messages = [text for one in self.outcomes for text in broken_of_request(one, runs[one.asked.request_id])]
        sent_ids = {one.asked.request_id for one in self.outcomes}
        messages += [f'unasked: no caller sent {run_id}' for run_id in runs if run_id not in sent_ids]
        messages += [f'denied: {one.asked.request_id}' for one in self.outcomes if one.seen.status == DENIED]
        messages += self._bed.usage.broken(TURNS_S)
        messages += self._limits.broken_promises(FRONTS + self._restarts)
        messages += self.words.broken_promises({one.asked.request_id for one in self.outcomes if one.seen.status})
        return messages + [
            f'the API key is in {log.name}' for log in self._bed.logs() if KEY in log.read_text(encoding='utf-8')
        ]

    async def reload_front(self, place: int) -> None:
        """Send a front the signal to reload its settings.

        A signal that comes before a starting process handles signals ends the process, and
        the platform starts it again. After that point the signal must not end it.
        """
        front = self._bed.fronts[place]
        _signal(front.process, signal.SIGHUP)
        with trio.move_on_after(EARLY_END_S):
            await front.process.wait()
        if front.process.returncode != -signal.SIGHUP or front.has_started() or place in self._down:
            return
        self._down.add(place)
        self._restarts += 1
        began_at = trio.current_time()
        await self._bed.restart_front(place)
        self._down.discard(place)
        self._note_disturbed(place, began_at)

    async def _load(self, nursery: trio.Nursery, length_s: float) -> None:
        with trio.move_on_after(length_s):
            while True:
                await trio.sleep(self._rng.expovariate(REQUESTS_A_SECOND))
                nursery.start_soon(self._ask, self._request(), self._rng.randrange(FRONTS))

    async def _ask(self, req: Asked, front: int) -> bool:
        self.words.asked_at[req.request_id] = front
        answer = await caller_of(self._bed.fronts[front]).ask(req)
        self.outcomes.append(Outcome(req, answer, trio.current_time()))
        return answer.status == 200 and answer.whole

    def _request(self) -> Asked:
        timeout_s = self._rng.choice((0.02, math.inf, math.inf, math.inf))
        path = self._rng.choice(('/card/a', '/thumb/a', '/tag/a', '/verdict/a'))
        if path in {'/card/a', '/thumb/a'}:
            return asked(path, deadline_s=2.0, extra=SHOWN)
        shared_prefix = (f'k{self._rng.randint(1, 9)}', 9000)
        return asked_prompt(path, 500, shared_prefix, output=20, deadline_s=3.0, first_limit_s=timeout_s, extra=SHOWN)

    async def _freeze_front(self) -> None:
        index = self._rng.randrange(FRONTS)
        began_at = trio.current_time()
        front = self._bed.fronts[index].process
        _signal(front, signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(0.1, LONGEST_FREEZE_S))
        _signal(front, signal.SIGCONT)
        self._note_disturbed(index, began_at)

    async def _kill_front(self) -> None:
        await self._end_front(signal.SIGKILL)

    async def _stop_front(self) -> None:
        await self._end_front(signal.SIGTERM)

    async def _end_front(self, number: signal.Signals) -> None:
        """Send a front a signal that ends it, and restart it unless another task is doing that already."""
        index = self._rng.randrange(FRONTS)
        process = self._bed.fronts[index].process
        _signal(process, number)
        if index in self._down:
            return
        self._down.add(index)
        began_at = trio.current_time()
        await process.wait()
        await trio.sleep(self._rng.uniform(0, 0.5))
        self._restarts += 1
        await self._bed.restart_front(index)
        self._down.discard(index)
        self._note_disturbed(index, began_at)

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
        """Roll the store back to an older copy now and then; runners and the operator write their records again."""
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
        """Wait until each front serves each kind of request."""
        with trio.fail_after(RECOVER_S):
            for front in self._bed.fronts:
                await self._bed.until_ready(front)
            for index in range(FRONTS):
                for path in ('/card/a', '/thumb/a'):
                    await self._until(index, asked, path)
                for path in ('/tag/a', '/verdict/a'):
                    await self._until(index, asked_prompt, path)

    async def _until(self, place: int, build: Callable[..., Asked], path: str) -> None:
        while not await self._ask(build(path, extra=SHOWN), place):
            await trio.sleep(0.1)


def _configuration(version: int) -> dict[str, Any]:
    return configuration(version, tenants=[account('harbor', KEY, priority=1), account('marina', 'k3yOfMarina99')])


def _signal(process: trio.Process, number: signal.Signals) -> None:
    # An earlier signal may have ended the process.
    with suppress(ProcessLookupError):
        process.send_signal(number)


async def play(seed: int, length_s: float = LENGTH_S) -> list[str]:
    """Run one seed and return the violations."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            bench = SoakBed(nursery, Path(folder))
            try:
                return await _play_on(bench, Random(seed), length_s)
            finally:
                bench.end()
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
    """Run a range of seeds and print their violations."""
    length_s = float(sys.argv[3]) if len(sys.argv) > 3 else LENGTH_S
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        sys.stdout.write(f'seed {seed}: {trio.run(play, seed, length_s) or "no violations"}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
