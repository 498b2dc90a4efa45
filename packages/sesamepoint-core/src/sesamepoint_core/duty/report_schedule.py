"""Schedule of the usage reports: which window is reported next, and when. It does no I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

if TYPE_CHECKING:
    from sesamepoint_core.duty.usage import UsageMeter

# Instances send their counts within this many seconds after the end of a window.
COUNTS_DUE_S = 0.4
# How long missing counts are waited for after the end of a window, as a share of the
# time in which its report is due: the rest is left for failing calls and for a change
# of the holder.
MISSING_WAIT_SHARE = 0.6
# A report is no longer sent from this many seconds before its deadline.
SEND_MARGIN_S = 0.3
# Largest difference between the clocks of two holders, in seconds. After the store lost
# acknowledged records, no window is reported that may have been reported before.
MAX_CLOCK_SKEW_S = 3.0


class Report(msgspec.Struct, frozen=True, array_like=True):
    """The report of a window, byte for byte; it is stored before it is sent."""

    window: int
    body: bytes
    epoch: int


class ReportTimes(NamedTuple):
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


class ReportSchedule:
    """Schedule of the reports while this instance holds the duty."""

    def __init__(self, meter: UsageMeter, times: ReportTimes) -> None:
        """Start without a report."""
        # Stored and not yet accepted.
        self.pending: Report | None = None
        # Whether an earlier holder has decided the pending report, and may have sent it.
        self.taken_over = False
        # The newest report that this instance has stored or found in the store.
        self.newest: Report | None = None
        self._meter = meter
        self._times = times
        self._next = 0

    @property
    def next_window(self) -> int:
        """Return the first window without a stored report."""
        return self._next

    def take_over(
        self, stored: Report | None, epoch: int, wall_s: float, *, unbroken: bool, reported: int | None = None
    ) -> None:
        """Take over the duty with the state in the store.

        Parameters
        ----------
        stored
            The newest report in the store.
        epoch
            Epoch of the store.
        wall_s
            Current time in seconds since 1970.
        unbroken
            Whether no other instance can have stored a report since this one did.
        reported
            Newest window whose report the platform has taken; None if no holder noted one.
        """
        # The newest report is sent again unless it is known to have arrived.
        self.taken_over = not unbroken
        if unbroken and self.newest is not None:
            self.on_decided(self.newest)
        elif stored is not None and stored.epoch == epoch:
            self.on_decided(stored)
        else:
            # The store may have lost the report of any window that has ended, so none of them is reported.
            self.pending = None
            self._next = self._meter.window_at(wall_s + MAX_CLOCK_SKEW_S)
        if self.pending is not None and reported is not None and self.pending.window <= reported:
            self.on_done()

    def due_window(self, wall_s: float, *, complete: bool) -> int | None:
        """Return the window whose report is due now, if there is one.

        Parameters
        ----------
        wall_s
            Current time in seconds since 1970.
        complete
            Whether all counts of the next window have arrived.
        """
        while self.too_late(self._next, wall_s):
            self._next += 1
        if self.pending is not None:
            return None
        since_end_s = wall_s - self._meter.end_of(self._next)
        wait_s = COUNTS_DUE_S if complete else MISSING_WAIT_SHARE * self._times.late_s
        return self._next if since_end_s >= wait_s else None

    def on_decided(self, report: Report) -> None:
        """Note that a report is stored, and may be sent."""
        self.newest = report
        self.pending = report
        self._next = report.window + 1

    def on_done(self) -> None:
        """Note that the pending report was accepted or given up."""
        self.pending = None
        self.taken_over = False

    def too_late(self, window: int, wall_s: float) -> bool:
        """Return whether the report of a window would miss its deadline."""
        return wall_s >= self._meter.end_of(window) + self._times.late_s - SEND_MARGIN_S


__all__ = ('COUNTS_DUE_S', 'Report', 'ReportSchedule', 'ReportTimes')
