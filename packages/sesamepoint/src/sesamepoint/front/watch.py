"""Follower of a keyed topic of the platform's store, which shares the polling with its peers."""

from __future__ import annotations

import math
from itertools import cycle
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.front.news import News, tellable
from sesamepoint.front.reading_turns import ReadingTurns
from sesamepoint.front.told_apart import Place, ToldApart
from sesamepoint.platform.store import HistoryGoneError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sesamepoint.front.reading_turns import Pacing
    from sesamepoint.platform.store import KeyedRecord, Newest, StoreClient

# Range of the random pause before a failed call is repeated, in seconds: spreads
# the load on a store that recovers.
RETRY_SPAN_S = (0.1, 0.4)
# Timeouts of calls for a whole topic, used in turn, in seconds. A store that was
# down never answers calls from before its recovery, so a short timeout detects
# the recovery sooner; the longer one copes with a slow store. With 1 s for each
# call, instances that had lost their list had the runners 0.3 to 0.6 s after
# the recovery.
FIRST_CALL_S = (0.5, 1.0)
# How long the store may hold the first follow call, in seconds; peers don't
# depend on its answer.
FIRST_WAIT_S = 1.0
# Settling time after the store was restored from an older copy, in seconds. By
# its end all live instances and runners have written again what the copy lacks,
# and the records of those that had ended have expired again (three heartbeats of
# 1.2 s).
SETTLE_S = 6.0
# Instances then read the whole topic at random times within this many seconds.
SETTLE_SPREAD_S = 1.0


def _pass_over(_: object) -> None:
    """Do nothing."""


class Taker(NamedTuple):
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
    restore: Callable[[tuple[KeyedRecord, ...]], None] = _pass_over
    ask: Callable[[str], None] | None = None

    @property
    def private(self) -> bool:
        """Tell whether updates omit the records; peers then request them or poll the store."""
        return self.ask is not None


class Others(NamedTuple):
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
    entries: Callable[[], int]
    tell: Callable[[News], Awaitable[None]]


