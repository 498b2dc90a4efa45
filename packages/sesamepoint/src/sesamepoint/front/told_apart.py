"""What peers tell of a topic that doesn't follow on what is known of it.

An entry that the store refuses, and that missed one word of its peers, can't read
what it missed. What came after matters all the same: a runner that leaves must
get no new requests. So records are taken from such words too; older ones that
come later, by a slow path or the entry's own reading, must not undo them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint.platform.store import KeyedRecord


class Place(NamedTuple):
    """A place in the history of a topic; places of later eras come later."""

    era: int
    end: int


class ToldApart:
    """The keys that were taken ahead of what is known as a whole."""

    def __init__(self) -> None:
        """Be ahead in nothing."""
        self._ahead: dict[str, Place] = {}
        self._newest = Place(0, 0)

    def place_of(self, key: str, known: Place) -> Place:
        """Return up to which place ``key`` is known, if the topic is up to ``known``."""
        return max(self._ahead.get(key, known), known)

    def news(self, place: Place, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Return the records of a word up to ``place`` that say something new."""
        if place <= self._newest:
            return []
        self._newest = place
        found = list(records)
        self._ahead.update((record.key, place) for record in found)
        return found

    def current(self, place: Place, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Return the records of what is known up to ``place`` without those that are overtaken."""
        found = [record for record in records if self.place_of(record.key, place) == place]
        if place >= self._newest:
            self._ahead.clear()
        return found


__all__ = ('Place', 'ToldApart')
