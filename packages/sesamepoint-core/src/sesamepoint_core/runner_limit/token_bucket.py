"""Token bucket that issues permits at an even rate and limits their age."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple


class _Run(NamedTuple):
    """Permits that were issued one after the other, ``interval_s`` seconds apart; 0 if at once.

    Kept together: a runner names the rate, and a list of single permits would grow with it.
    """

    first_at: float
    interval_s: float
    permits: int

    def older_than(self, limit: float) -> int:
        """Return how many of the permits were issued before ``limit``."""
        if self.first_at >= limit:
            return 0
        if not self.interval_s:
            return self.permits
        return min(math.ceil((limit - self.first_at) / self.interval_s), self.permits)

    def without_oldest(self, number: int) -> _Run:
        """Return the run without its oldest ``number`` permits."""
        return self._replace(first_at=self.first_at + number * self.interval_s, permits=self.permits - number)


class TokenBucket:
    """Issues permits one by one, and drops those that are not taken in time.

    Kept permits are bounded by age and not only by number: hundreds of instances
    that keep one permit each could all use theirs at the same moment. Time and memory
    depend on the number of calls within the maximum age, not on the rate.
    """

    def __init__(self, phase: float) -> None:
        """Start with the fraction ``phase``, from 0 to 1, of the first permit."""
        self._fraction = phase
        self._advanced_at: float = 0
        self._rate: float = 0
        self._max_age_s: float = 0
        # Oldest first.
        self._runs: deque[_Run] = deque()
        self._count = 0

    def update_rate(self, rate: float, max_age_s: float, now: float) -> None:
        """Issue ``rate`` permits a second from ``now`` on, and set the maximum age of permits in seconds."""
        self._advance(now)
        self._rate = rate
        self._max_age_s = max_age_s
        self._drop_oldest(self._count - math.floor(min(self._capacity, self._count)) if rate else self._count)

    def available(self, now: float) -> int:
        """Return how many permits are available."""
        self._advance(now)
        return self._count

    def take(self) -> None:
        """Take the oldest permit; there must be one."""
        self._drop_oldest(1)

    def put_back(self, now: float) -> None:
        """Take back an unused permit, unless the bucket is full."""
        if self._count < self._capacity:
            self._append(_Run(now, 0, 1))

    def next_at(self) -> float:
        """Return when the next permit is issued; infinite at a rate of 0."""
        if not self._rate:
            return math.inf
        return self._advanced_at + (1 - self._fraction) / self._rate

    @property
    def _capacity(self) -> float:
        return max(1, self._rate * self._max_age_s)

    def _advance(self, now: float) -> None:
        # Permits older than the maximum age have expired, so they are not issued at all.
        begin = max(self._advanced_at, now - self._max_age_s)
        issued = self._fraction + self._rate * (now - begin)
        whole = math.floor(issued)
        if whole:
            self._append(_Run(begin + (1 - self._fraction) / self._rate, 1 / self._rate, whole))
        self._fraction = issued - whole
        self._advanced_at = now
        self._expire(now - self._max_age_s)

    def _append(self, run: _Run) -> None:
        self._count += run.permits
        newest = self._runs[-1] if self._runs else None
        if newest is not None and not newest.interval_s and not run.interval_s and newest.first_at == run.first_at:
            self._runs[-1] = newest._replace(permits=newest.permits + run.permits)
        else:
            self._runs.append(run)

    def _expire(self, limit: float) -> None:
        expired = self._runs[0].older_than(limit) if self._runs else 0
        while expired:
            self._drop_oldest(expired)
            expired = self._runs[0].older_than(limit) if self._runs else 0

    def _drop_oldest(self, number: int) -> None:
        while number > 0 and self._runs:
            dropped = min(number, self._runs[0].permits)
            number -= dropped
            self._count -= dropped
            run = self._runs.popleft().without_oldest(dropped)
            if run.permits:
                self._runs.appendleft(run)


__all__ = ('TokenBucket',)
