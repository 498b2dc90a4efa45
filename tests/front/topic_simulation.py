"""A simulation of instances that follow one store topic by polling turns, over a faulty network and store."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.store_pacing.backoff import RetryLimits
from sesamepoint_core.store_pacing.outage import StoreOutage
from sesamepoint.front.store.out_of_order import Position
from sesamepoint.front.store.outage_messages import StoreProbe
from sesamepoint.front.store.polling_turns import Pacing
from sesamepoint.front.store.store_pacer import StorePacer
from sesamepoint.front.store.topic_updates import TopicUpdate
from sesamepoint.front.store.record_handlers import PeerGroup, RecordHandlers
from sesamepoint.front.store.topic_watch import TopicWatch
from sesamepoint.platform.store import HistoryGoneError, KeyedRecord, TopicRecords
from sesamepoint.platform.store_epoch import StoreEpoch
from sesamepoint.platform.wire_names import STORE_EPOCH

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    NewOutage = Callable[[str, Random], StoreOutage]

TOPIC = 'keyed.things'
# As for the topic of runners, whose changes must be known within 2 s.
PACING = Pacing(long_poll_s=0.2, pause_s=0.4, takeover_spread_s=0.3, longest_retry_s=0.5)
PROBE_INTERVALS = RetryLimits(0.2, 0.5)
ANSWER_S = 0.004
KEYS = tuple(f'k{number}' for number in range(12))
# Most records are heartbeats that change nothing, as those of runners are.
CHANGE_SHARE = 0.15
DELETION_SHARE = 0.3


def newest_by_key(records: Iterable[KeyedRecord]) -> dict[str, bytes]:
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
        self.refused_instances: set[str] = set()
        self.calls = 0
        self.epoch = 1

    def roll_back(self, record_count: int) -> None:
        """Start a new epoch from a copy that lacks the ``record_count`` newest records."""
        self.epoch += 1
        self.log = self.log[: len(self.log) - record_count]


class InstanceStore:
    """A client of the store for one instance."""

    def __init__(self, name: str, store: LogStore, on_answered: Callable[[], None]) -> None:
        """Send calls to ``store`` as the instance ``name``; each answer calls ``on_answered``."""
        self.epoch = StoreEpoch()
        self._on_answered = on_answered
        self._name = name
        self._store = store

    async def read_newest(self, _: str, timeout_s: float) -> TopicRecords:
        """Return the newest record of each key; the answer always comes within ``timeout_s``."""
        await self._answer()
        log = self._store.log
        records = tuple(KeyedRecord(key, text) for key, text in newest_by_key(log).items())
        return TopicRecords(records, len(log), self.epoch.newest)

    async def follow(self, _: str, start: int, wait_s: float, *, list_instead: bool = False) -> TopicRecords:
        """Return the records after offset ``start``; wait up to ``wait_s`` if there are none. It is never silent."""
        await self._answer()
        if len(self._store.log) <= start:
            await trio.sleep(wait_s)
        self._observe_epoch()
        if start > len(self._store.log):
            raise HistoryGoneError
        return TopicRecords(tuple(self._store.log[start:]), len(self._store.log), self.epoch.newest)

    async def _answer(self) -> None:
        self._store.calls += 1
        await trio.sleep(ANSWER_S)
        if self._name in self._store.refused_instances:
            raise PlatformUnavailableError('store', 'refused')
        self._observe_epoch()

    def _observe_epoch(self) -> None:
        self.epoch.observe(((STORE_EPOCH, str(self._store.epoch).encode()),))
        self._on_answered()


class Instance:
    """An instance: its watch of the topic, and the records that it knows."""

    def __init__(self, name: str, simulation: TopicSimulation) -> None:
        """Follow the topic of the simulation."""
        self.name = name
        self.records: dict[str, bytes] = {}
        self.has_records = False
        rng = Random(name)
        self.pacer = StorePacer(
            name, simulation.new_outage(name, rng), lambda: len(simulation.instances), simulation.announcer_of(name)
        )
        peers = PeerGroup(name, lambda: len(simulation.instances), simulation.broadcaster_of(name), self.pacer)
        store = InstanceStore(name, simulation.store, self.pacer.note_answered)
        handlers = RecordHandlers(self._replace_all, self._update, urgent=lambda: not self.has_records)
        self.watch = TopicWatch(store, TOPIC, PACING, handlers, peers, Random(name))  # type: ignore[arg-type]

    @property
    def end(self) -> int | None:
        """Return the offset up to which the instance knows the topic."""
        return self.watch.turns.end

    def _replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        self.records = newest_by_key(records)
        self.has_records = True

    def _update(self, record: KeyedRecord) -> bool:
        before = self.records.pop(record.key, b'')
        if record.text:
            self.records[record.key] = record.text
        return before != record.text


def _new_outage(name: str, rng: Random) -> StoreOutage:
    return StoreOutage(name, PROBE_INTERVALS, rng)


class TopicSimulation:
    """A store, instances, and datagrams between them that may be lost, delayed or duplicated."""

    def __init__(self, instance_count: int, seed: int = 1, new_outage: NewOutage = _new_outage) -> None:
        """Create ``instance_count`` instances; ``new_outage`` builds what each knows of an outage."""
        self.new_outage = new_outage
        self.rng = Random(seed)
        self.store = LogStore()
        self.loss_share: float = 0
        self.max_delay_s = 0.002
        self.unreachable: set[str] = set()
        self.datagrams_sent = 0
        self.instances: dict[str, Instance] = {}
        for number in range(instance_count):
            self.instances[f'e{number}'] = Instance(f'e{number}', self)
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery

    def start(self, nursery: trio.Nursery) -> None:
        """Run all instances in ``nursery``."""
        self._nursery = nursery
        for instance in self.instances.values():
            nursery.start_soon(self._run, instance)

    def kill(self, name: str) -> None:
        """Kill the instance ``name``."""
        self._scopes[name].cancel()
        self.instances.pop(name)

    def write(self) -> None:
        """Append a record, which mostly repeats the newest one of its key."""
        key = self.rng.choice(KEYS)
        newest = newest_by_key(self.store.log).get(key, b'')
        text = newest or b'first'
        if self.rng.random() < CHANGE_SHARE:
            text = b'' if self.rng.random() < DELETION_SHARE else f'{len(self.store.log)}'.encode()
        self.store.log.append(KeyedRecord(key, text))

    def broadcaster_of(self, name: str):  # type: ignore[no-untyped-def]  # noqa: ANN201
        """Return a function that sends an update of the instance ``name`` to all others."""

        async def broadcast(topic_update: TopicUpdate) -> None:
            await trio.lowlevel.checkpoint()
            for peer in tuple(self.instances.values()):
                if peer.name != name:
                    self._send(peer, topic_update)

        return broadcast

    def announcer_of(self, name: str) -> Callable[[StoreProbe], None]:
        """Return a function that sends an announcement of the instance ``name`` to all others."""

        def announce(message: StoreProbe) -> None:
            for peer in tuple(self.instances.values()):
                if peer.name != name:
                    self._send(peer, message)

        return announce

    def inconsistent_instances(self) -> list[str]:
        """Return the names of instances whose records differ from the log.

        For each key, an instance knows the log up to its own offset, or up to the
        out-of-order update that changed the key.
        """
        return [
            instance.name
            for instance in self.instances.values()
            if instance.end is not None and self._is_inconsistent(instance)
        ]

    def _is_inconsistent(self, instance: Instance) -> bool:
        position = Position(self.store.epoch, instance.end or 0)
        ends = {key: instance.watch.out_of_order.position_of(key, position).end for key in KEYS}
        return any(
            instance.records.get(key) != newest_by_key(self.store.log[:end]).get(key) for key, end in ends.items()
        )

    def _send(self, peer: Instance, message: TopicUpdate | StoreProbe) -> None:
        self.datagrams_sent += 1
        for _ in range(2 if self.rng.random() < self.loss_share else 1):
            if self.rng.random() >= self.loss_share and peer.name not in self.unreachable:
                self._nursery.start_soon(self._deliver, peer, message, self.rng.uniform(0.001, self.max_delay_s))

    async def _deliver(self, peer: Instance, message: TopicUpdate | StoreProbe, delay_s: float) -> None:
        await trio.sleep(delay_s)
        if peer.name not in self.instances:
            return
        if isinstance(message, StoreProbe):
            peer.pacer.on_probe(message)
        else:
            peer.watch.on_update(message)

    async def _run(self, instance: Instance) -> None:
        with trio.CancelScope() as scope:
            self._scopes[instance.name] = scope
            await instance.watch.run()


__all__ = ('ANSWER_S', 'PACING', 'Instance', 'LogStore', 'TopicSimulation', 'newest_by_key')
