"""What the entries that ask here were asked for, added up."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.plan.demand import Offered

if TYPE_CHECKING:
    from sesamepoint.link.messages import BeatRequest

FRESH_S = 5.0


class Heard(NamedTuple):
    """One entry's word and when it came."""

    at: float
    offered: Offered


class OfferedTable:
    """The newest word of each entry that was heard lately."""

    def __init__(self) -> None:
        """Start empty."""
        self._heard: dict[str, Heard] = {}

    def hear(self, req: BeatRequest) -> None:
        """Take an entry's word and drop those of entries gone silent."""
        now = trio.current_time()
        self._heard[req.entry] = Heard(now, req.offered)
        self._heard = {entry: heard for entry, heard in self._heard.items() if now - heard.at < FRESH_S}

    def total(self) -> Offered:
        """Return the sum over all entries."""
        total = Offered()
        for heard in self._heard.values():
            total = total.plus(heard.offered)
        return total


__all__ = ('OfferedTable',)
