"""Token bucket that issues permits at an even rate and limits their age."""

from __future__ import annotations

import math
from collections import deque


class TokenBucket:
    """Issues permits one by one, and drops those that are not taken in time.

    Kept permits are bounded by age and not only by number: hundreds of instances
    that keep one permit each could all use theirs at the same moment.
    """

    def __init__(self, phase: float) -> None:
        """Start with the fraction ``phase``, from 0 to 1, of the first permit."""
        self._fraction = phase
        self._advanced_at: float = 0
        self._rate: float = 0
        self._max_age_s: float = 0
        self._issued_at: deque[float] = deque()

    def update_rate(self, rate: float, max_age_s: float, now: float) -> None:
        """Issue ``rate`` permits a second from ``now`` on, and set the maximum age of permits in seconds."""
        self._advance(now)
        self._rate = rate
        self._max_age_s = max_age_s
        while len(self._issued_at) > max(1, rate * self._max_age_s):
            self._issued_at.popleft()
        if not rate:
            self._issued_at.clear()

    def available(self, now: float) -> int:
        """Return how many permits are available."""
        self._advance(now)
        return len(self._issued_at)

    def take(self) -> None:
        """Take the oldest permit; there must be one."""
        self._issued_at.popleft()

    def put_back(self, now: float) -> None:
        """Take back an unused permit, unless the bucket is full."""
        if len(self._issued_at) < max(1, self._rate * self._max_age_s):
            self._issued_at.append(now)

    def next_at(self) -> float:
        """Return when the next permit is issued; infinite at a rate of 0."""
        if not self._rate:
            return math.inf
        return self._advanced_at + (1 - self._fraction) / self._rate

    def _advance(self, now: float) -> None:
        # Permits older than the maximum age have expired, so they are not issued at all.
        begin = max(self._advanced_at, now - self._max_age_s)
        issued = self._fraction + self._rate * (now - begin)
        for number in range(1, math.floor(issued) + 1):
            self._issued_at.append(begin + (number - self._fraction) / self._rate)
        self._fraction = issued - math.floor(issued)
        self._advanced_at = now
        while self._issued_at and self._issued_at[0] < now - self._max_age_s:
            self._issued_at.popleft()


__all__ = ('TokenBucket',)
