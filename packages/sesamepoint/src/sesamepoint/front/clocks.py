"""Clocks for the usage reports: a steady clock, and the time of day without its jumps."""

from __future__ import annotations

import time
from typing import Protocol

# A shift of the time of day against the steady clock beyond this many seconds is a
# jump; a smaller one is an adjustment.
MIN_JUMP_S = 0.2
# A jump that has lasted for more than this many seconds is taken over.
MAX_JUMP_AGE_S = 60.0


class Clock(Protocol):
    """Clocks of an instance, in seconds."""

    def steady(self) -> float:
        """Return a monotonic time that includes suspended time, from an arbitrary origin."""

    def time_of_day(self) -> float:
        """Return the machine's time of day, in seconds since 1970."""


class SystemClock:
    """Clocks of this machine."""

    def steady(self) -> float:
        """Return the seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time_of_day(self) -> float:
        """Return the system time, in seconds since 1970."""
        return time.time()


class SmoothedTime:
    """Time of day without short jumps.

    The time of day may jump by seconds and back. Taken as it is, a jump moved many
    counts of a window into the windows next to it.
    """

    def __init__(self, clock: Clock) -> None:
        """Start from the current time of day."""
        self._clock = clock
        self._offset_s = clock.time_of_day() - clock.steady()
        self._jumped_at: float | None = None

    def at(self, steady_s: float) -> float:
        """Convert a time of the steady clock to seconds since 1970."""
        return steady_s + self._offset_s

    def now(self) -> float:
        """Return the seconds since 1970; needs regular calls to follow changes of the time of day."""
        now = self._clock.steady()
        offset_s = self._clock.time_of_day() - now
        if abs(offset_s - self._offset_s) <= MIN_JUMP_S:
            self._jumped_at = None
            self._offset_s = offset_s
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at > MAX_JUMP_AGE_S:
            self._offset_s = offset_s
        return now + self._offset_s


__all__ = ('Clock', 'SmoothedTime', 'SystemClock')
