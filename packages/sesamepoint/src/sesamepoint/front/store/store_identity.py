"""Which store the records of a topic are from: whether it was restored, or answers at a new address."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.store.out_of_order import Position

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.platform.store import KeyedRecord, TopicRecords

# Settling time after the store was restored from an older copy, in seconds. By
# its end all live instances and runners have written again what the copy lacks,
# and the records of those that had ended have expired again (three heartbeats of
# 1.2 s).
SETTLE_S = 6.0
# Instances then read the whole topic at random times within this many seconds.
SETTLE_JITTER_S = 1.0


class StoreIdentity:
    """Tells a store that goes on from one that was restored, which lacks some live runners and has some that ended.

    A store at a new address goes on if its log has the epoch of before, reaches at least as far, and has one of the
    known keys. Any other counts as restored: without that, instances would drop all runners at once.
    """

    def __init__(self, topic: str, rng: Random) -> None:
        """Start without having read the topic."""
        self.epoch = 0
        # Number of changes of the address so far.
        self.moves = 0
        # End of the settling time; infinite if the store is settled.
        self.settles_at = math.inf
        self._topic = topic
        self._rng = rng
        # Position that was known at the address of before, until the store has answered at the new one.
        self._moved_from: Position | None = None
        self._keys: set[str] = set()

    @property
    def settling(self) -> bool:
        """Tell whether the local state stays, and only new records are applied."""
        return self.settles_at < math.inf

    def note_changed(self, records: tuple[KeyedRecord, ...]) -> None:
        """Note keys that the topic has or had."""
        self._keys.update(record.key for record in records)

    def note_moved(self, end: int | None, *, has_records: bool) -> None:
        """Note that the store has another address; ``end`` is up to where the topic is known."""
        self.moves += 1
        if has_records:
            self._moved_from = self._moved_from or Position(self.epoch, end or 0)
        self.epoch = 0
        self.settles_at = math.inf

    def check_epoch(self, newest: int, end: int | None, *, has_records: bool) -> bool:
        """Return whether the epoch has changed since the last check, so that the topic must be read anew."""
        if newest == self.epoch:
            return False
        if self.epoch:
            events.log_event(
                events.STORE_ROLLED_BACK, topic=self._topic, era=newest, era_before=self.epoch, end_before=end
            )
        if self.epoch and has_records:
            self._begin_settling()
        self.epoch = newest
        return True

    def check_listing(self, listing: TopicRecords) -> None:
        """Decide on the first list at a new address whether the store there goes on."""
        before = self._moved_from
        self._moved_from = None
        if before is not None:
            same = self._goes_on(before, listing)
            events.log_event(
                events.STORE_MOVED,
                topic=self._topic,
                same=same,
                era=listing.epoch,
                era_before=before.epoch,
                end=listing.end,
                end_before=before.end,
            )
            if not same:
                self._begin_settling()
        self.note_changed(listing.records)

    def _goes_on(self, before: Position, listing: TopicRecords) -> bool:
        known = not self._keys or any(record.key in self._keys for record in listing.records)
        return known and listing.epoch == before.epoch and listing.end >= before.end

    def _begin_settling(self) -> None:
        self.settles_at = trio.current_time() + SETTLE_S + self._rng.uniform(0, SETTLE_JITTER_S)


__all__ = ('SETTLE_JITTER_S', 'SETTLE_S', 'StoreIdentity')
