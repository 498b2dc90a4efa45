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


class Position(NamedTuple):
    """Position in the history of a topic; ordered by epoch of the store, then by offset."""

    epoch: int
    end: int


class OutOfOrderUpdates:
    """The keys whose records come from out-of-order updates, with their positions."""

    def __init__(self) -> None:
        """Start without out-of-order updates."""
        self._early_keys: dict[str, Position] = {}
        self._newest = Position(0, 0)

    def keys(self) -> frozenset[str]:
        """Return the keys that out-of-order updates have changed."""
        return frozenset(self._early_keys)

    def position_of(self, key: str, known: Position) -> Position:
        """Return up to which position ``key`` is known, if the whole topic is known up to ``known``."""
        return max(self._early_keys.get(key, known), known)

    def leaves_gap(self, start: Position) -> bool:
        """Tell whether records between the newest out-of-order update and one from ``start`` are missing."""
        return start > self._newest

    def take_new(self, position: Position, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Return the records to apply of an out-of-order update; none if a newer one was applied."""
        if position <= self._newest:
            return []
        self._newest = position
        new_records = list(records)
        self._early_keys.update((record.key, position) for record in new_records)
        return new_records

    def drop_outdated(self, position: Position, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Return the records of an in-order update without those that an out-of-order update superseded."""
        kept = [record for record in records if self.position_of(record.key, position) == position]
        if position >= self._newest:
            self._early_keys.clear()
        return kept


__all__ = ('OutOfOrderUpdates', 'Position')
