"""Lease of a duty, on a log that accepts a record only at the expected end.

The platform that the duty serves does not check fencing tokens, so only time keeps
two holders apart. Each machine measures all times here with one clock of its own,
which must advance while the machine sleeps:

- a holder may act for ``HOLD_S`` from the moment at which it *sent* its newest
  record, if that was accepted;
- another instance may claim if it has seen the log unchanged from the *end* of one
  read to the *begin* of another, ``claim_s`` later.

The accepted record was sent before it was seen, so the holder stops ``claim_s - HOLD_S``
before another one begins. An append in between changes the end of the log, and a
claim that expects the older end is refused.

After the store was restored from an older copy nobody holds the lease, whatever the
copy shows: the holder in it may have been followed by another one. A fencing token
is made of the epoch of the store, which counts these restores, and the offset of the
claim, which is assigned once in an epoch. With tokens counted on from the newest
record two holders got the same one: a renewal of the previous epoch may be executed
late, at an offset that is assigned again, and then it is the newest record.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

# How long a holder may act after it has sent its newest record, in seconds: long enough
# for two renewals to fail.
HOLD_S = 2.0
# More records than a log gets in one epoch: at ten a second it takes three years.
OFFSETS_PER_EPOCH = 1_000_000_000


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of a lease; ``holder`` is empty if the lease was released."""

    holder: str
    fence: int
    epoch: int


class LogView(NamedTuple):
    """State of the log in one read: the epoch, the end, and the newest lease record."""

    epoch: int
    end: int
    record: LeaseRecord | None


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
        """Start without a view of the log and without the lease."""
        self.fence: int | None = None
        # Whether no other instance can have held the lease between the newest record
        # of this instance and the restore of the store.
        self.unbroken = False
        self._name = name
        self._claim_s = claim_s
        self._view: LogView | None = None
        self._unchanged_since = math.inf
        self._sent_at = -math.inf

    @property
    def end(self) -> int:
        """Return the end of the log as last seen."""
        return self._view.end if self._view else 0

    @property
    def epoch(self) -> int:
        """Return the epoch of the store as last seen."""
        return self._view.epoch if self._view else 0

    @property
    def released(self) -> bool:
        """Return whether the newest record says that its holder has released the lease."""
        record = self._view.record if self._view else None
        return record is not None and not record.holder and record.epoch == self.epoch

    def valid(self, now: float) -> bool:
        """Return whether this instance may act as the holder."""
        return self.fence is not None and now < self._sent_at + HOLD_S

    def on_read(self, view: LogView, now: float) -> None:
        """Process a read of the log that ended at ``now``."""
        before = self._view
        if before is not None and view.epoch != before.epoch:
            # Another instance must see the newest record unchanged for this long before it claims.
            self.unbroken = self.fence is not None and now < self._sent_at + self._claim_s
            self.fence = None
        elif before is not None and view.end != before.end and self.fence is None:
            # The instance that appended may have held the lease. The newest record does
            # not show it, as that may be a late one of an older epoch.
            self.unbroken = False
        if before is None or (view.epoch, view.end) != (before.epoch, before.end):
            self._unchanged_since = now
        self._view = view
        if self.fence is not None and (view.record is None or view.record.fence != self.fence):
            self.lose()

    def may_claim(self, read_began_at: float) -> bool:
        """Return whether no instance can act as holder, given the time at which the newest read began."""
        if self._view is None:
            return False
        return self.released or read_began_at - self._unchanged_since >= self._claim_s

    def next_record(self) -> LeaseRecord:
        """Return the record with which this instance claims the lease, or renews it."""
        if self.fence is not None:
            return LeaseRecord(self._name, self.fence, self.epoch)
        return LeaseRecord(self._name, self.epoch * OFFSETS_PER_EPOCH + self.end + 1, self.epoch)

    def on_appended(self, record: LeaseRecord, end: int, sent_at: float) -> None:
        """Note that a record of this instance, sent at ``sent_at``, was accepted; the log now ends at ``end``."""
        self._view = LogView(record.epoch, end, record)
        self.fence = record.fence
        self._sent_at = sent_at

    def lose(self) -> None:
        """Note that this instance does not hold the lease any more."""
        self.fence = None
        self.unbroken = False


__all__ = ('HOLD_S', 'Lease', 'LeaseRecord', 'LogView')
