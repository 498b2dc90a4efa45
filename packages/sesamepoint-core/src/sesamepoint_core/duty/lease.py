"""Lease of a duty, on a log that accepts a record only at the expected end.

The platform that the duty serves does not check fencing tokens, so only time keeps
two holders apart. Each machine measures all times here with one clock of its own,
which must advance while the machine sleeps:

- a holder may act for ``HOLD_S`` from the moment at which it *sent* its newest
  record, if that was accepted;
- another instance may claim if it has seen the log unchanged from the *end* of one
  read to the *begin* of another, ``take_over_s`` later, or if the holder has released
  the lease.

The accepted record was sent before it was seen, so the holder stops
``take_over_s - HOLD_S`` before another one begins. An append in between changes the
end of the log, and a claim that expects the older end is refused.

Holders must not act in the order A, B, A within the lease time either. So an instance
that may have acted within ``return_s``, before another one did, waits that long before
it claims. A process that has run for that long knows whether it has acted. One that
has just started does not know what the process before it did, so the record of the
lease names the holders that acted lately. A record without these names, of an earlier
version or from before a restore of the store, may hide any name. An empty log of a store
that was never restored hides none.

After the store was restored from an older copy nobody holds the lease, whatever the
copy shows: the holder in it may have been followed by another one. A fencing token
is made of the epoch of the store, which counts these restores, and the offset of the
claim, which is assigned once in an epoch. With tokens counted on from the newest
record two holders got the same one: a renewal of the previous epoch may be executed
late, at an offset that is assigned again, and then it is the newest record.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import Annotated, NamedTuple

import msgspec

# How long a holder may act after it has sent its newest record, in seconds: long enough
# for two renewals to fail.
HOLD_S = 2.0
# Added to that before another instance takes over, in seconds: a call that the holder
# began in time reaches the platform before the first one of the next holder, also
# from a machine that is slow to send it.
TAKE_OVER_MARGIN_S = 1.5
# Added to the lease time before a holder returns, in seconds, for calls that arrive late.
RETURN_MARGIN_S = 0.5
# More records than a log gets in one epoch: at ten a second it takes three years.
OFFSETS_PER_EPOCH = 1_000_000_000
# Most holders that a record names. In a longer chain of releases nobody is known not to have acted.
MAX_RECENT = 16
MAX_NAME_CHARS = 256
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class Holder(NamedTuple):
    """A holder as the platform sees it: one machine."""

    name: Name
    host: Name


class LeaseTimes(NamedTuple):
    """How long to wait before a claim, in seconds.

    Parameters
    ----------
    take_over_s
        With the log unchanged, until the holder can't act any more.
    return_s
        Before an instance acts again that acted before another one.
    """

    take_over_s: float
    return_s: float

    @classmethod
    def from_lease(cls, lease_s: float) -> LeaseTimes:
        """Return the times for a lease time of ``lease_s`` seconds, within which holders must not take turns."""
        return cls(HOLD_S + TAKE_OVER_MARGIN_S, lease_s + RETURN_MARGIN_S)


class LeaseRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of a lease; ``holder`` is empty if the lease was released.

    Parameters
    ----------
    recent
        Holders that may have acted within the time before a return, the latest last, with the holder itself. None
        if not all of them are known. Earlier versions neither write nor read it.
    reported
        Newest window whose report the platform has taken, as far as the holder knows.
    """

    holder: str
    fence: int
    epoch: int
    recent: tuple[Holder, ...] | None = None
    reported: int | None = None


class ClaimState(Enum):
    """Whether an instance may claim the lease.

    ``held``: another instance may hold it. ``recent``: this one acted lately, before another one.
    ``unknown``: it is not known who acted lately.
    """

    free = 'free'
    held = 'held'
    recent = 'recent'
    unknown = 'unknown'


class ClaimAnswer(NamedTuple):
    """Whether an instance may claim, and in how many seconds it may if nothing changes."""

    state: ClaimState
    wait_s: float = 0


class LogView(NamedTuple):
    """State of the log in one read: the epoch, the end, and the newest lease record."""

    epoch: int
    end: int
    record: LeaseRecord | None


# A log that is empty and was never restored.
NEVER_HELD = LogView(0, 0, None)


