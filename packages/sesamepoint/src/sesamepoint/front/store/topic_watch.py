"""Follower of a keyed topic of the platform's store, which shares the polling with its peers."""

from __future__ import annotations

import math
from itertools import cycle
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.front.store.out_of_order import OutOfOrderUpdates, Position
from sesamepoint.front.store.polling_turns import PollingTurns
from sesamepoint.front.store.topic_updates import TopicUpdate, broadcastable
from sesamepoint.platform.store import HistoryGoneError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sesamepoint.front.store.polling_turns import Pacing
    from sesamepoint.platform.store import KeyedRecord, StoreClient, TopicRecords

# Range of the random pause before a failed call is repeated, in seconds: spreads
# the load on a store that recovers.
RETRY_RANGE_S = (0.1, 0.4)
# Timeouts of calls for a whole topic, used in turn, in seconds. A store that was
# down never answers calls from before its recovery, so a short timeout detects
# the recovery sooner; the longer one copes with a slow store. With 1 s for each
# call, instances that had lost their list had the runners 0.3 to 0.6 s after
# the recovery.
LIST_TIMEOUTS_S = (0.5, 1.0)
# How long the store may hold the first follow call, in seconds; peers don't
# depend on its answer.
FIRST_WAIT_S = 1.0
# Settling time after the store was restored from an older copy, in seconds. By
# its end all live instances and runners have written again what the copy lacks,
# and the records of those that had ended have expired again (three heartbeats of
# 1.2 s).
SETTLE_S = 6.0
# Instances then read the whole topic at random times within this many seconds.
SETTLE_JITTER_S = 1.0


def _ignore(_: object) -> None:
    """Do nothing."""


class RecordHandlers(NamedTuple):
    """Callbacks for the records of a topic.

    Parameters
    ----------
    replace_all
        Replaces the local state by the whole topic.
    update
        Applies one record; returns whether it changed the local state.
    restore
        Receives the whole topic of a store that was restored from an older
        copy, to write this instance's missing records again.
    request_from
        Called with the name of a peer to request records from that the store
        does not return to this instance; None if updates contain all records.
    """

    replace_all: Callable[[tuple[KeyedRecord, ...]], None]
    update: Callable[[KeyedRecord], bool]
    restore: Callable[[tuple[KeyedRecord, ...]], None] = _ignore
    request_from: Callable[[str], None] | None = None

    @property
    def confidential(self) -> bool:
        """Tell whether updates omit the records; peers then request them or poll the store."""
        return self.request_from is not None


class PeerGroup(NamedTuple):
    """This instance and the peers with which it shares the polling.

    Parameters
    ----------
    name
        The name of this instance.
    instance_count
        Returns the number of instances, including this one.
    broadcast
        Sends an update to all peers.
    """

    name: str
    instance_count: Callable[[], int]
    broadcast: Callable[[TopicUpdate], Awaitable[None]]


