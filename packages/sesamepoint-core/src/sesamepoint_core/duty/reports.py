"""Which window is reported next, and when: without input or output of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from sesamepoint_core.duty.usage import UsageMeter

# Instances tell their counts within this many seconds of the end of a window.
GATHER_S = 0.4
# Counts that are missing are waited for so long after the end of a window, as a
# share of the time in which its report is due: the rest is for calls that fail
# and for a change of the holder.
WAIT_SHARE = 0.6
# A report is not sent any more this many seconds before it is too late.
TOO_LATE_S = 0.3
# After the store lost what it had acknowledged, no window is reported that may
# have been before; the clocks of two holders may be that far apart, in seconds.
CLOCKS_APART_S = 3.0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """What was decided of a window, byte for byte; kept in the store before it is sent."""

    window: int
    body: bytes
    era: int


class Times(NamedTuple):
    """The settings of the duty, in seconds.

    Parameters
    ----------
    window_s
        Length of a window.
    late_s
        A report is due so long after the end of its window.
    """

    window_s: float
    late_s: float


class Reports:
    """The course of the reports while this instance holds the duty."""

    def __init__(self, meter: UsageMeter, times: Times) -> None:
        """Report nothing yet."""
        # Decided and not yet accepted.
        self.pending: Report | None = None
        # The newest that this instance has decided or seen decided.
        self.newest: Report | None = None
        self._meter = meter
        self._times = times
        self._next = 0

    @property
    def next_window(self) -> int:
        """Return the first window that is not decided yet."""
        return self._next

    def begin(self, found: Report | None, era: int, wall_s: float, *, unbroken: bool) -> None:
        """Take over the duty with what the store has of it.

        Parameters
        ----------
        found
            The newest report in the store.
        unbroken
            Whether nobody else can have decided anything since this instance did.
        """
        # A report is sent again, since it may not have been.
        if unbroken and self.newest is not None:
            self.decided(self.newest)
        elif found is not None and found.era == era:
            self.decided(found)
        else:
            # The store may have lost the report of any window that has ended.
            self.pending = None
            self._next = self._meter.window_at(wall_s + CLOCKS_APART_S)

    def ready(self, wall_s: float, *, whole: bool) -> int | None:
        """Return the window that is to be decided now, if there is one.

        Parameters
        ----------
        whole
            Whether all counts of the next window are there.
        """
        while self.too_late(self._next, wall_s):
            self._next += 1
        if self.pending is not None:
            return None
        since_end_s = wall_s - self._meter.end_of(self._next)
        wait_s = GATHER_S if whole else WAIT_SHARE * self._times.late_s
        return self._next if since_end_s >= wait_s else None

    def decided(self, report: Report) -> None:
        """Note that a report is in the store, and may be sent."""
        self.newest = report
        self.pending = report
        self._next = report.window + 1

    def done(self) -> None:
        """Note that the pending report was accepted, or is given up."""
        self.pending = None

    def too_late(self, window: int, wall_s: float) -> bool:
        """Tell whether the report of a window would come too late."""
        return wall_s >= self._meter.end_of(window) + self._times.late_s - TOO_LATE_S


__all__ = ('GATHER_S', 'Report', 'Reports', 'Times')
