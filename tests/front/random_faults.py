"""Random faults in a simulated deployment, and checks of what callers and runners saw.

Run by hand: python -m tests.front.random_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import math
import sys
from collections import Counter
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.platform.names import OPERATOR_TOPIC, RUNNER_TOPIC
from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from sesamepoint_standins.platform.runner import Faults, RunnerStandIn
from sesamepoint_standins.virtual_time import quiet_logs, run_virtual
from tests.front.builders import asked, asked_prompt, configuration, engine, plain_runner, route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint_standins.platform.caller import Asked, Seen

    Play = Callable[[int], Awaitable[list[str]]]

LENGTH_S = 8.0
REQUESTS_A_SECOND = 60.0
FAULT_PAUSE_S = 0.4
FRONTS = 3
DRAIN_S = 2.0
GONE_S = 0.5
SUCCESS = 200
NOT_RUN = 503
ONCE = frozenset(('/card/a', '/verdict/a'))


quiet_logs()


class Outcome(NamedTuple):
    """A request, its answer, and when it ended at its caller."""

    asked: Asked
    seen: Seen
    left_at: float


class World:
    """A deployment with random load, whose runners, store and network fail at random."""

    length_s = LENGTH_S

    def __init__(self, bed: PlatformBed, rng: Random) -> None:
        """Draw all random choices from ``rng``."""
        self.bed = bed
        self.outcomes: list[Outcome] = []
        self.past: list[RunnerStandIn] = []
        self.left_at: dict[str, float] = {}
        self._rng = rng
        self._version = 1
        self._serial = 100
        self._steps: tuple[Callable[[], None], ...] = (
            self._fail_somewhere,
            self._heal,
            self._drain_one,
            self._crash_one,
            self._store_down,
            self._store_slow,
            self._compact,
            self._cut,
            self._lose_datagrams,
            self._publish,
        )

    async def play(self) -> None:
        """Send requests and cause faults until the duration is over."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, nursery)
            with trio.move_on_after(self.length_s):
                while True:
                    await trio.sleep(self._rng.expovariate(1 / FAULT_PAUSE_S))
                    self._rng.choice(self._steps)()

    def runners(self) -> list[RunnerStandIn]:
        """Return all runners, those that have ended included."""
        return [*self.past, *self.bed.runners.values()]

    async def _load(self, nursery: trio.Nursery) -> None:
        started_at = trio.current_time()
        while trio.current_time() - started_at < self.length_s:
            await trio.sleep(self._rng.expovariate(REQUESTS_A_SECOND))
            nursery.start_soon(self._ask, self._request(), self._rng.randint(1, FRONTS))

    async def _ask(self, req: Asked, front: int) -> None:
        answer = await self.bed.caller(f'front-{front}').ask(req)
        self.outcomes.append(Outcome(req, answer, trio.current_time()))

    def _request(self) -> Asked:
        deadline_s = self._rng.choice((0.05, 0.3, 2.0, 2.0, 2.0))
        path = self._rng.choice(('/card/a', '/thumb/a', '/tag/a', '/tag/a', '/verdict/a'))
        if path in {'/card/a', '/thumb/a'}:
            return asked(path, deadline_s=deadline_s)
        tokens = 3000 if path == '/verdict/a' else 300
        # Some callers disconnect long before their deadline.
        timeout_s = self._rng.choice((0.03, math.inf, math.inf))
        shared_prefix = (f'k{self._rng.randint(1, 20)}', 9000)
        return asked_prompt(path, tokens, shared_prefix, deadline_s=deadline_s, first_limit_s=timeout_s)

    def _any_runner(self) -> RunnerStandIn:
        return self._rng.choice([runner for runner in self.bed.runners.values() if not runner.leaving])

    def _fail_somewhere(self) -> None:
        name = self._rng.choice(('rejects', 'fails', 'hangs', 'breaks_before_answer', 'answers_twice', 'unsigned'))
        in_stream = self._rng.choice((True, False, False))
        self._any_runner().faults = Faults(breaks_at_event=2) if in_stream else Faults(**{name: True})

    def _heal(self) -> None:
        for runner in self.bed.runners.values():
            runner.faults = Faults()
        self.bed.store.down = False
        self.bed.store.slow_s = 0
        self.bed.network.cut.clear()
        self.bed.network.datagrams_lost = False

    def _drain_one(self) -> None:
        """Start draining a runner, and add a replacement; do nothing while the store is down or slow."""
        if self.bed.store.down or self.bed.store.slow_s:
            return
        old = self._any_runner()
        self._replacement(old)
        self.left_at[old.key] = trio.current_time()
        self.bed.drain_runner(old.key)

    def _crash_one(self) -> None:
        """End a runner, start another one at its address at once, and then delete the old registration."""
        old = self._any_runner()
        self.bed.network.close(old.address)
        self.past.append(self.bed.runners.pop(old.key))
        new = self._twin(old, old.address)
        self.bed.add_runner(new)
        self.bed.store.put(RUNNER_TOPIC, old.key, None)

    def _replacement(self, old: RunnerStandIn) -> None:
        self._serial += 1
        self.bed.add_runner(self._twin(old, Address(f'10.5.0.{self._serial}', 80)))

    def _twin(self, old: RunnerStandIn, address: Address) -> RunnerStandIn:
        self._serial += 1
        return RunnerStandIn(f'i-{self._serial}', old.service, address, old.zone, stage=old.stage, speed=old.speed)

    def _store_down(self) -> None:
        self.bed.store.down = True
        self._excuse_unread_drains()

    def _store_slow(self) -> None:
        self.bed.store.slow_s = 0.25
        self._excuse_unread_drains()

    def _excuse_unread_drains(self) -> None:
        """Skip the check of drains so recent that the store may not have delivered them before it failed."""
        now = trio.current_time()
        self.left_at = {key: left_at for key, left_at in self.left_at.items() if now - left_at > DRAIN_S}

    def _compact(self) -> None:
        self.bed.store.compact(self._rng.choice((OPERATOR_TOPIC, RUNNER_TOPIC)))

    def _cut(self) -> None:
        front = self._rng.choice(list(self.bed.fronts.values())).cfg.host
        self.bed.network.cut.add(frozenset((front, self._any_runner().address.host)))

    def _lose_datagrams(self) -> None:
        self.bed.network.datagrams_lost = True

    def _publish(self) -> None:
        self._version += 1
        base = configuration(self._version)
        self.bed.publish({**base, 'routes': [*base['routes'], route(f'x{self._version}', '/x/', 'web', 'idempotent')]})