class Lease:
    """The lease as one instance sees it."""

    def __init__(self, owner: Holder, times: LeaseTimes, now: float) -> None:
        """Start without a view of the log and without the lease, in a process that starts at ``now``."""
        self.fence: int | None = None
        # Whether no other instance can have held the lease between the newest record
        # of this instance and the restore of the store.
        self.unbroken = False
        # Newest window whose report the platform has taken, as far as this instance knows.
        self.reported: int | None = None
        self._owner = owner
        self._times = times
        self._view: LogView | None = None
        self._unchanged_since = math.inf
        self._sent_at = -math.inf
        self._claimed_at = -math.inf
        # Others that may have acted shortly before the claim; None if not all are known.
        self._predecessors: tuple[Holder, ...] | None = None
        # When this machine may have acted last: the process before this one may have, until it ended.
        self._may_have_acted_at = now
        # When it has acted as the holder, or its process before has, as the record says.
        self._acted_at = -math.inf

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
        record = self._record
        return record is not None and not record.holder

    def valid(self, now: float) -> bool:
        """Return whether this instance may act as the holder."""
        return self.fence is not None and now < self._sent_at + HOLD_S

    def note_acted(self, now: float) -> None:
        """Note that this instance acts as the holder, or that an act of it has ended at ``now``."""
        self._acted_at = now
        self._may_have_acted_at = now

    def on_read(self, view: LogView, now: float) -> None:
        """Process a read of the log that ended at ``now``."""
        before = self._view
        if before is not None and view.epoch != before.epoch:
            # Another instance must see the newest record unchanged for this long before it claims.
            self.unbroken = self.fence is not None and now < self._sent_at + self._times.take_over_s
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

    def may_claim(self, read_began_at: float) -> ClaimAnswer:
        """Return whether this instance may claim, given the time at which the newest read began.

        Before the first read it may not, and waits without end.
        """
        held_s = 0 if self.released else self._times.take_over_s - (read_began_at - self._unchanged_since)
        if held_s > 0:
            return ClaimAnswer(ClaimState.held, held_s)
        return_s = self._times.return_s - (read_began_at - min(self._unchanged_since, self._may_have_acted_at))
        recent = self._recent
        if return_s <= 0:
            return ClaimAnswer(ClaimState.free)
        if recent is None:
            return ClaimAnswer(ClaimState.unknown, return_s)
        before_others = recent[:-1] if recent[-1:] == (self._owner,) else recent
        if any(self._may_be_self(holder) for holder in before_others):
            return ClaimAnswer(ClaimState.recent, return_s)
        return ClaimAnswer(ClaimState.free)

    def next_record(self, now: float) -> LeaseRecord:
        """Return the record with which this instance claims the lease at ``now``, or renews it."""
        fence = self.fence
        if fence is None:
            fence = self.epoch * OFFSETS_PER_EPOCH + self.end + 1
        recent = self._inherited(now) if self.fence is None else self._recent_predecessors(now)
        return LeaseRecord(self._owner.name, fence, self.epoch, self._followed_by_self(recent), self._newest_reported)

    def release_record(self, now: float) -> LeaseRecord:
        """Return the record with which this instance releases the lease; it is named if it has acted lately."""
        held = self.next_record(now)
        recent = self._recent_predecessors(now)
        if now - self._acted_at < self._times.return_s:
            recent = self._followed_by_self(recent)
        return msgspec.structs.replace(held, holder='', recent=recent)

    def on_appended(self, record: LeaseRecord, end: int, sent_at: float) -> None:
        """Note that a record of this instance, sent at ``sent_at``, was accepted; the log now ends at ``end``."""
        if self.fence is None:
            if self._may_be_recent_self():
                self._acted_at = sent_at
            self._claimed_at = sent_at
            self._predecessors = record.recent[:-1] if record.recent else None
        self._view = LogView(record.epoch, end, record)
        self.fence = record.fence
        # A report may have arrived since the record was made.
        self.reported = self._newest_reported
        self._sent_at = sent_at

    def lose(self) -> None:
        """Note that this instance does not hold the lease any more."""
        self.fence = None
        self.unbroken = False

    @property
    def _record(self) -> LeaseRecord | None:
        """Return the newest record if it is of this epoch of the store."""
        record = self._view.record if self._view else None
        return record if record is not None and record.epoch == self.epoch else None

    @property
    def _recent(self) -> tuple[Holder, ...] | None:
        if self._view == NEVER_HELD:
            return ()
        record = self._record
        return None if record is None else record.recent

    @property
    def _newest_reported(self) -> int | None:
        """Return the newest window that is known to be reported; a restore of the store takes no report back."""
        stored = self._view.record.reported if self._view and self._view.record else None
        known = [window for window in (stored, self.reported) if window is not None]
        return max(known, default=None)

    def _may_be_self(self, holder: Holder) -> bool:
        """Tell whether ``holder`` may be this machine, which may have had another address, or another name."""
        return holder.name == self._owner.name or holder.host == self._owner.host

    def _may_be_recent_self(self) -> bool:
        """Tell whether a process of this machine before this one may have acted lately, by the newest record."""
        recent = self._recent
        return recent is None or any(self._may_be_self(holder) for holder in recent)

    def _inherited(self, now: float) -> tuple[Holder, ...] | None:
        """Return who may have acted shortly before a claim that is sent at ``now``."""
        record = self._record
        if record is None or now - self._unchanged_since < self._times.return_s:
            return self._recent
        # Only the holder of the newest record can have acted after it.
        if not record.holder:
            return ()
        return record.recent[-1:] if record.recent else (Holder(record.holder, ''),)

    def _recent_predecessors(self, now: float) -> tuple[Holder, ...] | None:
        """Return who may have acted shortly before the claim of this instance, and lately as of ``now``."""
        return () if now - self._claimed_at >= self._times.return_s else self._predecessors

    def _followed_by_self(self, recent: tuple[Holder, ...] | None) -> tuple[Holder, ...] | None:
        """Return ``recent`` with this instance as the latest; None if that is too long or not known."""
        if recent is None:
            return None
        others = tuple(holder for holder in recent if holder != self._owner)
        return (*others, self._owner) if len(others) < MAX_RECENT else None


__all__ = (
    'HOLD_S',
    'MAX_RECENT',
    'ClaimAnswer',
    'ClaimState',
    'Holder',
    'Lease',
    'LeaseRecord',
    'LeaseTimes',
    'LogView',
)
