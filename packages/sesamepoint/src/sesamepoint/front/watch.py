"""Following a keyed topic of the platform's store, by turns with the other entries."""

from __future__ import annotations

from itertools import cycle
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint import events
from sesamepoint.front.news import News, tellable
from sesamepoint.front.reading_turns import ReadingTurns
from sesamepoint.platform.store import HistoryGoneError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sesamepoint.front.reading_turns import Pacing
    from sesamepoint.platform.store import KeyedRecord, Newest, StoreClient

# Pause before a failed call is repeated, drawn from this span in seconds so
# that entries do not come back to a recovering store all at once.
RETRY_SPAN_S = (0.1, 0.4)
# How long a call for a whole topic may take, in turn, in seconds. A store that
# was silent stays so on calls from before it came back (with 1 s each, entries
# that had lost their list knew the runners 0.3 to 0.6 s after its return): a
# short wait finds it sooner, a long one in turn finds a store that is only slow.
FIRST_CALL_S = (0.5, 1.0)
# The first call that follows may be held for so long, in seconds: nobody waits
# for word of it.
FIRST_WAIT_S = 1.0


class Taker(NamedTuple):
    """What to do with records.

    Parameters
    ----------
    replace_all
        Takes the whole topic.
    update
        Takes a record; returns whether it changed what is believed.
    private
        Whether records hold secrets: they are in no word to peers.
    """

    replace_all: Callable[[tuple[KeyedRecord, ...]], None]
    update: Callable[[KeyedRecord], bool]
    private: bool = False


class Others(NamedTuple):
    """The other entries.

    Parameters
    ----------
    name
        The name of this entry.
    entries
        Returns how many entries there are, this one included.
    tell
        Tells all others.
    """

    name: str
    entries: Callable[[], int]
    tell: Callable[[News], Awaitable[None]]


class Watch:
    """Reads a topic whole, then follows it; starts over if history is gone."""

    def __init__(
        self, store: StoreClient, topic: str, pacing: Pacing, taker: Taker, others: Others, rng: Random
    ) -> None:
        """Follow ``topic`` at the rate of ``pacing``, by turns with ``others``."""
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

    async def run(self) -> None:
        """Hand on the whole topic, then each record, until cancelled."""
        while True:
            await self._until_due()
            try:
                await self._step()
            except HistoryGoneError:
                self.turns.forget()
            except PlatformUnavailableError as exc:
                self._note_lost(exc)
                self.turns.failed(self._rng.uniform(*RETRY_SPAN_S), trio.current_time())

    def hear(self, news: News) -> None:
        """Take what a peer has read."""
        due = self.turns.due
        now = trio.current_time()
        if news.changed is None:
            known = self.turns.end
            if known is not None and known < news.end:
                self.turns.hint(now)
        elif self.turns.told(news.entry, news.start, news.end, now):
            for record in news.changed:
                self._taker.update(record)
        if self.turns.due < due:
            self._sooner.set()

    def look_soon(self) -> None:
        """Read the store oneself soon."""
        self.turns.hint(trio.current_time())
        self._sooner.set()

    async def _until_due(self) -> None:
        while trio.current_time() < self.turns.due:
            self._sooner = trio.Event()
            with trio.move_on_at(self.turns.due):
                await self._sooner.wait()

    async def _step(self) -> None:
        self.turns.begin()
        start = self.turns.end
        if start is None:
            found = await self._store.newest(self._topic, next(self._patience_s))
            self._note_reached(found)
            self._taker.replace_all(found.records)
            self.turns.listed(found.end, trio.current_time())
            self._followed = False
            return
        found = await self._store.follow(self._topic, start, self._wait_s if self._followed else FIRST_WAIT_S)
        self._followed = True
        self._note_reached(found)
        await self._take(start, found)

    async def _take(self, start: int, found: Newest) -> None:
        # Peers may have told more while the store answered.
        known = max(start, self.turns.end or 0)
        changed: dict[str, KeyedRecord] = {}
        for record in found.records if found.end >= known else ():
            # A key that changed and changed back counts too: a peer may have
            # heard of the first and not of the second.
            if self._taker.update(record) or record.key in changed:
                changed[record.key] = record
        if self.turns.read(found.end, trio.current_time()) and found.end >= known:
            told = tellable(changed, private=self._taker.private)
            await self._others.tell(News(self._others.name, self._topic, known, found.end, told))

    def _note_reached(self, found: Newest) -> None:
        if not self._reachable:
            events.log_event(events.STORE_REACHABLE, topic=self._topic, end=found.end)
        self._reachable = True

    def _note_lost(self, exc: PlatformUnavailableError) -> None:
        if self._reachable:
            events.log_event(events.STORE_UNREACHABLE, topic=self._topic, cause=str(exc))
        self._reachable = False


__all__ = ('Others', 'Taker', 'Watch')
