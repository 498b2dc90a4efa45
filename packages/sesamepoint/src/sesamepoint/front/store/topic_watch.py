"""Follower of a keyed topic of the platform's store, which shares the polling with its peers."""

from __future__ import annotations

import math
from itertools import cycle
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.front.store.call_pauses import CallPauses
from sesamepoint.front.store.dropped_updates import DroppedUpdates
from sesamepoint.front.store.missing_records import MissingRecords
from sesamepoint.front.store.out_of_order import OutOfOrderUpdates, Position
from sesamepoint.front.store.polling_turns import PollingTurns
from sesamepoint.front.store.record_application import RecordApplication
from sesamepoint.front.store.store_identity import StoreIdentity
from sesamepoint.front.store.topic_updates import TopicUpdate, broadcastable
from sesamepoint.platform.store import HistoryGoneError

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.store.hedged_reads import HedgedReads
    from sesamepoint.front.store.polling_turns import Pacing
    from sesamepoint.front.store.record_handlers import PeerGroup, RecordHandlers
    from sesamepoint.platform.store import KeyedRecord, TopicRecords

# Timeouts of calls for a whole topic, used in turn, in seconds. A store that was
# down never answers calls from before its recovery, so a short timeout detects
# the recovery sooner; the longer one copes with a slow store. With 1 s for each
# call, instances that had lost their list had the runners 0.3 to 0.6 s after
# the recovery.
LIST_TIMEOUTS_S = (0.5, 1.0)
# How long the store may hold the first follow call, in seconds; peers don't
# depend on its answer.
FIRST_WAIT_S = 1.0
# A list that has been under way for longer than a slow store takes may have been sent before the store returned and
# is never answered then, in seconds.
HUNG_LIST_S = 0.3


