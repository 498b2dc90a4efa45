"""Sum of the demands that instances report in their heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.plan.demand import Offered

if TYPE_CHECKING:
    from sesamepoint.link.messages import BeatRequest

FRESH_S = 10.0
SUM_INTERVAL_S = 1.0


class Heard(NamedTuple):
    """Demand that one instance reported, and the time it arrived."""

    at: float
    offered: Offered


class OfferedTable:
    """Newest reported demand of each instance with a recent heartbeat.

    The sum is recomputed at most once in ``SUM_INTERVAL_S``. Recomputed at
    every heartbeat, it took an agent with 350 instances more than a core.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._heard: dict[str, Heard] = {}
        self._total = Offered()
        self._summed_at = float('-inf')

    def hear(self, req: BeatRequest) -> None:
        """Store the demand from an instance's heartbeat."""
        self._heard[req.entry] = Heard(trio.current_time(), req.offered)

    def total(self) -> Offered:
        """Return the sum over the instances with a recent heartbeat."""
        now = trio.current_time()
        if now - self._summed_at >= SUM_INTERVAL_S:
            self._heard = {name: report for name, report in self._heard.items() if now - report.at < FRESH_S}
            self._total = self._sum()
            self._summed_at = now
        return self._total

    def _sum(self) -> Offered:
        total = Offered()
        for report in self._heard.values():
            total = total.plus(report.offered)
        return total


__all__ = ('OfferedTable',)
