"""Clocks that duties go by: one that never stands still, and true time."""

from __future__ import annotations

import time
from typing import Protocol

# A change of the time of day against the steady clock of more than this, in
# seconds, is a jump and no adjustment.
JUMP_S = 0.2
# A jump that has lasted for so long, in seconds, is the time of day.
BELIEVED_S = 60.0


class Clock(Protocol):
    """What an instance has of clocks, in seconds."""

    def steady(self) -> float:
        """Return a time that goes on while the machine sleeps, from any beginning."""

    def time_of_day(self) -> float:
        """Return the seconds since 1970, as the machine has them."""


class SystemClock:
    """The clocks of this machine."""

    def steady(self) -> float:
        """Return the time since it was started, sleep included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def time_of_day(self) -> float:
        """Return the seconds since 1970."""
        return time.time()


class TrueTime:
    """The time of day without its jumps.

    It may jump by seconds and back again; taken as it is, a jump moved a good
    part of a window's counts into its neighbours.
    """

    def __init__(self, clock: Clock) -> None:
        """Take the time of day for true at the start."""
        self._clock = clock
        self._offset_s = clock.time_of_day() - clock.steady()
        self._jumped_at: float | None = None

    def at(self, steady_s: float) -> float:
        """Return the seconds since 1970 at a moment of the steady clock."""
        return steady_s + self._offset_s

    def now(self) -> float:
        """Return the seconds since 1970; to be asked now and then, so that it follows."""
        now = self._clock.steady()
        offset_s = self._clock.time_of_day() - now
        if abs(offset_s - self._offset_s) <= JUMP_S:
            self._jumped_at = None
            self._offset_s = offset_s
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at > BELIEVED_S:
            self._offset_s = offset_s
        return now + self._offset_s


__all__ = ('Clock', 'SystemClock', 'TrueTime')
