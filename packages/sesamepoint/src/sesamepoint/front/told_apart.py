"""Out-of-order updates of a topic: updates from peers that leave a gap to the known offset.

An instance that the store refuses, and that missed an update from a peer, can't
read the missed records. Later updates matter all the same: a draining runner
must get no new requests. So records of out-of-order updates are applied as well;
older records that arrive later, over a slow path or by a poll of the instance
itself, must not overwrite them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint.platform.store import KeyedRecord


class Place(NamedTuple):
    """Position in the history of a topic; ordered by epoch of the store, then by offset."""

    era: int
    end: int


class ToldApart:
    """The keys whose records come from out-of-order updates, with their positions."""

    def __init__(self) -> None:
        """Start without out-of-order updates."""
        self._ahead: dict[str, Place] = {}
        self._newest = Place(0, 0)

    def place_of(self, key: str, known: Place) -> Place:
        """Return up to which position ``key`` is known, if the whole topic is known up to ``known``."""
        return max(self._ahead.get(key, known), known)

    def news(self, place: Place, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Return the records to apply of an out-of-order update; none if a newer one was applied."""
        if place <= self._newest:
            return []
        self._newest = place
        new_records = list(records)
        self._ahead.update((record.key, place) for record in new_records)
        return new_records

    def current(self, place: Place, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Return the records of an in-order update without those that an out-of-order update superseded."""
        kept = [record for record in records if self.place_of(record.key, place) == place]
        if place >= self._newest:
            self._ahead.clear()
        return kept


__all__ = ('Place', 'ToldApart')
