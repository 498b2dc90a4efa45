"""A retry budget of one instance, which holds for the sum of all instances in each sliding window.

Callers move among instances, and processes restart without what they knew. So nothing that one
instance grants may rely on what another one has spent. With T the length of the window, the extra
sends of a window that begins at t are paid by three sources:

- Credit of a request, usable once, for less than T after it. All requests that pay in the window
  came from t - T to t + T, so at most twice the requests of the fuller one of these two windows.
- Held credit: what the requests of a window earn, counted as the least of all windows that ended
  within the last T. For each instance that is at most what came to it from t - T to t.
- The share of a reserve, held in the same way; see :mod:`sesamepoint_core.admit.reserve_share`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Number of slices that the window is divided into. A send may arrive one slice later than it was sent.
WINDOW_SLICES = 40
# Slices, the current one included, whose requests may pay: one less than the window, for late arrivals.
CREDIT_SLICES = WINDOW_SLICES - 1
# Slices of a window that counts as held: those that lie whole within any window, less one for late arrivals.
HELD_SLICES = WINDOW_SLICES - 2
# Slices, the current one included, over which held credit and reserve count as spent.
SPENT_SLICES = WINDOW_SLICES + 2
# Ends of windows, back from the current slice, of which the least counts.
HELD_ENDS = WINDOW_SLICES + 3
KEPT_SLICES = HELD_SLICES + HELD_ENDS
# Share of the ratio that is credit of the requests themselves; the rest is held. Credit is worth half of what is
# held, as it may be used in two windows, but serves instances that are new or whose callers have just come.
CREDIT_SHARE = 0.5
# The reserve is refilled only while less than this share of the earnings is in use, so
# that a lasting fault can use it only once.
REFILL_BELOW_SHARE = 0.5


class Payment(NamedTuple):
    """What paid for one extra send: parts of a send.

    Parameters
    ----------
    credit
        Numbers of slices, and what was taken from the credit of each.
    number
        Slice in which it was paid.
    """

    number: int
    credit: tuple[tuple[int, float], ...]
    held: float
    reserved: float

    @property
    def credited(self) -> float:
        """Return the part that was taken from credit."""
        return sum(amount for _, amount in self.credit)

    @property
    def source(self) -> str:
        """Return the source that paid the largest part, for the log."""
        parts = {'credit': self.credited, 'held': self.held, 'reserve': self.reserved}
        return max(parts, key=lambda name: parts[name])


@dataclass
class _Slice:
    """Counts of one slice.

    Parameters
    ----------
    credit
        Extra sends that its requests may still pay.
    paid, held, reserved
        Parts of the extra sends of the slice that were taken from credit, from held credit and from the reserve.
    unaccepted
        First prefills that no runner accepted, which became extra sends.
    """

    number: int
    requests: int = 0
    extra: int = 0
    credit: float = 0
    paid: float = 0
    held: float = 0
    reserved: float = 0
    unaccepted: int = 0


class WindowBudget:
    """Limits extra sends to a share of the requests, in each window and over all instances.

    With a credit bounded by the reserve over the number of instances, which was three
    sends at 31 instances, two thirds of the retries were not made when engines lost
    answers for 4 s, while all instances together used a fifth of their budget.

    Parameters
    ----------
    ratio
        Extra sends that each request of a window allows.
    reserve
        Extra sends that are allowed in addition when failures begin.
    window_s
        Length of the window, in seconds.
    clock
        Returns the time of a monotonic clock, in seconds.
    credit_share
        Share of ``ratio`` that is credit of the requests themselves; the rest is held.
    """

    def __init__(
        self,
        ratio: float,
        reserve: float,
        window_s: float,
        clock: Callable[[], float],
        credit_share: float = CREDIT_SHARE,
    ) -> None:
        """Start with nothing earned and nothing spent."""
        self._credit = ratio * credit_share / 2
        self._held_ratio = ratio * (1 - credit_share)
        self._reserve = reserve
        # What is taken from the reserve and not refilled yet.
        self._reserve_used: float = 0
        self._slice_s = window_s / WINDOW_SLICES
        self._clock = clock
        self._slices: deque[_Slice] = deque()
        self._held: float = 0

    def earn(self) -> None:
        """Count one request."""
        newest = self._current_slice()
        newest.requests += 1
        newest.credit += self._credit
        used = sum(each.paid + each.held for each in self._last(SPENT_SLICES))
        if used < REFILL_BELOW_SHARE * (self._credit + self._held_ratio) * self.requests:
            self._reserve_used = max(self._reserve_used - self._credit, 0)

    def resize(self, reserve: float) -> None:
        """Change the reserve; what was taken from it stays taken."""
        self._reserve = reserve

    def spend(self) -> Payment | None:
        """Take an extra send from credit, else from held credit, else from the reserve; None if all are used up.

        Parts of a send are taken from each, since a share of many instances may be less than one send.
        """
        self._current_slice()
        credit = sum(each.credit for each in self._last(CREDIT_SLICES))
        if credit + self._held_left + max(self._reserve_left, 0) < 1:
            return None
        return self._take()

    def charge(self) -> None:
        """Count an extra send that has already happened, even beyond the budget."""
        self._current_slice()
        self._take()

    def refund(self, payment: Payment) -> None:
        """Give back what was taken for a send that turned out to be no extra one."""
        self._current_slice()
        self._reserve_used -= payment.reserved
        credit = dict(payment.credit)
        for each in self._slices:
            each.credit += credit.get(each.number, 0)
            if each.number == payment.number:
                each.extra -= 1
                each.paid -= payment.credited
                each.held -= payment.held
                each.reserved -= payment.reserved

    def note_unaccepted(self) -> None:
        """Note that no runner accepted a first prefill, which makes it an extra send."""
        self._current_slice().unaccepted += 1

    @property
    def unaccepted_lately(self) -> bool:
        """Tell whether a first prefill was not accepted within the window."""
        self._current_slice()
        return any(each.unaccepted for each in self._last(WINDOW_SLICES))

    @property
    def spent(self) -> int:
        """Return the extra sends in the window."""
        self._current_slice()
        return sum(each.extra for each in self._last(SPENT_SLICES))

    @property
    def requests(self) -> int:
        """Return the requests in the window."""
        self._current_slice()
        return sum(each.requests for each in self._last(WINDOW_SLICES))

    def log_fields(self) -> dict[str, object]:
        """Return what decides, for the log: extra sends and requests in the window, and what each source has left."""
        return {
            'spent': self.spent,
            'in_window': self.requests,
            'credit_left': round(sum(each.credit for each in self._last(CREDIT_SLICES)), 2),
            'held': round(self._held, 2),
            'held_left': round(self._held_left, 2),
            'reserve': round(self._reserve, 2),
            'reserve_left': round(self._reserve_left, 2),
        }

    @property
    def _held_left(self) -> float:
        return max(self._held - sum(each.held for each in self._last(SPENT_SLICES)), 0)

    @property
    def _reserve_left(self) -> float:
        in_window = sum(each.reserved for each in self._last(SPENT_SLICES))
        return self._reserve - max(self._reserve_used, in_window)

    def _take(self) -> Payment:
        """Take one send; what credit and held credit don't cover comes from the reserve, even beyond it."""
        missing: float = 1
        credit = []
        for each in self._last(CREDIT_SLICES):
            amount = min(each.credit, missing)
            if amount:
                each.credit -= amount
                missing -= amount
                credit.append((each.number, amount))
        held = min(self._held_left, missing)
        newest = self._slices[-1]
        newest.extra += 1
        newest.paid += sum(amount for _, amount in credit)
        newest.held += held
        newest.reserved += missing - held
        self._reserve_used += missing - held
        return Payment(newest.number, tuple(credit), held, missing - held)

    def _last(self, count: int) -> Iterable[_Slice]:
        """Return the slices among the last ``count`` up to the current one, the oldest first."""
        since = self._slices[-1].number - count
        return (each for each in self._slices if each.number > since)

    def _current_slice(self) -> _Slice:
        """Return the slice of the current time, and drop those that no longer count."""
        number = int(self._clock() / self._slice_s)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
            while self._slices[0].number < number - KEPT_SLICES:
                self._slices.popleft()
            self._held = self._held_ratio * self._least_requests(number)
        return self._slices[-1]

    def _least_requests(self, number: int) -> int:
        """Return the least requests of the windows that ended within the last window before slice ``number``."""
        requests = {each.number: each.requests for each in self._slices}
        ends = range(number - HELD_ENDS, number)
        in_window = sum(requests.get(ends[0] - back, 0) for back in range(HELD_SLICES))
        least = in_window
        for end in ends[1:]:
            in_window += requests.get(end, 0) - requests.get(end - HELD_SLICES, 0)
            least = min(least, in_window)
        return least


__all__ = ('CREDIT_SHARE', 'Payment', 'WindowBudget')
