"""Runners with rate limits in a soak, and the check that the limits are kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.known_limit import FIRST_IN_FLIGHT
from sesamepoint_standins.platform.limit_bound import LIMIT_KNOWN_S, max_requests, request_windows

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_standins.platform.process_bench import ProcessBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

# Well under the rate that the runners of a soak get without a limit.
LIMITS = (b'1', b'2')
MAX_CHANGE_PAUSE_S = 3.0


class SoakLimits:
    """Rate limits of one plain runner and the decode engine, from the beginning of a soak."""

    def __init__(self, bench: ProcessBench, rng: Random) -> None:
        """Draw limits and pauses from ``rng``."""
        self._rng = rng
        self._bench = bench
        self._runners: tuple[RunnerStandIn, ...] = ()
        self._began_at: float = 0
        self._ends_at: float = 0

    async def change_limits(self, duration_s: float) -> None:
        """Have the runners report a limit for ``duration_s`` seconds, and change it every few seconds."""
        self._runners = (self._bench.runners[0], self._bench.runners[-1])
        self._began_at = trio.current_time()
        self._ends_at = self._began_at + duration_s
        with trio.move_on_at(self._ends_at):
            while True:
                for runner in self._runners:
                    runner.limit_headers = (self._rng.choice(LIMITS),)
                await trio.sleep(self._rng.uniform(1, MAX_CHANGE_PAUSE_S))

    def clear_limits(self) -> None:
        """Have the runners report no limit any more."""
        for runner in self._runners:
            runner.limit_headers = ()

    def violations(self, front_starts: int) -> list[str]:
        """Return a message for each runner that got more requests than the users' bound allows.

        Each of the ``front_starts`` of instances adds the requests that an instance may send to a runner before
        that has answered it for the first time.
        """
        allowed = max_requests(max(float(limit) for limit in LIMITS)) + FIRST_IN_FLIGHT * front_starts
        messages = []
        for runner in self._runners:
            counted = [at for at in runner.arrivals if self._began_at + LIMIT_KNOWN_S <= at <= self._ends_at]
            highest = max((span.requests for span in request_windows(counted)), default=0)
            if highest > allowed:
                messages.append(f'limit: {runner.key} got {highest} in 4 s')
        return messages


__all__ = ('SoakLimits',)
