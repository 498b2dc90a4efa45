"""Permits that come at an even rate, and lapse if nobody takes them soon."""

from __future__ import annotations

import math
from collections import deque


class Pacer:
    """Brings permits one by one.

    What is kept is bounded in time and not only in number: hundreds of instances
    that keep one permit each could all use theirs at the same moment.
    """

    def __init__(self, phase: float) -> None:
        """Begin with ``phase``, from 0 to 1, of the first permit."""
        self._credit = phase
        self._at: float = 0
        self._rate: float = 0
        self._keep_s: float = 0
        self._born: deque[float] = deque()

    def pace(self, rate: float, keep_s: float, now: float) -> None:
        """Bring ``rate`` permits a second from ``now`` on, and keep each for ``keep_s``."""
        self._advance(now)
        self._rate = rate
        self._keep_s = keep_s
        while len(self._born) > max(1, rate * self._keep_s):
            self._born.popleft()
        if not rate:
            self._born.clear()

    def ready(self, now: float) -> int:
        """Return how many permits may be taken."""
        self._advance(now)
        return len(self._born)

    def take(self) -> None:
        """Take the oldest permit; there must be one."""
        self._born.popleft()

    def put_back(self, now: float) -> None:
        """Take a permit back that was not used, as far as it may still be kept."""
        if len(self._born) < max(1, self._rate * self._keep_s):
            self._born.append(now)

    def next_at(self) -> float:
        """Return when the next permit comes."""
        if not self._rate:
            return math.inf
        return self._at + (1 - self._credit) / self._rate

    def _advance(self, now: float) -> None:
        # What came before a long sleep has lapsed, so it is not worked out.
        begin = max(self._at, now - self._keep_s)
        came = self._credit + self._rate * (now - begin)
        for number in range(1, math.floor(came) + 1):
            self._born.append(begin + (number - self._credit) / self._rate)
        self._credit = came - math.floor(came)
        self._at = now
        while self._born and self._born[0] < now - self._keep_s:
            self._born.popleft()


__all__ = ('Pacer',)
