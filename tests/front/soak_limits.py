"""Runners with rate limits in a soak, and the check that the limits are kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.belief import FIRST_SENDS
from sesamepoint_standins.platform.limit_bound import KNOWN_S, bound, spans

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_standins.platform.processes import ProcessBed
    from sesamepoint_standins.platform.runner import RunnerStandIn

# Well under the rate that the runners of a soak get without a limit.
LIMITS = (b'1', b'2')
CHANGE_S = 3.0


class SoakLimits:
    """Rate limits of one plain runner and the decode engine, from the beginning of a soak."""

    def __init__(self, bed: ProcessBed, rng: Random) -> None:
        """Draw limits and pauses from ``rng``."""
        self._rng = rng
        self._bed = bed
        self._runners: tuple[RunnerStandIn, ...] = ()
        self._began: float = 0
        self._ended: float = 0

    async def name(self, length_s: float) -> None:
        """Have the runners report a limit for ``length_s`` seconds, and change it every few seconds."""
        self._runners = (self._bed.runners[0], self._bed.runners[-1])
        self._began = trio.current_time()
        self._ended = self._began + length_s
        with trio.move_on_at(self._ended):
            while True:
                for runner in self._runners:
                    runner.names_limit = (self._rng.choice(LIMITS),)
                await trio.sleep(self._rng.uniform(1, CHANGE_S))

    def end(self) -> None:
        """Have the runners report no limit any more."""
        for runner in self._runners:
            runner.names_limit = ()

    def broken_promises(self, starts: int) -> list[str]:
        """Return a message for each runner that got more requests than the users' bound allows.

        Each of the ``starts`` of instances adds the requests that an instance may send to a runner before
        that has answered it for the first time.
        """
        allowed = bound(max(float(limit) for limit in LIMITS)) + FIRST_SENDS * starts
        messages = []
        for runner in self._runners:
            counted = [at for at in runner.arrivals if self._began + KNOWN_S <= at <= self._ended]
            highest = max((span.requests for span in spans(counted)), default=0)
            if highest > allowed:
                messages.append(f'limit: {runner.key} got {highest} in 4 s')
        return messages


__all__ = ('SoakLimits',)
