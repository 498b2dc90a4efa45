"""Telling callers that come back from those that come for the first time."""

from __future__ import annotations

from typing import NamedTuple

# The longest deadline of a route is that of the last one or two of these, in
# seconds: long enough to hold some first attempts of each route, short enough
# to follow callers that change theirs.
WINDOW_S = 30.0
# A caller with less than this share of the longest deadline of its route has
# tried before. First attempts of one route differ by up to 15%; whoever comes
# back after a third of its time has at most two thirds of it left.
RETURNED_SHARE = 0.8


class _Longest(NamedTuple):
    began: float
    newest_s: float
    before_s: float


class UsualDeadlines:
    """The longest deadline that callers of each route named lately.

    Nothing else tells that a caller comes back: its request has a new id.
    """

    def __init__(self) -> None:
        """Know of no route."""
        self._longest: dict[str, _Longest] = {}

    def returned(self, route: str, deadline_s: float | None, now: float) -> bool:
        """Count a request of ``route``, and tell whether its caller has tried before."""
        if deadline_s is None:
            return False
        known = self._longest.get(route, _Longest(now, 0, 0))
        if now - known.began > WINDOW_S:
            known = _Longest(now, 0, known.newest_s)
        known = known._replace(newest_s=max(known.newest_s, deadline_s))
        self._longest[route] = known
        return deadline_s < RETURNED_SHARE * max(known.newest_s, known.before_s)

    def forget_but(self, routes: frozenset[str]) -> None:
        """Forget all routes but ``routes``."""
        self._longest = {name: known for name, known in self._longest.items() if name in routes}


__all__ = ('UsualDeadlines',)
