"""Who holds a duty: a lease on a log whose records are appended at a known end.

The platform that the duty is done for does not check fencing numbers, so only
time keeps two holders apart. All times here are one clock's of one machine, and
it has to count while the machine sleeps:

- a holder may act for ``HOLD_S`` from the moment at which it *sent* its newest
  record, if that was accepted;
- another one may claim if it has seen the log unchanged from the *end* of one
  reading to the *begin* of another, ``claim_s`` later.

The accepted record was sent before it was seen, so the holder has stopped by
``claim_s - HOLD_S`` before another one begins. What is appended in between changes
the end, and then a claim that knows the older end is refused.

After the store came back from an older copy the lease is nobody's, whatever the
copy shows: an older holder that it names may have been followed by another one.
A fencing number is the count of these returns and the offset of the claim, which
is given out once between two of them. Counted on from the newest record, two
holders had one number: a renewal of the time before may be carried out late, at an
offset that is given out again, and then it is the newest record.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

# How long a holder may act after it has sent its newest record, in seconds: two
# renewals may fail.
HOLD_S = 2.0
# More records than a log has in one era: at ten a second it takes three years.
OFFSETS_OF_ERA = 1_000_000_000


class Holding(msgspec.Struct, frozen=True, array_like=True):
    """The record of a lease; ``holder`` is empty if it was given back."""

    holder: str
    fence: int
    era: int


class LogView(NamedTuple):
    """What one reading of the log has found."""

    era: int
    end: int
    holding: Holding | None


class Lease:
    """The lease as one instance sees it.

    Parameters
    ----------
    name
        Of this instance.
    claim_s
        Seconds for which the log must stay unchanged before a claim.
    """

    def __init__(self, name: str, claim_s: float) -> None:
        """Have seen nothing and hold nothing."""
        self.fence: int | None = None
        # Whether nobody else can have held it between the newest record of this
        # instance and the return of the store.
        self.unbroken = False
        self._name = name
        self._claim_s = claim_s
        self._view: LogView | None = None
        self._unchanged_since = math.inf
        self._sent_at = -math.inf

    @property
    def end(self) -> int:
        """Return the end of the log as it was seen last."""
        return self._view.end if self._view else 0

    @property
    def era(self) -> int:
        """Return the era of the store as it was seen last."""
        return self._view.era if self._view else 0

    def valid(self, now: float) -> bool:
        """Tell whether this instance may act."""
        return self.fence is not None and now < self._sent_at + HOLD_S

    def saw(self, view: LogView, now: float) -> None:
        """Take what a reading found that was over at ``now``."""
        before = self._view
        if before is not None and view.era != before.era:
            # Whoever claims has seen that record for so long.
            self.unbroken = self.fence is not None and now < self._sent_at + self._claim_s
            self.fence = None
        elif before is not None and view.end != before.end and self.fence is None:
            # Whoever appended may have held it: the newest record does not tell,
            # it may be a late one of an older era.
            self.unbroken = False
        if before is None or (view.era, view.end) != (before.era, before.end):
            self._unchanged_since = now
        self._view = view
        if self.fence is not None and (view.holding is None or view.holding.fence != self.fence):
            self.lose()

    def may_claim(self, read_at: float) -> bool:
        """Tell whether nobody can act by the newest reading, which began at ``read_at``."""
        if self._view is None:
            return False
        holding = self._view.holding
        if holding is not None and not holding.holder and holding.era == self._view.era:
            return True
        return read_at - self._unchanged_since >= self._claim_s

    def next_holding(self) -> Holding:
        """Return the record with which this instance claims the lease, or renews it."""
        if self.fence is not None:
            return Holding(self._name, self.fence, self.era)
        return Holding(self._name, self.era * OFFSETS_OF_ERA + self.end + 1, self.era)

    def appended(self, holding: Holding, end: int, sent_at: float) -> None:
        """Note that a record of this instance, sent at ``sent_at``, was accepted at ``end``."""
        self._view = LogView(holding.era, end, holding)
        self.fence = holding.fence
        self._sent_at = sent_at

    def lose(self) -> None:
        """Note that somebody else holds it, or nobody."""
        self.fence = None
        self.unbroken = False


__all__ = ('HOLD_S', 'Holding', 'Lease', 'LogView')
