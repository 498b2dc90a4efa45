"""Token bucket that issues permits at an even rate and limits their age."""

from __future__ import annotations

import math
from collections import deque


class Pacer:
    """Issues permits one by one, and drops those that are not taken in time.

    Kept permits are bounded by age and not only by number: hundreds of instances
    that keep one permit each could all use theirs at the same moment.
    """

    def __init__(self, phase: float) -> None:
        """Start with the fraction ``phase``, from 0 to 1, of the first permit."""
        self._credit = phase
        self._at: float = 0
        self._rate: float = 0
        self._keep_s: float = 0
        self._born: deque[float] = deque()

    def pace(self, rate: float, keep_s: float, now: float) -> None:
        """Issue ``rate`` permits a second from ``now`` on, and set the maximum age of permits in seconds."""
        self._advance(now)
        self._rate = rate
        self._keep_s = keep_s
        while len(self._born) > max(1, rate * self._keep_s):
            self._born.popleft()
        if not rate:
            self._born.clear()

    def ready(self, now: float) -> int:
        """Return how many permits are available."""
        self._advance(now)
        return len(self._born)

    def take(self) -> None:
        """Take the oldest permit; there must be one."""
        self._born.popleft()

    def put_back(self, now: float) -> None:
        """Take back an unused permit, unless the bucket is full."""
        if len(self._born) < max(1, self._rate * self._keep_s):
            self._born.append(now)

    def next_at(self) -> float:
        """Return when the next permit is issued; infinite at a rate of 0."""
        if not self._rate:
            return math.inf
        return self._at + (1 - self._credit) / self._rate

    def _advance(self, now: float) -> None:
        # Permits older than the maximum age have expired, so they are not issued at all.
        begin = max(self._at, now - self._keep_s)
        issued = self._credit + self._rate * (now - begin)
        for number in range(1, math.floor(issued) + 1):
            self._born.append(begin + (number - self._credit) / self._rate)
        self._credit = issued - math.floor(issued)
        self._at = now
        while self._born and self._born[0] < now - self._keep_s:
            self._born.popleft()


__all__ = ('Pacer',)
