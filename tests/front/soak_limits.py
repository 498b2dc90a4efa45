"""Runners of a soak that name limits, and what they get."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.belief import FIRST_SENDS
from sesamepoint_standins.platform.limit_bound import KNOWN_S, bound, spans

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_standins.platform.processes import ProcessBed
    from sesamepoint_standins.platform.runner import RunnerStandIn

# Well under what the runners of a soak are sent without a limit.
LIMITS = (b'1', b'2')
CHANGE_S = 3.0


class SoakLimits:
    """Has one plain runner and the engine that decodes name limits, from the beginning."""

    def __init__(self, bed: ProcessBed, rng: Random) -> None:
        """Draw limits from ``rng``."""
        self._rng = rng
        self._bed = bed
        self._runners: tuple[RunnerStandIn, ...] = ()
        self._began: float = 0
        self._ended: float = 0

    async def name(self, length_s: float) -> None:
        """Name limits for ``length_s``, others after some seconds."""
        self._runners = (self._bed.runners[0], self._bed.runners[-1])
        self._began = trio.current_time()
        self._ended = self._began + length_s
        with trio.move_on_at(self._ended):
            while True:
                for runner in self._runners:
                    runner.names_limit = (self._rng.choice(LIMITS),)
                await trio.sleep(self._rng.uniform(1, CHANGE_S))

    def end(self) -> None:
        """Name none any more."""
        for runner in self._runners:
            runner.names_limit = ()

    def broken_promises(self, starts: int) -> list[str]:
        """Return the runners that got more than users allow, with ``starts`` of fronts that knew nothing at first."""
        allowed = bound(max(float(limit) for limit in LIMITS)) + FIRST_SENDS * starts
        found = []
        for runner in self._runners:
            counted = [at for at in runner.arrivals if self._began + KNOWN_S <= at <= self._ended]
            got = max((span.requests for span in spans(counted)), default=0)
            if got > allowed:
                found.append(f'limit: {runner.key} got {got} in 4 s')
        return found


__all__ = ('SoakLimits',)
