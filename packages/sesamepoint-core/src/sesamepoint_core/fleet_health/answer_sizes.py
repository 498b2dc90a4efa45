"""Sizes of the answers of each route, to tell an answer that never ends from a large one."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# An unfinished answer counts as endless beyond this multiple of the largest whole answer of its route.
ENDLESS_FACTOR = 4
# The same without a whole answer so far, and for routes with small answers, in bytes.
MIN_ENDLESS_BYTES = 1_048_576


class AnswerSizes:
    """The largest whole answer of each route."""

    def __init__(self) -> None:
        """Start without answers."""
        self._largest: dict[str, int] = {}

    def note_whole(self, route: str, size: int) -> None:
        """Learn from a whole answer of ``size`` bytes."""
        self._largest[route] = max(self._largest.get(route, 0), size)

    def is_endless(self, route: str, size: int) -> bool:
        """Tell whether an answer that has ``size`` bytes at the end of its time, and is not whole, is like no other."""
        return size > max(ENDLESS_FACTOR * self._largest.get(route, 0), MIN_ENDLESS_BYTES)

    def keep_only(self, routes: Collection[str]) -> None:
        """Forget the routes that are not among ``routes``."""
        self._largest = {route: size for route, size in self._largest.items() if route in routes}


__all__ = ('ENDLESS_FACTOR', 'MIN_ENDLESS_BYTES', 'AnswerSizes')