def broken_promises(world: World) -> list[str]:
    """Return a message for each violation that callers or runners saw."""
    ended_at = {outcome.asked.request_id: outcome.left_at for outcome in world.outcomes}
    runs = Counter(run.request_id for runner in world.runners() for run in runner.runs if not run.prefill)
    messages: list[str] = []
    for outcome in world.outcomes:
        messages.extend(broken_of_request(outcome, runs[outcome.asked.request_id]))
    for runner in world.runners():
        messages.extend(_of_runner(runner, ended_at, world.left_at.get(runner.key, math.inf)))
    return messages


def _of_runner(runner: RunnerStandIn, left_at: dict[str, float], drained_at: float) -> list[str]:
    messages = []
    for run in runner.runs:
        request_ended_at = left_at.get(run.request_id)
        if request_ended_at is None:
            messages.append(f'unasked: no caller sent {run.request_id}')
        elif run.started - request_ended_at > GONE_S:
            messages.append(f'gone: {run.request_id} reached {runner.key} after it had ended at its caller')
        if run.started - drained_at > DRAIN_S:
            messages.append(f'drain: {run.request_id} reached {runner.key} long after it began to drain')
    return messages


def broken_of_request(one: Outcome, runs: int) -> list[str]:
    """Return a message for each violation of a request that ran ``runs`` times."""
    messages = []
    req, answer = one.asked, one.seen
    if answer.status == SUCCESS and answer.whole and answer.body != req.expected:
        messages.append(f'mixed: {req.request_id} got a body that is not its own')
    if answer.status == SUCCESS and not req.expected.startswith(answer.body):
        messages.append(f'order: {req.request_id} got parts that are not the beginning of its answer')
    if req.path in ONCE and runs > 1:
        messages.append(f'twice: {req.request_id} ran {runs} times')
    if answer.status == NOT_RUN and runs:
        messages.append(f'refused: {req.request_id} was answered as not run, but ran')
    return messages


async def play(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    rng = Random(seed)
    runners = [plain_runner(1), plain_runner(2), plain_runner(3)]
    runners += [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 6)]
    async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
        simulation = World(bench, rng)
        await simulation.play()
        return broken_promises(simulation)


def main(play_one: Play) -> None:
    """Run a range of seeds and print their violations."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        sys.stdout.write(f'seed {seed}: {run_virtual(play_one, seed, seed=seed) or "no violations"}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main(play)
