"""Instances that restart while the runners of a plain service fail all requests, in virtual time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, new_request, plain_runner
from tests.front.retry_budget.repeat_oracle import BudgetBound, WorstWindow, repeat_times, worst_window

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

FRONTS = 4
RUNNERS = 4
BOUND = BudgetBound(ratio=0.2, slack=50, window_s=10)
# Time between the end of a process and the start of the next one, in seconds.
RESTART_S = 0.5
ROLL_GAP_S = 0.6
SECOND_ROLL_S = 5.5


class LoadPlan(NamedTuple):
    """Requests a second, and the times in seconds without and with failures."""

    requests_per_s: float = 12
    calm_s: float = 25
    failing_s: float = 25


class RestartingInstances:
    """A load on instances that are stopped, killed and started again."""

    def __init__(self, bench: PlatformBench, rng: Random, fronts: int = FRONTS, plan: LoadPlan | None = None) -> None:
        """Send to the instances of ``bench`` that are up."""
        self.bench = bench
        self.sent_at: list[float] = []
        self._rng = rng
        self._plan = plan or LoadPlan()
        self._up = set(range(1, fronts + 1))

    async def run(self, disturb: Callable[[RestartingInstances], Awaitable[None]]) -> WorstWindow:
        """Send requests; let all runners fail after a calm time, and ``disturb`` then; return the worst window."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_load)
            await trio.sleep(self._plan.calm_s)
            for runner in self.bench.runners.values():
                runner.faults.fails = True
            with trio.move_on_after(self._plan.failing_s):
                await disturb(self)
                await trio.sleep_forever()
            nursery.cancel_scope.cancel()
        return worst_window(BOUND, self.sent_at, repeat_times(self.bench.runners.values()))

    async def roll(self) -> None:
        """Stop all instances in turn, each of which comes back."""
        async with trio.open_nursery() as nursery:
            for number in sorted(self._up):
                nursery.start_soon(self.stop, number)
                await trio.sleep(ROLL_GAP_S)

    async def stop(self, number: int) -> None:
        """Stop an instance in order and start it again."""
        await self.bench.fronts[f'front-{number}'].wind_down()
        await self.kill(number)

    async def kill(self, number: int) -> None:
        """Kill an instance and start it again."""
        self._up.discard(number)
        self.bench.kill_front(f'front-{number}')
        await trio.sleep(RESTART_S)
        self.bench.add_front(number)
        self._up.add(number)

    def move_callers(self, numbers: Iterable[int]) -> None:
        """Send no more requests to some instances, which live on."""
        self._up.difference_update(numbers)

    async def kill_all(self) -> None:
        """Kill all instances at once."""
        async with trio.open_nursery() as nursery:
            for number in sorted(self._up):
                nursery.start_soon(self.kill, number)

    async def _send_load(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.expovariate(self._plan.requests_per_s))
                if self._up:
                    self.sent_at.append(trio.current_time())
                    nursery.start_soon(self._send, self._rng.choice(sorted(self._up)))

    async def _send(self, front: int) -> None:
        await self.bench.new_caller(f'front-{front}').send(new_request('/thumb/a'))


async def two_rolls(load: RestartingInstances) -> None:
    """Stop all instances in turn, and again before the first ones have forgotten it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.roll)
        await trio.sleep(SECOND_ROLL_S)
        nursery.start_soon(load.roll)


async def repeated_kills(load: RestartingInstances) -> None:
    """Kill all instances three times in one window."""
    for _ in range(3):
        await load.kill_all()
        await trio.sleep(2)


async def no_disturbance(_: RestartingInstances) -> None:
    """Let all instances live on."""


async def run_restarts(
    seed: int, disturb: Callable[[RestartingInstances], Awaitable[None]], fronts: int = FRONTS
) -> WorstWindow:
    """Run one load on a new deployment and return the worst window."""
    runners = [plain_runner(number) for number in range(1, RUNNERS + 1)]
    async with open_bench(configuration(), runners, fronts=fronts) as bench:
        return await RestartingInstances(bench, Random(seed), fronts).run(disturb)


__all__ = ('LoadPlan', 'RestartingInstances', 'no_disturbance', 'repeated_kills', 'run_restarts', 'two_rolls')
