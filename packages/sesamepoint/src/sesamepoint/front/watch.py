"""Following a keyed topic of the platform's store, by turns with the other entries."""

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
# After the store came back from an older copy, in seconds: so long does it take
# until all who live have written again what the copy lacks, and the records of
# those that had ended before have lapsed once more (three heartbeats of 1.2 s).
SETTLE_S = 6.0
# Entries then read the whole topic within so many seconds, one after the other.
SETTLE_SPREAD_S = 1.0


def _pass_over(_: object) -> None:
    """Do nothing."""


class Taker(NamedTuple):
    """What to do with records.

    Parameters
    ----------
    replace_all
        Takes the whole topic.
    update
        Takes a record; returns whether it changed what is believed.
    restore
        Gets the whole topic as a store that went back has it, to write again
        what is missing and ours.
    ask
        Gets the name of an entry that has read what the store does not give to
        this one; None where words of peers tell all there is.
    """

    replace_all: Callable[[tuple[KeyedRecord, ...]], None]
    update: Callable[[KeyedRecord], bool]
    restore: Callable[[tuple[KeyedRecord, ...]], None] = _pass_over
    ask: Callable[[str], None] | None = None

    @property
    def private(self) -> bool:
        """Tell whether records are in no word to peers; these ask for them, or read."""
        return self.ask is not None


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
    """Reads a topic whole, then follows it; starts over if history is gone.

    If the store has come back from an older copy, what is believed stays, and
    only what is written from then on counts, until all is settled: the copy
    lacks runners that live, and shows such as have left.
    """

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
        self._era = 0
        self._believes = False
        # When a new history is settled; never if no settling is under way.
        self._settles_at = math.inf
        self.apart = ToldApart()
        # Who has told last of something that has to be read.
        self._teller = ''

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
                self._ask_teller()
            self._note_era()

    def hear(self, news: News) -> None:
        """Take what a peer has read."""
        if news.era < self._era:
            # It was read before the store went back.
            return
        due = self.turns.due
        now = trio.current_time()
        known = self.turns.end
        if news.era > self._era or news.changed is None:
            self._hear_unread(news, now)
        elif self.turns.told(news.entry, news.start, news.end, now):
            self._update(Place(news.era, news.end), news.changed)
        elif known is not None and news.start > known:
            self._hear_apart(news)
        if self.turns.due < due:
            self._sooner.set()

    def look_soon(self) -> None:
        """Read the store oneself soon."""
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
        found = await self._store.follow(self._topic, start, self._wait_s if self._followed else FIRST_WAIT_S)
        if found.era == self._era:
            self._followed = True
            self._note_reached(found)
            await self._take(start, found)

    async def _list(self) -> None:
        found = await self._store.newest(self._topic, next(self._patience_s))
        self._note_era()
        self._note_reached(found)
        if self._settling():
            self._taker.restore(found.records)
        else:
            self._taker.replace_all(found.records)
            self._believes = True
        self.turns.listed(found.end, trio.current_time())
        self._followed = False

    async def _take(self, start: int, found: Newest) -> None:
        # Peers may have told more while the store answered.
        known = max(start, self.turns.end or 0)
        changed = self._update(Place(found.era, found.end), found.records if found.end >= known else ())
        if self.turns.read(found.end, trio.current_time()) and found.end >= known:
            told = tellable(changed, private=self._taker.private)
            await self._others.tell(News(self._others.name, self._topic, known, found.end, told, found.era))

    def _update(self, place: Place, records: tuple[KeyedRecord, ...]) -> dict[str, KeyedRecord]:
        changed: dict[str, KeyedRecord] = {}
        for record in self.apart.current(place, records):
            # A key that changed and changed back counts too: a peer may have
            # heard of the first and not of the second.
            if self._taker.update(record) or record.key in changed:
                changed[record.key] = record
        return changed

    def _hear_unread(self, news: News, now: float) -> None:
        """Hear that there is more than a word can tell."""
        known = self.turns.end
        if news.era > self._era or (known is not None and known < news.end):
            self._teller = news.entry
            self.turns.hint(now)
            self._hear_apart(news)

    def _hear_apart(self, news: News) -> None:
        if self._believes:
            for record in self.apart.news(Place(news.era, news.end), news.changed or ()):
                self._taker.update(record)

    def _ask_teller(self) -> None:
        """Have a peer give what the store does not."""
        if self._taker.ask and self._teller:
            self._taker.ask(self._teller)
            self._teller = ''

    def _settling(self) -> bool:
        return self._settles_at < math.inf

    def _note_era(self) -> None:
        """Begin with a new history of the store, if it has one."""
        era = self._store.era.known
        if era == self._era:
            return
        if self._era:
            events.log_event(
                events.STORE_WENT_BACK, topic=self._topic, era=era, era_before=self._era, end_before=self.turns.end
            )
        if self._era and self._believes:
            self._settles_at = trio.current_time() + SETTLE_S + self._rng.uniform(0, SETTLE_SPREAD_S)
        self._era = era
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
