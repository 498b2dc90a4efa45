"""Detection of retries by callers, from the deadlines of their requests."""

from __future__ import annotations

from typing import NamedTuple

# The longest deadline of a route is taken over the last one to two windows of this many
# seconds: long enough to contain some first attempts of each route, short enough to
# follow callers that change their deadlines.
WINDOW_S = 30.0
# A request with less than this share of the longest deadline of its route is a retry.
# Deadlines of first attempts of one route differ by up to 15%; a caller that retries
# after a third of its time has at most two thirds left.
RETRY_SHARE = 0.8


class _LongestDeadline(NamedTuple):
    window_began: float
    current_s: float
    previous_s: float


class RetryDetector:
    """The longest recent deadline of each route, to recognise retries.

    Nothing else marks a retry: its request has a new id.
    """

    def __init__(self) -> None:
        """Start without any route."""
        self._longest: dict[str, _LongestDeadline] = {}

    def is_retry(self, route: str, deadline_s: float | None, now: float) -> bool:
        """Record the deadline of a request of ``route``, and tell whether the request is a retry.

        Parameters
        ----------
        deadline_s
            Seconds that the caller has left; None if it named no deadline.
        now
            Time in seconds, of any clock that only goes forward.
        """
        if deadline_s is None:
            return False
        longest = self._longest.get(route, _LongestDeadline(now, 0, 0))
        if now - longest.window_began > WINDOW_S:
            longest = _LongestDeadline(now, 0, longest.current_s)
        longest = longest._replace(current_s=max(longest.current_s, deadline_s))
        self._longest[route] = longest
        return deadline_s < RETRY_SHARE * max(longest.current_s, longest.previous_s)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget all routes except ``routes``."""
        self._longest = {name: longest for name, longest in self._longest.items() if name in routes}


__all__ = ('RetryDetector',)
