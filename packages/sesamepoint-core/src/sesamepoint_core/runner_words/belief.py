"""What is believed of one start of a runner, by what it has said of itself."""

from __future__ import annotations

import math

# When its rest is over a runner gets this many requests of an instance at a time, and
# twice as many after each such number of seconds: all that waited would be turned away again.
FIRST_AFTER_REST = 1
DOUBLING_S = 0.25
# After this many doublings it is used like any other.
DOUBLINGS = 6


class Belief:
    """Takes in what an instance is told; without any input or output of its own.

    Nothing ends the leaving of a start: registrations and answers that do not speak of it
    may be older. A rest is between the runner and one instance; it gets longer and never
    shorter.
    """

    def __init__(self) -> None:
        """Believe nothing."""
        self.leaving = False
        self._rests_until = -math.inf
        self._hinted_until = -math.inf

    def leave(self) -> bool:
        """Take that it leaves; returns whether that is news."""
        news = not self.leaving
        self.leaving = True
        return news

    def rest(self, for_s: float, now: float) -> bool:
        """Take that it wants nothing for ``for_s`` seconds; returns whether that lasts longer than was known."""
        until = now + for_s
        if until <= max(self._rests_until, now):
            return False
        self._rests_until = until
        return True

    def hint(self, for_s: float, now: float) -> bool:
        """Take that it wants nothing from another instance for ``for_s`` seconds; returns whether that is news."""
        news = now >= self._hinted_until
        self._hinted_until = max(self._hinted_until, now + for_s)
        return news

    def drop_hint(self) -> None:
        """Take that it takes requests of this instance."""
        self._hinted_until = -math.inf

    def hinted(self, now: float) -> bool:
        """Tell whether it wants nothing from another instance, so that this one had better ask others."""
        return now < self._hinted_until

    def rest_left_s(self, now: float) -> float:
        """Return for how many seconds it still wants nothing."""
        return max(self._rests_until - now, 0)

    def room(self, now: float) -> float:
        """Return how many requests of this instance it may have at a time; infinite if nothing keeps it from any."""
        since_s = now - self._rests_until
        if since_s < 0:
            return 0
        if since_s >= (DOUBLINGS + 1) * DOUBLING_S:
            return math.inf
        return FIRST_AFTER_REST * math.pow(2, since_s // DOUBLING_S)


__all__ = ('Belief',)
