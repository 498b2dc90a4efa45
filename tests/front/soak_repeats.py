"""Repeats at a plain service in a soak, while all of its runners fail for a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from sesamepoint_standins.platform.runner_state import Faults
from tests.front.builders import route
from tests.front.retry_budget.repeat_oracle import BudgetBound, repeat_times, worst_window

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sesamepoint_standins.platform.process_bench import ProcessBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

SERVICE = 'shop'
PATH = '/shop/a'
RUNNERS = 3
# The bound in the settings of the fronts.
BOUND = BudgetBound(ratio=0.2, slack=50, window_s=10)
# Times in seconds without and with failures of the whole service, and its requests a second.
CALM_S = (1.0, 4.0)
FAILING_S = (2.0, 6.0)
REQUESTS_PER_S = 30.0


def shop_route() -> dict[str, Any]:
    """Return the route of the service that fails."""
    return route('shop', '/shop/', SERVICE, 'idempotent', timeout_ms=1000)


def shop_service() -> dict[str, Any]:
    """Return the service that fails."""
    return {'name': SERVICE, 'health_path': '/healthz', 'max_conns': 110}


class SoakRepeats:
    """Makes a whole service fail now and then, and counts repeats in each window of the budget."""

    def __init__(self, bench: ProcessBench, rng: Random) -> None:
        """Count what arrives at the runners of ``bench``."""
        self._bench = bench
        self._rng = rng
        self._sent_at: list[float] = []
        self.runners: list[RunnerStandIn] = []
        # Fronts that the callers of the service go to now, by number.
        self._fronts: tuple[int, ...] = ()

    async def start_runners(self) -> None:
        """Start the runners of the service, which no other fault of the soak concerns."""
        self.runners = [await self._bench.add_runner(SERVICE) for _ in range(RUNNERS)]
        for runner in self.runners:
            self._bench.runners.remove(runner)

    async def run(self, duration_s: float, ask: Callable[[str, int], Awaitable[object]], fronts: int) -> None:
        """Send requests by ``ask`` to some of ``fronts`` fronts at a time, and let all runners fail again and again."""
        self._fronts = tuple(range(fronts))
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                nursery.start_soon(self._change_faults, duration_s)
                nursery.start_soon(self._move_callers, duration_s, fronts)
                while True:
                    await trio.sleep(self._rng.expovariate(REQUESTS_PER_S))
                    self._sent_at.append(trio.current_time())
                    nursery.start_soon(ask, PATH, self._rng.choice(self._fronts))

    def violations(self) -> list[str]:
        """Return a message if a window has more repeats than the budget allows."""
        window = worst_window(BOUND, self._sent_at, repeat_times(self.runners))
        if window.excess <= 0:
            return []
        return [f'budget: {window.repeats} repeats for {window.requests} requests, {window.allowed:g} allowed']

    async def _move_callers(self, duration_s: float, fronts: int) -> None:
        """Send all requests to some of the fronts, and to others later."""
        with trio.move_on_after(duration_s):
            while True:
                await trio.sleep(self._rng.uniform(*CALM_S))
                self._fronts = tuple(self._rng.sample(range(fronts), self._rng.randint(1, fronts)))

    async def _change_faults(self, duration_s: float) -> None:
        with trio.move_on_after(duration_s):
            while True:
                await trio.sleep(self._rng.uniform(*CALM_S))
                self._set_failing(fails=True)
                await trio.sleep(self._rng.uniform(*FAILING_S))
                self._set_failing(fails=False)
        self._set_failing(fails=False)

    def _set_failing(self, *, fails: bool) -> None:
        for runner in self.runners:
            runner.faults = Faults(fails=fails)


__all__ = ('SoakRepeats',)
