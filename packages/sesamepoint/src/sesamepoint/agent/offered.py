"""What the entries that ask here were asked for, added up."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.plan.demand import Offered

if TYPE_CHECKING:
    from sesamepoint.link.messages import BeatRequest

FRESH_S = 10.0
SUM_INTERVAL_S = 1.0


class Heard(NamedTuple):
    """One entry's word and when it came."""

    at: float
    offered: Offered


class OfferedTable:
    """The newest word of each entry that was heard lately.

    The sum is made anew at most once in ``SUM_INTERVAL_S``: made at every
    beat, it cost an agent with 350 entries more than a whole core.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._heard: dict[str, Heard] = {}
        self._total = Offered()
        self._summed_at = float('-inf')

    def hear(self, req: BeatRequest) -> None:
        """Take an entry's word."""
        self._heard[req.entry] = Heard(trio.current_time(), req.offered)

    def total(self) -> Offered:
        """Return the sum over the entries that were heard lately."""
        now = trio.current_time()
        if now - self._summed_at >= SUM_INTERVAL_S:
            self._heard = {entry: heard for entry, heard in self._heard.items() if now - heard.at < FRESH_S}
            self._total = self._sum()
            self._summed_at = now
        return self._total

    def _sum(self) -> Offered:
        total = Offered()
        for heard in self._heard.values():
            total = total.plus(heard.offered)
        return total


__all__ = ('OfferedTable',)