class TopicWatch:
    """Reads a whole topic, then follows its changes; starts over if the history is gone.

    After the store was restored from an older copy, the local state stays and
    only new records are applied until the settling time is over: the copy lacks
    some live runners, and contains some that have ended.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        pacing: Pacing,
        record_handlers: RecordHandlers,
        peers: PeerGroup,
        rng: Random,
    ) -> None:
        """Follow ``topic`` at the rate of ``pacing``, in turn with the peers."""
        self._store = store
        self._topic = topic
        self._wait_s = pacing.long_poll_s
        self._handlers = record_handlers
        self._peers = peers
        self._rng = rng
        self.turns = PollingTurns(pacing, peers.name, peers.instance_count, rng)
        self._reachable = True
        self._list_timeout_s = cycle(LIST_TIMEOUTS_S)
        self._rescheduled = trio.Event()
        self._has_followed = False
        self._epoch = 0
        self._has_records = False
        # End of the settling time; infinite if the store is settled.
        self._settles_at = math.inf
        self.out_of_order = OutOfOrderUpdates()
        # The sender of the latest update that lacked its records.
        self._update_sender = ''

    async def run(self) -> None:
        """Apply the whole topic, then each change, until cancelled."""
        while True:
            await self._wait_until_due()
            try:
                await self._poll()
            except HistoryGoneError:
                self.turns.reset()
            except PlatformUnavailableError as exc:
                self._note_unreachable(exc)
                self.turns.note_failed(self._rng.uniform(*RETRY_RANGE_S), trio.current_time())
                self._request_from_sender()
            self._check_epoch()

    def on_update(self, topic_update: TopicUpdate) -> None:
        """Handle an update from a peer."""
        if topic_update.epoch < self._epoch:
            # It is from before the store was restored.
            return
        old_due = self.turns.due
        now = trio.current_time()
        known_end = self.turns.end
        if topic_update.epoch > self._epoch or topic_update.changed is None:
            self._on_incomplete_update(topic_update, now)
        elif self.turns.note_update(topic_update.entry, topic_update.start, topic_update.end, now):
            self._update(Position(topic_update.epoch, topic_update.end), topic_update.changed)
        elif known_end is not None and topic_update.start > known_end:
            self._apply_out_of_order(topic_update)
        if self.turns.due < old_due:
            self._rescheduled.set()

    def poll_soon(self) -> None:
        """Poll the store from this instance soon."""
        self.turns.request_poll(trio.current_time())
        self._rescheduled.set()

    async def _wait_until_due(self) -> None:
        while trio.current_time() < self._next_due():
            self._rescheduled = trio.Event()
            with trio.move_on_at(self._next_due()):
                await self._rescheduled.wait()
        if self._settles_at <= trio.current_time():
            self._settles_at = math.inf
            self.turns.reset()

    def _next_due(self) -> float:
        return min(self.turns.due, self._settles_at)

    async def _poll(self) -> None:
        self.turns.begin_poll()
        start = self.turns.end
        if start is None:
            return await self._list()
        changes = await self._store.follow(self._topic, start, self._wait_s if self._has_followed else FIRST_WAIT_S)
        if changes.epoch == self._epoch:
            self._has_followed = True
            self._note_reachable(changes)
            await self._apply_poll(start, changes)

    async def _list(self) -> None:
        listing = await self._store.read_newest(self._topic, next(self._list_timeout_s))
        self._check_epoch()
        self._note_reachable(listing)
        if self._settling():
            self._handlers.restore(listing.records)
        else:
            self._handlers.replace_all(listing.records)
            self._has_records = True
        self.turns.note_listed(listing.end, trio.current_time())
        self._has_followed = False

    async def _apply_poll(self, start: int, answer: TopicRecords) -> None:
        # Peers may have sent later updates while the store answered.
        known_end = max(start, self.turns.end or 0)
        changed = self._update(Position(answer.epoch, answer.end), answer.records if answer.end >= known_end else ())
        if self.turns.note_polled(answer.end, trio.current_time()) and answer.end >= known_end:
            records = broadcastable(changed, confidential=self._handlers.confidential)
            await self._peers.broadcast(
                TopicUpdate(self._peers.name, self._topic, known_end, answer.end, records, answer.epoch)
            )

    def _update(self, position: Position, records: tuple[KeyedRecord, ...]) -> dict[str, KeyedRecord]:
        changed: dict[str, KeyedRecord] = {}
        for record in self.out_of_order.drop_outdated(position, records):
            # A key that changed and changed back counts too: a peer may have
            # received the first change and not the second.
            if self._handlers.update(record) or record.key in changed:
                changed[record.key] = record
        return changed

    def _on_incomplete_update(self, topic_update: TopicUpdate, now: float) -> None:
        """Handle an update that lacks its records or is of a newer epoch of the store."""
        known_end = self.turns.end
        if topic_update.epoch > self._epoch or (known_end is not None and known_end < topic_update.end):
            self._update_sender = topic_update.entry
            self.turns.request_poll(now)
            self._apply_out_of_order(topic_update)

    def _apply_out_of_order(self, topic_update: TopicUpdate) -> None:
        if self._has_records:
            for record in self.out_of_order.take_new(
                Position(topic_update.epoch, topic_update.end), topic_update.changed or ()
            ):
                self._handlers.update(record)

    def _request_from_sender(self) -> None:
        """Request the records that the store does not return from the sender of the update."""
        if self._handlers.request_from and self._update_sender:
            self._handlers.request_from(self._update_sender)
            self._update_sender = ''

    def _settling(self) -> bool:
        return self._settles_at < math.inf

    def _check_epoch(self) -> None:
        """Start over if the epoch of the store has changed."""
        epoch = self._store.epoch.newest
        if epoch == self._epoch:
            return
        if self._epoch:
            events.log_event(
                events.STORE_ROLLED_BACK,
                topic=self._topic,
                era=epoch,
                era_before=self._epoch,
                end_before=self.turns.end,
            )
        if self._epoch and self._has_records:
            self._settles_at = trio.current_time() + SETTLE_S + self._rng.uniform(0, SETTLE_JITTER_S)
        self._epoch = epoch
        self.turns.reset()

    def _note_reachable(self, answer: TopicRecords) -> None:
        if not self._reachable:
            events.log_event(events.STORE_REACHABLE, topic=self._topic, end=answer.end)
        self._reachable = True

    def _note_unreachable(self, exc: PlatformUnavailableError) -> None:
        if self._reachable:
            events.log_event(events.STORE_UNREACHABLE, topic=self._topic, cause=str(exc))
        self._reachable = False


__all__ = ('PeerGroup', 'RecordHandlers', 'TopicWatch')