class Watch:
    """Reads a whole topic, then follows its changes; starts over if the history is gone.

    After the store was restored from an older copy, the local state stays and
    only new records are applied until the settling time is over: the copy lacks
    some live runners, and contains some that have ended.
    """

    def __init__(
        self, store: StoreClient, topic: str, pacing: Pacing, taker: Taker, others: Others, rng: Random
    ) -> None:
        """Follow ``topic`` at the rate of ``pacing``, in turn with the peers."""
        self._store = store
        self._topic = topic
        self._wait_s = pacing.wait_s
        self._taker = taker
        self._others = others
        self._rng = rng
        self.turns = ReadingTurns(pacing, others.name, others.entries, rng)
        self._reachable = True
        self._patience_s = cycle(FIRST_CALL_S)
        self._sooner = trio.Event()
        self._followed = False
        self._era = 0
        self._believes = False
        # End of the settling time; infinite if the store is settled.
        self._settles_at = math.inf
        self.apart = ToldApart()
        # The sender of the latest update that lacked its records.
        self._teller = ''

    async def run(self) -> None:
        """Apply the whole topic, then each change, until cancelled."""
        while True:
            await self._until_due()
            try:
                await self._step()
            except HistoryGoneError:
                self.turns.forget()
            except PlatformUnavailableError as exc:
                self._note_lost(exc)
                self.turns.failed(self._rng.uniform(*RETRY_SPAN_S), trio.current_time())
                self._ask_teller()
            self._note_era()

    def hear(self, news: News) -> None:
        """Handle an update from a peer."""
        if news.era < self._era:
            # It is from before the store was restored.
            return
        old_due = self.turns.due
        now = trio.current_time()
        known_end = self.turns.end
        if news.era > self._era or news.changed is None:
            self._hear_unread(news, now)
        elif self.turns.told(news.entry, news.start, news.end, now):
            self._update(Place(news.era, news.end), news.changed)
        elif known_end is not None and news.start > known_end:
            self._hear_apart(news)
        if self.turns.due < old_due:
            self._sooner.set()

    def look_soon(self) -> None:
        """Poll the store from this instance soon."""
        self.turns.hint(trio.current_time())
        self._sooner.set()

    async def _until_due(self) -> None:
        while trio.current_time() < self._due():
            self._sooner = trio.Event()
            with trio.move_on_at(self._due()):
                await self._sooner.wait()
        if self._settles_at <= trio.current_time():
            self._settles_at = math.inf
            self.turns.forget()

    def _due(self) -> float:
        return min(self.turns.due, self._settles_at)

    async def _step(self) -> None:
        self.turns.begin()
        start = self.turns.end
        if start is None:
            return await self._list()
        changes = await self._store.follow(self._topic, start, self._wait_s if self._followed else FIRST_WAIT_S)
        if changes.era == self._era:
            self._followed = True
            self._note_reached(changes)
            await self._take(start, changes)

    async def _list(self) -> None:
        listing = await self._store.newest(self._topic, next(self._patience_s))
        self._note_era()
        self._note_reached(listing)
        if self._settling():
            self._taker.restore(listing.records)
        else:
            self._taker.replace_all(listing.records)
            self._believes = True
        self.turns.listed(listing.end, trio.current_time())
        self._followed = False

    async def _take(self, start: int, found: Newest) -> None:
        # Peers may have sent later updates while the store answered.
        known_end = max(start, self.turns.end or 0)
        changed = self._update(Place(found.era, found.end), found.records if found.end >= known_end else ())
        if self.turns.read(found.end, trio.current_time()) and found.end >= known_end:
            records = tellable(changed, private=self._taker.private)
            await self._others.tell(News(self._others.name, self._topic, known_end, found.end, records, found.era))

    def _update(self, place: Place, records: tuple[KeyedRecord, ...]) -> dict[str, KeyedRecord]:
        changed: dict[str, KeyedRecord] = {}
        for record in self.apart.current(place, records):
            # A key that changed and changed back counts too: a peer may have
            # received the first change and not the second.
            if self._taker.update(record) or record.key in changed:
                changed[record.key] = record
        return changed

    def _hear_unread(self, news: News, now: float) -> None:
        """Handle an update that lacks its records or is of a newer epoch of the store."""
        known_end = self.turns.end
        if news.era > self._era or (known_end is not None and known_end < news.end):
            self._teller = news.entry
            self.turns.hint(now)
            self._hear_apart(news)

    def _hear_apart(self, news: News) -> None:
        if self._believes:
            for record in self.apart.news(Place(news.era, news.end), news.changed or ()):
                self._taker.update(record)

    def _ask_teller(self) -> None:
        """Request the records that the store does not return from the sender of the update."""
        if self._taker.ask and self._teller:
            self._taker.ask(self._teller)
            self._teller = ''

    def _settling(self) -> bool:
        return self._settles_at < math.inf

    def _note_era(self) -> None:
        """Start over if the epoch of the store has changed."""
        epoch = self._store.era.known
        if epoch == self._era:
            return
        if self._era:
            events.log_event(
                events.STORE_WENT_BACK, topic=self._topic, era=epoch, era_before=self._era, end_before=self.turns.end
            )
        if self._era and self._believes:
            self._settles_at = trio.current_time() + SETTLE_S + self._rng.uniform(0, SETTLE_SPREAD_S)
        self._era = epoch
        self.turns.forget()

    def _note_reached(self, found: Newest) -> None:
        if not self._reachable:
            events.log_event(events.STORE_REACHABLE, topic=self._topic, end=found.end)
        self._reachable = True

    def _note_lost(self, exc: PlatformUnavailableError) -> None:
        if self._reachable:
            events.log_event(events.STORE_UNREACHABLE, topic=self._topic, cause=str(exc))
        self._reachable = False


__all__ = ('Others', 'Taker', 'Watch')