class TopicWatch:
    """Reads a whole topic, then follows its changes; starts over if the history is gone.

    After the store was restored from an older copy, the local state stays and
    only new records are applied until the settling time is over: the copy lacks
    some live runners, and contains some that have ended.
    """

    def __init__(
        self,
        store: HedgedReads,
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
        self._application = RecordApplication(topic, record_handlers.replace_all, record_handlers.update)
        self._peers = peers
        self._rng = rng
        self.turns = PollingTurns(pacing, peers.name, peers.instance_count, rng)
        self._pauses = CallPauses(topic, pacing.longest_retry_s, peers.pacer, record_handlers.urgent, rng)
        peers.pacer.on_answered_again[topic] = self._retry_now
        peers.pacer.news.read_anew[topic] = self.read_anew
        # The call under way, and when it began.
        self._call = trio.CancelScope()
        self._call_began_at = math.inf
        # Whether the store is known to have been restored, by an answer to another call or by a peer.
        self._has_news = False
        # Epoch at which the whole topic was read last.
        self._listed_epoch = 0
        self._list_timeout_s = cycle(LIST_TIMEOUTS_S)
        self._rescheduled = trio.Event()
        self._has_followed = False
        self.identity = StoreIdentity(topic, rng)
        # When the local state was last known to be current, on trio's clock.
        self.current_at = -math.inf
        self._has_records = False
        self.out_of_order = OutOfOrderUpdates()
        self.dropped = DroppedUpdates(topic, peers.listed, self.poll_soon)
        self._missing = MissingRecords(record_handlers)

    async def run(self) -> None:
        """Apply the whole topic, then each change, until cancelled."""
        while True:
            await self._wait_until_due()
            began_at = trio.current_time()
            moves = self.identity.moves
            self._call = trio.CancelScope()
            self._call_began_at = began_at
            self._has_news = False
            try:
                with self._call:
                    await self._poll(began_at)
            except HistoryGoneError:
                self._pauses.note_answered(self.turns.end)
                self.turns.reset()
            except PlatformUnavailableError as exc:
                # A call that a new address of the store has ended says nothing of the store there.
                if moves == self.identity.moves:
                    self._note_unavailable(exc, began_at)
            self._check_epoch()

    def on_update(self, topic_update: TopicUpdate) -> None:
        """Handle an update from a peer."""
        if not self.dropped.drops(topic_update, Position(self.identity.epoch, self.turns.end or 0)):
            self._peers.pacer.note_peer_answered()
            old_due = self.turns.due
            self._take_update(topic_update, trio.current_time())
            if self.turns.due < old_due:
                self._rescheduled.set()

    def poll_soon(self) -> None:
        """Poll the store from this instance soon."""
        self.turns.request_poll(trio.current_time())
        self._rescheduled.set()

    def read_anew(self, epoch: int, within_s: float) -> None:
        """Read the whole topic within some seconds, since the store has a newer epoch; known offsets are void."""
        if not 0 < self.identity.epoch < epoch:
            return
        now = trio.current_time()
        if self.turns.end is not None or now > self._call_began_at + HUNG_LIST_S:
            self._call.cancel()
        self._has_news = True
        self._pauses.reset()
        self.turns.reset()
        self.turns.due = now + self._rng.uniform(0, within_s)
        self._rescheduled.set()

    def note_store_moved(self) -> None:
        """Start over at the new address of the store; what is known stays until the store has answered there."""
        self.identity.note_moved(self.turns.end, has_records=self._has_records)
        self.out_of_order = OutOfOrderUpdates()
        self._pauses.reset()
        self.turns.reset()
        self.turns.due = trio.current_time()
        self._rescheduled.set()

    def repace(self, pacing: Pacing) -> None:
        """Apply other intervals; the pauses between failed calls go on unless theirs has changed."""
        if pacing == self.turns.pacing:
            return
        self._wait_s = pacing.long_poll_s
        self._pauses.repace(pacing.longest_retry_s)
        self.turns.repace(pacing)

    async def _wait_until_due(self) -> None:
        while trio.current_time() < self._next_due():
            self._rescheduled = trio.Event()
            with trio.move_on_at(self._next_due()):
                await self._rescheduled.wait()
        if self.identity.settles_at <= trio.current_time():
            self.identity.settles_at = math.inf
            self.turns.reset()

    def _next_due(self) -> float:
        due = min(self.turns.due, self.identity.settles_at)
        return due if self._has_news else max(due, self._pauses.earliest())

    def _note_unavailable(self, exc: PlatformUnavailableError, began_at: float) -> None:
        pause_s = self._pauses.note_failed(str(exc), began_at)
        self.turns.note_failed(pause_s, trio.current_time())
        self._missing.ask()

    def _retry_now(self) -> None:
        """Repeat a failed call at once, since the store answers this instance again."""
        if self._pauses.failing:
            self._pauses.retry_at = 0
            self.turns.due = trio.current_time()
        self._rescheduled.set()

    async def _poll(self, began_at: float) -> None:
        self.turns.begin_poll()
        if not self._handlers.urgent():
            self._peers.pacer.begin_call()
        start = self.turns.end
        answered = await (self._list(began_at) if start is None else self._follow(start, began_at))
        if answered:
            self._missing.note_read()
            self._handlers.confirm(True)
        if answered and not self.identity.settling:
            self._handlers.polled(began_at)

    async def _follow(self, start: int, began_at: float) -> bool:
        """Apply the changes since the offset ``start``; return False if the store was restored meanwhile."""
        wait_s = self._follow_wait_s()
        # After a hint all instances poll, and their lists would be a burst at the store. While the state settles, the
        # copy of a restored store must not be applied as changes.
        list_instead = not (self.turns.hinted or self.identity.settling)
        changes = await self._store.follow(self._topic, start, wait_s, list_instead=list_instead)
        self._pauses.note_answered(changes.end)
        if changes.epoch != self.identity.epoch:
            return False
        if changes.whole:
            changes = self._application.changes_since(start, changes)
        self._has_followed = True
        # Without records the store has answered at the end of the wait, with records at an unknown time before.
        self.current_at = began_at if changes.records else min(began_at + wait_s, trio.current_time())
        await self._apply_poll(start, changes)
        return True

    def _follow_wait_s(self) -> float:
        if self.turns.hinted or not self._pauses.reachable or self._peers.pacer.is_down():
            # The records are there already, or an answer of any kind shows that the
            # store has returned: a held call would only delay it.
            return 0
        return self._wait_s if self._has_followed else FIRST_WAIT_S

    async def _list(self, began_at: float) -> bool:
        listing = await self._store.read_newest(self._topic, next(self._list_timeout_s))
        self._check_epoch()
        self.current_at = began_at
        self._pauses.note_answered(listing.end)
        self.identity.check_listing(listing)
        if 0 < self._listed_epoch < listing.epoch:
            self._peers.pacer.news.note_read(self._topic, listing.epoch)
        self._listed_epoch = listing.epoch
        if self.identity.settling:
            self._handlers.restore(listing.records)
        else:
            self._application.replace_all(listing.records)
            self._has_records = True
        self.turns.note_listed(listing.end, trio.current_time())
        self._has_followed = False
        return True

    async def _apply_poll(self, start: int, answer: TopicRecords) -> None:
        # Peers may have sent later updates while the store answered.
        known_end = max(start, self.turns.end or 0)
        changed = self._update(Position(answer.epoch, answer.end), answer.records if answer.end >= known_end else ())
        if self.turns.note_polled(answer.end, trio.current_time()) and answer.end >= known_end:
            records = broadcastable(changed, confidential=self._handlers.confidential)
            await self._peers.broadcast(
                TopicUpdate(
                    self._peers.name,
                    self._topic,
                    known_end,
                    answer.end,
                    records,
                    answer.epoch,
                )
            )

    def _update(self, position: Position, records: tuple[KeyedRecord, ...]) -> list[KeyedRecord]:
        # Peers may lack what an out-of-order update has changed here.
        changed_early = self.out_of_order.keys()
        self.identity.note_changed(records)
        current = {record.key for record in self.out_of_order.drop_outdated(position, records)}
        changed: list[KeyedRecord] = []
        changed_keys = set(changed_early)
        for record in records:
            is_new = record.key in current and (self._application.update(record) or self._handlers.passes_known)
            # A key that changed and changed back counts too: a peer may have
            # received the first change and not the second. All its records are
            # sent: the newest one alone would hide that a runner was removed in between.
            if is_new or record.key in changed_keys:
                changed_keys.add(record.key)
                changed.append(record)
        return changed

    def _take_update(self, topic_update: TopicUpdate, now: float) -> None:
        leaves_gap = self.turns.leaves_gap(topic_update.start)
        if topic_update.epoch > self.identity.epoch or topic_update.changed is None:
            self._on_incomplete_update(topic_update, now)
        elif self.turns.note_update(topic_update.entry, topic_update.start, topic_update.end, now):
            self.current_at = now
            self._update(Position(topic_update.epoch, topic_update.end), topic_update.changed)
            if not self._handlers.confirm(False):
                self.turns.request_poll(now)
        elif leaves_gap:
            self._apply_out_of_order(topic_update)

    def _on_incomplete_update(self, topic_update: TopicUpdate, now: float) -> None:
        """Handle an update that lacks its records or is of a newer epoch of the store."""
        known_end = self.turns.end
        if topic_update.epoch > self.identity.epoch or known_end is None or known_end < topic_update.end:
            self._missing.note_incomplete(topic_update.entry)
            self.turns.request_poll(now)
            self._apply_out_of_order(topic_update)
            if self._pauses.retry_at > now:
                # The store refuses this instance, which calls it later only.
                self._missing.ask()

    def _apply_out_of_order(self, topic_update: TopicUpdate) -> None:
        if not self._has_records:
            return
        start = Position(topic_update.epoch, topic_update.start)
        if topic_update.changed is None or self.out_of_order.leaves_gap(start):
            self._missing.note_gap(topic_update.entry)
            if self._pauses.failing:
                self._missing.ask()
        for record in self.out_of_order.take_new(
            Position(topic_update.epoch, topic_update.end), topic_update.changed or ()
        ):
            self._application.update(record)

    def _check_epoch(self) -> None:
        """Start over if the epoch of the store has changed."""
        if self.identity.check_epoch(self._store.epoch.newest, self.turns.end, has_records=self._has_records):
            self.turns.reset()


__all__ = ('TopicWatch',)
