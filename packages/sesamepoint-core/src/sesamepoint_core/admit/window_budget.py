"""A retry budget of one instance, which holds for the sum of all instances in each sliding window.

The bound counts arrivals, and the time from a send to its arrival has no bound: a runner that stands still reads all
that waits when it goes on. So an extra send is spent from its payment until it is known to be read, and then for the
length T of the window. Those that arrive in a window are the ones that are unread when it begins, or paid in it; at the
last payment in it, all of them are unread or were read in the window.

Callers move among instances, and processes restart without what they knew. So nothing that one instance grants may rely
on what another one has spent. The extra sends that arrive in a window from t are paid by three sources:

- Credit of a request, usable once. While a send is unread, credit that is younger than T backs it: what runs out is
  replaced by that of later requests. So all requests that pay for an arrival of the window came from t - T to t + T,
  at most twice the requests of the fuller one of these two windows.
- Held credit: what the requests of a window earn, counted as the least of all windows that ended
  within the last T. For each instance that is at most what came to it from t - T to t.
- The share of a reserve, held in the same way; see :mod:`sesamepoint_core.admit.reserve_share`.

What nothing covers any more, since requests have become fewer, takes from what may be spent.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Number of slices that the window is divided into. A send may be read one slice later than the first sign of it.
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
    """What paid for one extra send: parts of a send, taken from each source."""

    credit: float
    held: float
    reserved: float

    @property
    def source(self) -> str:
        """Return the source that paid the largest part, for the log."""
        parts = self._asdict()
        return max(parts, key=lambda name: parts[name])


@dataclass
class _Slice:
    """Counts of one slice.

    Parameters
    ----------
    credit
        Extra sends that its requests may still pay.
    backing
        Extra sends that its requests have paid and that are unread.
    extra
        Extra sends that were read in the slice.
    earned, reserved
        Parts of them that were taken from credit and held credit, and from the reserve.
    held
        The part that was taken from held credit.
    unbacked
        The part whose credit had run out before they were read.
    """

    number: int
    requests: int = 0
    credit: float = 0
    backing: float = 0
    extra: int = 0
    earned: float = 0
    held: float = 0
    reserved: float = 0
    unbacked: float = 0


class WindowBudget:
    """Limits extra sends to a share of the requests, in each window and over all instances.

    An extra send stays spent until it is known to be read, and for a window after that.

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
        self._credit_share = credit_share
        self._credit = _credit_of(ratio, credit_share)
        self._held_ratio = ratio * (1 - credit_share)
        self._reserve = reserve
        # What is taken from the reserve and not refilled yet.
        self._reserve_used: float = 0
        self._slice_s = window_s / WINDOW_SLICES
        self._clock = clock
        self._slices: deque[_Slice] = deque()
        self._held: float = 0
        # Extra sends that are paid and not known to be read, and the parts that paid for them. Credit among them is
        # the backing of the slices, and what has lost its backing.
        self.unread = 0
        self._unread_held: float = 0
        self._unread_reserved: float = 0
        self._unbacked: float = 0

    def earn(self) -> None:
        """Count one request."""
        newest = self._current_slice()
        newest.requests += 1
        newest.credit += self._credit
        if self._earned_in_use < REFILL_BELOW_SHARE * (self._credit + self._held_ratio) * self.requests:
            self._reserve_used = max(self._reserve_used - self._credit, 0)

    def resize(self, reserve: float) -> None:
        """Change the reserve; what was taken from it stays taken."""
        self._reserve = reserve

    def change_bound(self, ratio: float, window_s: float) -> None:
        """Change the ratio and the length of the window.

        What requests before have earned and not spent shrinks with the ratio, and doesn't grow. Another window begins
        as in a process that has just started: what requests have earned before pays for nothing, and unread sends are
        covered by later ones.
        """
        newest = self._current_slice()
        if window_s / WINDOW_SLICES != self._slice_s:
            self._unbacked += sum(each.backing for each in self._slices)
            self._slices.clear()
            self._slice_s = window_s / WINDOW_SLICES
            newest = self._current_slice()
        credit = _credit_of(ratio, self._credit_share)
        kept = min(credit / self._credit, 1) if self._credit else 0
        for each in self._slices:
            each.credit *= kept
        self._credit = credit
        self._held_ratio = ratio * (1 - self._credit_share)
        self._held = self._held_ratio * self._least_requests(newest.number)

    def spend(self) -> Payment | None:
        """Take an extra send from credit, else from held credit, else from the reserve; None if all are used up.

        Parts of a send are taken from each, since a share of many instances may be less than one send.
        It must be settled or given back later.
        """
        self._current_slice()
        if self._credit_left + self._held_left + max(self._reserve_left, 0) - self._uncovered < 1:
            return None
        payment = self._take()
        self.unread += 1
        return payment

    def settle(self, payment: Payment) -> None:
        """Count an extra send as read now: it leaves the window a window later."""
        newest = self._current_slice()
        unbacked = self._release(payment)
        newest.extra += 1
        newest.earned += payment.credit + payment.held
        newest.held += payment.held
        newest.reserved += payment.reserved
        newest.unbacked += unbacked

    def refund(self, payment: Payment) -> None:
        """Give back what was taken for a send that turned out to be no extra one."""
        self._current_slice()
        self._release(payment, refunded=True)
        self._reserve_used -= payment.reserved

    @property
    def spent(self) -> int:
        """Return the extra sends that are unread, or were read in the window."""
        self._current_slice()
        return self.unread + sum(each.extra for each in self._last(SPENT_SLICES))

    @property
    def requests(self) -> int:
        """Return the requests in the window."""
        self._current_slice()
        return sum(each.requests for each in self._last(WINDOW_SLICES))

    def log_fields(self) -> dict[str, object]:
        """Return what decides, for the log: extra sends and requests in the window, and what each source has left."""
        return {
            'spent': self.spent,
            'unread': self.unread,
            'in_window': self.requests,
            'credit_left': round(self._credit_left, 2),
            'held': round(self._held, 2),
            'held_left': round(self._held_left, 2),
            'reserve': round(self._reserve, 2),
            'reserve_left': round(self._reserve_left, 2),
            'uncovered': round(self._uncovered, 2),
        }

    @property
    def _credit_left(self) -> float:
        return sum(each.credit for each in self._last(CREDIT_SLICES))

    @property
    def _held_left(self) -> float:
        read = sum(each.held for each in self._last(SPENT_SLICES))
        return max(self._held - self._unread_held - read, 0)

    @property
    def _reserve_left(self) -> float:
        in_window = self._unread_reserved + sum(each.reserved for each in self._last(SPENT_SLICES))
        return self._reserve - max(self._reserve_used, in_window)

    @property
    def _earned_in_use(self) -> float:
        """Return the parts of extra sends that requests have paid, of those that are unread or were read lately."""
        backing = self._unbacked + sum(each.backing for each in self._slices)
        return backing + self._unread_held + sum(each.earned for each in self._last(SPENT_SLICES))

    @property
    def _uncovered(self) -> float:
        """Return the parts of unread sends that nothing pays for any more, and of those that were read lately.

        Requests became fewer while they were unread, as where callers have moved to other instances.
        """
        held = max(self._unread_held - self._held, 0)
        return self._unbacked + held + sum(each.unbacked for each in self._last(SPENT_SLICES))

    def _take(self) -> Payment:
        """Take one send; what credit and held credit don't cover comes from the reserve."""
        credit = 1 - self._back(1)
        held = min(self._held_left, 1 - credit)
        reserved = 1 - credit - held
        self._unread_held += held
        self._unread_reserved += reserved
        self._reserve_used += reserved
        return Payment(credit, held, reserved)

    def _back(self, amount: float) -> float:
        """Pay ``amount`` of an extra send by credit, the oldest first; return what credit doesn't cover."""
        for each in self._last(CREDIT_SLICES):
            taken = min(each.credit, amount)
            each.credit -= taken
            each.backing += taken
            amount -= taken
        return amount

    def _release(self, payment: Payment, *, refunded: bool = False) -> float:
        """End the time in which a send is unread; return the part of its credit that nothing backed any more.

        Credit that is refunded can be used for as long as before.
        """
        self.unread -= 1
        self._unread_held -= payment.held
        self._unread_reserved -= payment.reserved
        unbacked = min(self._unbacked, payment.credit)
        self._unbacked -= unbacked
        missing = payment.credit - unbacked
        for each in self._slices:
            released = min(each.backing, missing)
            each.backing -= released
            each.credit += released if refunded else 0
            missing -= released
        return unbacked

    def _last(self, count: int) -> Iterable[_Slice]:
        """Return the slices among the last ``count`` up to the current one, the oldest first."""
        since = self._slices[-1].number - count
        return (each for each in self._slices if each.number > since)

    def _current_slice(self) -> _Slice:
        """Return the slice of the current time, and drop those that no longer count."""
        number = int(self._clock() / self._slice_s)
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
            self._back_again(number)
            while self._slices[0].number < number - KEPT_SLICES:
                self._slices.popleft()
            self._held = self._held_ratio * self._least_requests(number)
        return self._slices[-1]

    def _back_again(self, number: int) -> None:
        """Let later requests back the unread sends whose credit runs out before slice ``number``.

        Else each window of a runner that stands still could pay for as many, and all are read when it goes on.
        """
        expired = [each for each in self._slices if each.number <= number - CREDIT_SLICES]
        missing = self._unbacked + sum(each.backing for each in expired)
        for each in expired:
            each.backing = 0
        self._unbacked = self._back(missing) if missing else 0

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


def _credit_of(ratio: float, credit_share: float) -> float:
    """Return the credit of one request; it may be used in two windows."""
    return ratio * credit_share / 2


__all__ = ('CREDIT_SHARE', 'CREDIT_SLICES', 'Payment', 'WindowBudget')
