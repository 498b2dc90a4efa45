"""A retry budget over a sliding window, of which each entry has a share."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

# The window is looked at in so many slices: one slice more is counted of what
# was spent, and one less of what was earned, so that no window is overspent.
SLICES = 20
# The reserve fills up again while less than this share of what the requests
# earn is used: a fault that lasts gets it once.
CALM_SHARE = 0.5


class _Slice(NamedTuple):
    """What happened in one slice; ``reserved`` of the extra sends took from the reserve."""

    number: int
    requests: int = 0
    extra: int = 0
    reserved: int = 0


class WindowBudget:
    """Keeps extra sends a share of the requests, in every window.

    The bound holds over a window as a whole, so what requests have earned
    stays good for as long. (Credit that could be saved up to a small bound,
    the reserve over the number of entries, was three sends at 31 entries:
    when engines lost answers for 4 s, two thirds of the retries were not
    made, while all entries together used a fifth of what they may.)

    Parameters
    ----------
    ratio
        Extra sends that each request allows.
    reserve
        Extra sends that are allowed besides, when failures begin.
    window_s
        Length of the window, in seconds.
    now
        The clock, in seconds.
    """

    def __init__(self, ratio: float, reserve: float, window_s: float, now: Callable[[], float]) -> None:
        """Start with nothing earned and nothing spent."""
        self._ratio = ratio
        self._reserve = reserve
        self._saved = reserve
        self._slice_s = window_s / SLICES
        self._now = now
        self._slices: deque[_Slice] = deque()

    def earn(self) -> None:
        """Count one request."""
        newest = self._newest()
        self._slices[-1] = newest._replace(requests=newest.requests + 1)
        if self._used() < CALM_SHARE * self._earned():
            self._saved = min(self._saved + self._ratio, self._reserve)

    def resize(self, reserve: float) -> None:
        """Allow ``reserve`` besides, from now on."""
        self._saved = max(self._saved + reserve - self._reserve, 0)
        self._reserve = reserve

    def spend(self) -> bool:
        """Take an extra send, if there is room for it: first of what was earned, then of the reserve."""
        newest = self._newest()
        extra = sum(one.extra for one in self._slices)
        if extra + 1 > self._earned() + self._reserve:
            return False
        if self._used() + 1 <= self._earned():
            self.charge()
            return True
        if self._saved < 1:
            return False
        self._saved -= 1
        self._slices[-1] = newest._replace(extra=newest.extra + 1, reserved=newest.reserved + 1)
        return True

    def charge(self) -> None:
        """Count an extra send that has already happened."""
        newest = self._newest()
        self._slices[-1] = newest._replace(extra=newest.extra + 1)

    def _earned(self) -> float:
        """Return what the requests of the window allow, its oldest slice left out."""
        newest = self._slices[-1].number
        return self._ratio * sum(one.requests for one in self._slices if one.number > newest - SLICES)

    def _used(self) -> int:
        """Return how much of that was spent."""
        return sum(one.extra - one.reserved for one in self._slices)

    def _newest(self) -> _Slice:
        """Return the slice of now, and forget those that lie before the window."""
        number = int(self._now() / self._slice_s)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        while self._slices[0].number < number - SLICES:
            self._slices.popleft()
        return self._slices[-1]


__all__ = ('WindowBudget',)
