"""A retry budget over a sliding window, with a share of the reserve for each instance."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

# Number of slices that the window is divided into. Spending is counted over one slice
# more than earnings, so that no window of this length exceeds the budget.
WINDOW_SLICES = 20
# The reserve is refilled only while less than this share of the earnings is in use, so
# that a lasting fault can use it only once.
REFILL_BELOW_SHARE = 0.5


class _Slice(NamedTuple):
    """Counts of one slice; ``reserved`` of the extra sends were taken from the reserve.

    ``rejected`` counts first sends that became extra ones since they were rejected.
    """

    number: int
    requests: int = 0
    extra: int = 0
    reserved: float = 0
    rejected: int = 0


class WindowBudget:
    """Limits extra sends to a share of the requests, in each window.

    The limit applies to a window as a whole, so earnings stay valid for its length.
    With a credit bounded by the reserve over the number of instances, which was three
    sends at 31 instances, two thirds of the retries were not made when engines lost
    answers for 4 s, while all instances together used a fifth of their budget.

    Parameters
    ----------
    ratio
        Extra sends that each request earns.
    reserve
        Extra sends that are allowed in addition when failures begin.
    window_s
        Length of the window, in seconds.
    clock
        Returns the time of a monotonic clock, in seconds.
    """

    def __init__(self, ratio: float, reserve: float, window_s: float, clock: Callable[[], float]) -> None:
        """Start with nothing earned and nothing spent."""
        self._ratio = ratio
        self._reserve = reserve
        # What is taken from the reserve and not refilled yet.
        self._reserve_used: float = 0
        self._slice_s = window_s / WINDOW_SLICES
        self._clock = clock
        self._slices: deque[_Slice] = deque()

    def earn(self) -> None:
        """Count one request."""
        newest = self._current_slice()
        self._slices[-1] = newest._replace(requests=newest.requests + 1)
        if self._used() < REFILL_BELOW_SHARE * self._earned():
            self._reserve_used = max(self._reserve_used - self._ratio, 0)

    def resize(self, reserve: float) -> None:
        """Change the reserve; what was taken from it stays taken."""
        self._reserve = reserve

    def spend(self) -> bool:
        """Take an extra send from the earnings, else from the reserve; returns False if both are used up."""
        newest = self._current_slice()
        extra = sum(each.extra for each in self._slices)
        if extra + 1 > self._earned() + self._reserve:
            return False
        # Parts of a send are taken from both, since a share of many instances may be less than one send.
        from_reserve = 1 - min(max(self._earned() - self._used(), 0), 1)
        if from_reserve > self._reserve_left:
            return False
        self._reserve_used += from_reserve
        self._slices[-1] = newest._replace(extra=newest.extra + 1, reserved=newest.reserved + from_reserve)
        return True

    def charge(self) -> None:
        """Count an extra send that has already happened."""
        newest = self._current_slice()
        self._slices[-1] = newest._replace(extra=newest.extra + 1)

    def refund(self) -> None:
        """Give back an extra send that was taken for a first send, which was not rejected."""
        newest = self._current_slice()
        self._slices[-1] = newest._replace(extra=newest.extra - 1)

    def note_rejected(self) -> None:
        """Note that a first send was rejected, which makes it an extra one."""
        newest = self._current_slice()
        self._slices[-1] = newest._replace(rejected=newest.rejected + 1)

    @property
    def rejected_lately(self) -> bool:
        """Tell whether a first send was rejected within the window."""
        self._current_slice()
        return any(each.rejected for each in self._slices)

    @property
    def spent(self) -> int:
        """Return the extra sends in the window."""
        self._current_slice()
        return sum(each.extra for each in self._slices)

    @property
    def requests(self) -> int:
        """Return the requests in the window."""
        self._current_slice()
        return sum(each.requests for each in self._slices)

    def log_fields(self) -> dict[str, object]:
        """Return what decides, for the log: extra sends in the window, what its requests earned, and the reserve."""
        self._current_slice()
        return {
            'spent': sum(each.extra for each in self._slices),
            'earned': round(self._earned(), 2),
            'reserve': round(self._reserve, 2),
            'reserve_left': round(self._reserve_left, 2),
        }

    def _earned(self) -> float:
        """Return the extra sends that the requests of the window have earned, without its oldest slice."""
        newest = self._slices[-1].number
        return self._ratio * sum(each.requests for each in self._slices if each.number > newest - WINDOW_SLICES)

    @property
    def _reserve_left(self) -> float:
        return self._reserve - self._reserve_used

    def _used(self) -> float:
        """Return the extra sends that were taken from the earnings."""
        return sum(each.extra - each.reserved for each in self._slices)

    def _current_slice(self) -> _Slice:
        """Return the slice of the current time, and drop those before the window."""
        number = int(self._clock() / self._slice_s)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        while self._slices[0].number < number - WINDOW_SLICES:
            self._slices.popleft()
        return self._slices[-1]


__all__ = ('WindowBudget',)
