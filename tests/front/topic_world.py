"""A simulation of instances that follow one store topic by polling turns, over a faulty network and store."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.front.news import News
from sesamepoint.front.reading_turns import Pacing
from sesamepoint.front.told_apart import Place
from sesamepoint.front.watch import Others, Taker, Watch
from sesamepoint.platform.names import STORE_ERA
from sesamepoint.platform.store import HistoryGoneError, KeyedRecord, Newest
from sesamepoint.platform.store_era import StoreEra

if TYPE_CHECKING:
    from collections.abc import Iterable

TOPIC = 'keyed.things'
# As for the topic of runners, whose changes must be known within 2 s.
PACING = Pacing(wait_s=0.2, rest_s=0.4, spread_s=0.3)
ANSWER_S = 0.004
KEYS = tuple(f'k{number}' for number in range(12))
# Most records are heartbeats that change nothing, as those of runners are.
NEWS_SHARE = 0.15
DROP_SHARE = 0.3


def fold(records: Iterable[KeyedRecord]) -> dict[str, bytes]:
    """Return the newest text of each key, without deleted keys."""
    newest: dict[str, bytes] = {}
    for record in records:
        newest.pop(record.key, None)
        if record.text:
            newest[record.key] = record.text
    return newest


class LogStore:
    """The log of a topic that all instances read; the store may refuse some of them."""

    def __init__(self) -> None:
        """Start empty."""
        self.log: list[KeyedRecord] = []
        self.refused: set[str] = set()
        self.calls = 0
        self.era = 1

    def go_back(self, records: int) -> None:
        """Start a new epoch from a copy that lacks the ``records`` newest records."""
        self.era += 1
        self.log = self.log[: len(self.log) - records]


class StoreOf:
    """A client of the store for one instance."""

    def __init__(self, name: str, store: LogStore) -> None:
        """Send calls to ``store`` as the instance ``name``."""
        self.era = StoreEra()
        self._name = name
        self._store = store

    async def newest(self, _: str, patience_s: float) -> Newest:
        """Return the newest record of each key; the answer always comes within ``patience_s``."""
        await self._answer()
        log = self._store.log
        records = tuple(KeyedRecord(key, text) for key, text in fold(log).items())
        return Newest(records, len(log), self.era.known)

    async def follow(self, _: str, start: int, wait_s: float) -> Newest:
        """Return the records after offset ``start``; wait up to ``wait_s`` if there are none."""
        await self._answer()
        if len(self._store.log) <= start:
            await trio.sleep(wait_s)
        self._note_era()
        if start > len(self._store.log):
            raise HistoryGoneError
        return Newest(tuple(self._store.log[start:]), len(self._store.log), self.era.known)

    async def _answer(self) -> None:
        self._store.calls += 1
        await trio.sleep(ANSWER_S)
        if self._name in self._store.refused:
            raise PlatformUnavailableError('store', 'refused')
        self._note_era()

    def _note_era(self) -> None:
        self.era.take(((STORE_ERA, str(self._store.era).encode()),))


class Entry:
    """An instance: its watch of the topic, and the records that it knows."""

    def __init__(self, name: str, world: TopicWorld) -> None:
        """Follow the topic of the simulation."""
        self.name = name
        self.believed: dict[str, bytes] = {}
        peers = Others(name, lambda: len(world.entries), world.teller(name))
        store = StoreOf(name, world.store)
        handlers = Taker(self._replace_all, self._update)
        self.watch = Watch(store, TOPIC, PACING, handlers, peers, Random(name))  # type: ignore[arg-type]

    @property
    def end(self) -> int | None:
        """Return the offset up to which the instance knows the topic."""
        return self.watch.turns.end

    def _replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        self.believed = fold(records)

    def _update(self, record: KeyedRecord) -> bool:
        before = self.believed.pop(record.key, b'')
        if record.text:
            self.believed[record.key] = record.text
        return before != record.text


class TopicWorld:
    """A store, instances, and datagrams between them that may be lost, delayed or duplicated."""

    def __init__(self, count: int, seed: int = 1) -> None:
        """Create ``count`` instances."""
        self.rng = Random(seed)
        self.store = LogStore()
        self.loss: float = 0
        self.longest_s = 0.002
        self.deaf: set[str] = set()
        self.told = 0
        self.entries: dict[str, Entry] = {}
        for number in range(count):
            self.entries[f'e{number}'] = Entry(f'e{number}', self)
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery

    def start(self, nursery: trio.Nursery) -> None:
        """Run all instances in ``nursery``."""
        self._nursery = nursery
        for instance in self.entries.values():
            nursery.start_soon(self._run, instance)

    def kill(self, name: str) -> None:
        """Kill the instance ``name``."""
        self._scopes[name].cancel()
        self.entries.pop(name)

    def write(self) -> None:
        """Append a record, which mostly repeats the newest one of its key."""
        key = self.rng.choice(KEYS)
        newest = fold(self.store.log).get(key, b'')
        text = newest or b'first'
        if self.rng.random() < NEWS_SHARE:
            text = b'' if self.rng.random() < DROP_SHARE else f'{len(self.store.log)}'.encode()
        self.store.log.append(KeyedRecord(key, text))

    def teller(self, name: str):  # type: ignore[no-untyped-def]  # noqa: ANN201
        """Return a function that sends an update of the instance ``name`` to all others."""

        async def broadcast(topic_update: News) -> None:
            await trio.lowlevel.checkpoint()
            for peer in tuple(self.entries.values()):
                if peer.name != name:
                    self._send(peer, topic_update)

        return broadcast

    def wrong(self) -> list[str]:
        """Return the names of instances whose records differ from the log.

        For each key, an instance knows the log up to its own offset, or up to the
        out-of-order update that changed the key.
        """
        return [
            instance.name for instance in self.entries.values() if instance.end is not None and self._is_wrong(instance)
        ]

    def _is_wrong(self, entry: Entry) -> bool:
        position = Place(self.store.era, entry.end or 0)
        ends = {key: entry.watch.apart.place_of(key, position).end for key in KEYS}
        return any(entry.believed.get(key) != fold(self.store.log[:end]).get(key) for key, end in ends.items())

    def _send(self, other: Entry, news: News) -> None:
        self.told += 1
        for _ in range(2 if self.rng.random() < self.loss else 1):
            if self.rng.random() >= self.loss and other.name not in self.deaf:
                self._nursery.start_soon(self._deliver, other, news, self.rng.uniform(0.001, self.longest_s))

    async def _deliver(self, other: Entry, news: News, delay_s: float) -> None:
        await trio.sleep(delay_s)
        if other.name in self.entries:
            other.watch.hear(news)

    async def _run(self, entry: Entry) -> None:
        with trio.CancelScope() as scope:
            self._scopes[entry.name] = scope
            await entry.watch.run()


__all__ = ('ANSWER_S', 'PACING', 'Entry', 'LogStore', 'TopicWorld', 'fold')
