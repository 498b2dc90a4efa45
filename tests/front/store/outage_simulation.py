"""A simulation of instances that follow all topics of a store which is down, refuses some, is slow or loses answers."""

from __future__ import annotations

from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint_core.store_pacing.outage import StoreOutage
from sesamepoint.front.store import topic_pacing
from sesamepoint.front.store.outage_messages import StoreProbe
from sesamepoint.front.store.polling_turns import Pacing
from sesamepoint.front.store.store_pacer import FIRST_PROBE_INTERVAL_S, PROBE_INTERVAL_SHARE, StorePacer
from sesamepoint.front.store.record_handlers import PeerGroup, RecordHandlers
from sesamepoint.front.store.topic_watch import TopicWatch
from sesamepoint.platform.store import CALL_TIMEOUT_S, KeyedRecord, TopicRecords
from sesamepoint.platform.store_epoch import StoreEpoch

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint.front.store.topic_updates import TopicUpdate

# As bounds.config_apply_ms and bounds.drain_ms.
BOUND_S = 3.0
ANSWER_S = 0.004
DATAGRAM_S = (0.001, 0.004)
# Time to fetch a configuration from a peer.
PEER_FETCH_S = 0.01
CONFIGURATION = 'operator'
RUNNERS = 'runners'
PACINGS: Mapping[str, Pacing] = MappingProxyType(
    {
        CONFIGURATION: Pacing(
            topic_pacing.CONFIGURATION_WAIT_SHARE * BOUND_S,
            topic_pacing.CONFIGURATION_PAUSE_S,
            topic_pacing.CONFIGURATION_SPREAD_SHARE * BOUND_S,
            topic_pacing.RETRY_SHARE * BOUND_S,
        ),
        RUNNERS: Pacing(
            topic_pacing.RUNNER_WAIT_SHARE * BOUND_S,
            topic_pacing.RUNNER_PAUSE_SHARE * BOUND_S,
            topic_pacing.RUNNER_SPREAD_SHARE * BOUND_S,
            topic_pacing.RETRY_SHARE * BOUND_S,
        ),
        'instances': Pacing(topic_pacing.ENTRY_WAIT_S, topic_pacing.ENTRY_PAUSE_S, topic_pacing.ENTRY_SPREAD_S),
        'quarantine': Pacing(
            topic_pacing.QUARANTINE_WAIT_S, topic_pacing.QUARANTINE_PAUSE_S, topic_pacing.QUARANTINE_SPREAD_S
        ),
    }
)


class FixedPauses(Backoff):
    """The pauses of the earlier code: 0.1 to 0.4 s, whatever the failures and instances."""

    def __init__(self, rng: Random) -> None:
        """Draw pauses from ``rng``."""
        super().__init__(RetryLimits(0.1, 0.4), rng)
        self._pauses = rng

    def next_pause_s(self, instances: int) -> float:
        """Return the pause before the call is repeated, in seconds."""
        super().next_pause_s(instances)
        return self._pauses.uniform(0.1, 0.4)


class NoSharedProbes(StoreOutage):
    """A variant in which each instance probes for itself."""

    def is_down(self, instances: int) -> bool:
        """Return False, so that no probe is delayed."""
        return False

    def note_failed(self, began_at: float, now: float, instances: int) -> bool:
        """Return False, so that no failure is announced."""
        return False


class Method(NamedTuple):
    """A method of pacing failed calls."""

    fixed_pauses: bool = False
    shared_probes: bool = True


FIXED = Method(fixed_pauses=True, shared_probes=False)
BACKOFF = Method(shared_probes=False)
SHARED = Method()


class SimulatedStore:
    """The logs of all topics, and the faults of the store."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.logs: dict[str, list[KeyedRecord]] = {topic: [] for topic in PACINGS}
        self.appended = trio.Event()
        self.calls = 0
        # Reads while it is down that it would hold until there are changes.
        self.held_while_down = 0
        self.down = False
        # While it is down, calls stay without an answer instead of being refused.
        self.silent = False
        self.refused_instances: set[str] = set()
        self.extra_delay_s: float = 0
        self.lost_share: float = 0
        self.rng = Random(7)

    def append(self, topic: str, text: str) -> None:
        """Append a record."""
        self.logs[topic].append(KeyedRecord('key', text.encode()))
        self.appended.set()
        self.appended = trio.Event()

    async def begin_call(self, name: str, timeout_s: float) -> None:
        """Wait for the answer to a call, or raise the error of a failed one."""
        self.calls += 1
        if self.down and self.silent:
            await trio.sleep(timeout_s)
        else:
            await trio.sleep(ANSWER_S + self.extra_delay_s)
        if self.down or name in self.refused_instances:
            raise PlatformUnavailableError('store', 'refused')
        if self.rng.random() < self.lost_share:
            await trio.sleep(timeout_s)
            raise PlatformUnavailableError('store', 'the answer was lost')


class SimulatedClient:
    """A client of the store in one instance."""

    def __init__(self, name: str, store: SimulatedStore, on_answered: Callable[[], None]) -> None:
        """Call ``store`` as the instance ``name``; each answer calls ``on_answered``."""
        self.epoch = StoreEpoch()
        self._name = name
        self._on_answered = on_answered
        self._store = store

    async def read_newest(self, topic: str, timeout_s: float) -> TopicRecords:
        """Return the newest record of the topic."""
        await self._store.begin_call(self._name, timeout_s)
        log = self._store.logs[topic]
        self._on_answered()
        return TopicRecords(tuple(log[-1:]), len(log), 0)

    async def follow(self, topic: str, start: int, wait_s: float, *, list_instead: bool = False) -> TopicRecords:
        """Return the records after ``start``, or none after ``wait_s``; it never lists instead."""
        self._store.held_while_down += self._store.down and wait_s > 0
        await self._store.begin_call(self._name, wait_s + CALL_TIMEOUT_S)
        log = self._store.logs[topic]
        with trio.move_on_after(wait_s):
            while len(log) <= start and not self._store.down:
                await self._store.appended.wait()
        self._on_answered()
        return TopicRecords(tuple(log[start:]), len(log), 0)


class SimulatedInstance:
    """An instance that follows all topics with one pacer."""

    def __init__(self, name: str, simulation: OutageSimulation, method: Method) -> None:
        """Follow the topics of ``simulation``, pacing failed calls by ``method``."""
        self.name = name
        self.known: dict[str, int] = {}
        self._simulation = simulation
        rng = Random(name)
        longest_s = PROBE_INTERVAL_SHARE * BOUND_S
        outage_type = StoreOutage if method.shared_probes else NoSharedProbes
        outage = outage_type(name, RetryLimits(FIRST_PROBE_INTERVAL_S, longest_s), rng)
        self.pacer = StorePacer(name, outage, simulation.count, lambda message: simulation.send(name, message))
        self.watches = {topic: self._watch(topic) for topic in PACINGS}
        if method.fixed_pauses:
            for watch in self.watches.values():
                watch._pauses.backoff = FixedPauses(rng)  # noqa: SLF001

    def learn(self, topic: str, record: KeyedRecord) -> bool:
        """Note a record; return whether it is newer than the known one."""
        number = int(record.text)
        changed = number > self.known.get(topic, -1)
        self.known[topic] = max(number, self.known.get(topic, -1))
        return changed

    def _watch(self, topic: str) -> TopicWatch:
        def replace_all(records: tuple[KeyedRecord, ...]) -> None:
            for record in records:
                self.learn(topic, record)

        async def broadcast(update: TopicUpdate) -> None:
            await trio.lowlevel.checkpoint()
            self._simulation.send(self.name, update)

        fetch = self._fetch_from if topic == CONFIGURATION else None
        handlers = RecordHandlers(
            replace_all,
            lambda record: self.learn(topic, record),
            request_from=fetch,
            urgent=lambda: topic in {CONFIGURATION, RUNNERS} and topic not in self.known,
        )
        group = PeerGroup(self.name, self._simulation.count, broadcast, self.pacer)
        client = SimulatedClient(self.name, self._simulation.store, self.pacer.note_answered)
        rng = Random(f'{self.name} {topic}')
        return TopicWatch(client, topic, PACINGS[topic], handlers, group, rng)  # type: ignore[arg-type]

    def _fetch_from(self, peer: str) -> None:
        self._simulation.fetch_configuration(self, peer)


class OutageSimulation:
    """A store with faults, and instances that send each other datagrams."""

    def __init__(self, count: int, method: Method, nursery: trio.Nursery) -> None:
        """Create ``count`` instances that run in ``nursery``."""
        self.store = SimulatedStore()
        for topic in PACINGS:
            self.store.append(topic, '0')
        self.datagrams = 0
        # Instances that get no datagrams, as with a link that is cut in one direction.
        self.deaf: set[str] = set()
        self._count = count
        self._nursery = nursery
        self._rng = Random(3)
        self.instances = {f'e{number}': SimulatedInstance(f'e{number}', self, method) for number in range(count)}

    def start(self) -> None:
        """Run all instances, all started at once."""
        for instance in self.instances.values():
            for watch in instance.watches.values():
                self._nursery.start_soon(watch.run)

    def count(self) -> int:
        """Return the number of instances."""
        return self._count

    def send(self, sender: str, message: TopicUpdate | StoreProbe) -> None:
        """Send a message of ``sender`` to all others."""
        for peer in self.instances.values():
            if peer.name != sender:
                self.datagrams += 1
                self._later(self._rng.uniform(*DATAGRAM_S), peer, message)

    def fetch_configuration(self, instance: SimulatedInstance, peer: str) -> None:
        """Fetch the configuration of ``peer``, as PeerConfiguration does."""
        self._nursery.start_soon(self._fetch, instance, peer)

    async def time_until_known(self, topic: str, limit_s: float) -> float:
        """Write a record; return the seconds until all instances know it, at most ``limit_s``."""
        number = len(self.store.logs[topic])
        self.store.append(topic, str(number))
        began_at = trio.current_time()
        hearing = [instance for name, instance in self.instances.items() if name not in self.deaf]
        with trio.move_on_after(limit_s):
            while any(instance.known.get(topic, -1) < number for instance in hearing):
                await trio.sleep(0.01)
        return trio.current_time() - began_at

    def _later(self, delay_s: float, peer: SimulatedInstance, message: TopicUpdate | StoreProbe) -> None:
        async def deliver() -> None:
            await trio.sleep(delay_s)
            if peer.name in self.deaf:
                return
            if isinstance(message, StoreProbe):
                peer.pacer.on_probe(message)
            else:
                peer.watches[message.topic].on_update(message)

        self._nursery.start_soon(deliver)

    async def _fetch(self, instance: SimulatedInstance, peer: str) -> None:
        await trio.sleep(PEER_FETCH_S)
        known = self.instances[peer].known.get(CONFIGURATION, -1)
        instance.learn(CONFIGURATION, KeyedRecord('key', str(known).encode()))


class Figures(NamedTuple):
    """Calls and datagrams per second during a fault, and how late the last instance knew a change.

    Parameters
    ----------
    latest_s
        Longest time from a change to the last instance that knew it; for an
        outage, from the return of the store with a change at that moment.
    """

    calls_per_s: float
    datagrams_per_s: float
    latest_s: float


OUTAGE_S = 10.0
CHANGES = 6
CHANGE_INTERVAL_S = 1.7
LIMIT_S = 20.0


async def measure_deaf(count: int, deaf: int) -> float:
    """Return the longest time to know a change while ``deaf`` instances are refused and hear no peers."""
    async with trio.open_nursery() as nursery:
        simulation = OutageSimulation(count, SHARED, nursery)
        simulation.start()
        await trio.sleep(5)
        simulation.deaf = {f'e{number}' for number in range(deaf)}
        simulation.store.refused_instances = simulation.deaf
        known_after_s: list[float] = []
        for _ in range(CHANGES):
            await trio.sleep(CHANGE_INTERVAL_S)
            known_after_s.append(await simulation.time_until_known(CONFIGURATION, LIMIT_S))
        nursery.cancel_scope.cancel()
    return max(known_after_s)


async def measure_outage(count: int, method: Method, *, silent: bool = False) -> Figures:
    """Measure an outage of the store for all, and a change of each kind at its return."""
    async with trio.open_nursery() as nursery:
        simulation = OutageSimulation(count, method, nursery)
        simulation.start()
        await trio.sleep(5)
        store = simulation.store
        store.down = True
        store.silent = silent
        store.append('instances', '1')
        before, datagrams = store.calls, simulation.datagrams
        await trio.sleep(OUTAGE_S)
        calls_per_s = (store.calls - before) / OUTAGE_S
        datagrams_per_s = (simulation.datagrams - datagrams) / OUTAGE_S
        store.down = False
        latest: list[float] = []

        async def change(topic: str) -> None:
            latest.append(await simulation.time_until_known(topic, LIMIT_S))

        async with trio.open_nursery() as changes:
            changes.start_soon(change, CONFIGURATION)
            changes.start_soon(change, RUNNERS)
        nursery.cancel_scope.cancel()
    return Figures(calls_per_s, datagrams_per_s, max(latest))


async def count_held_probes(count: int) -> int:
    """Return how many probes of a store that counts as down ask it to hold them."""
    async with trio.open_nursery() as nursery:
        simulation = OutageSimulation(count, SHARED, nursery)
        simulation.start()
        await trio.sleep(5)
        simulation.store.down = True
        while not all(instance.pacer.is_down() for instance in simulation.instances.values()):
            await trio.sleep(0.01)
        before = simulation.store.held_while_down
        await trio.sleep(OUTAGE_S)
        found = simulation.store.held_while_down - before
        nursery.cancel_scope.cancel()
    return found


async def measure_fault(count: int, method: Method, fault: Callable[[SimulatedStore], None]) -> Figures:
    """Measure a lasting fault of a store that still answers, with changes all the while."""
    async with trio.open_nursery() as nursery:
        simulation = OutageSimulation(count, method, nursery)
        simulation.start()
        await trio.sleep(5)
        fault(simulation.store)
        before, datagrams, began_at = simulation.store.calls, simulation.datagrams, trio.current_time()
        latest: list[float] = []
        for _ in range(CHANGES):
            for topic in (CONFIGURATION, RUNNERS):
                latest.append(await simulation.time_until_known(topic, LIMIT_S))
            await trio.sleep(CHANGE_INTERVAL_S)
        took_s = trio.current_time() - began_at
        figures = Figures(
            (simulation.store.calls - before) / took_s, (simulation.datagrams - datagrams) / took_s, max(latest)
        )
        nursery.cancel_scope.cancel()
    return figures


def refuse_one(store: SimulatedStore) -> None:
    """Let the store refuse one instance."""
    store.refused_instances = {'e1'}


def refuse_third(store: SimulatedStore) -> None:
    """Let the store refuse a third of at most 300 instances."""
    store.refused_instances = {f'e{number}' for number in range(0, 300, 3)}


def slow_down(store: SimulatedStore) -> None:
    """Let the store answer after 0.25 s."""
    store.extra_delay_s = 0.25


def lose_answers(store: SimulatedStore) -> None:
    """Let the store lose a third of its answers."""
    store.lost_share = 0.3


FAULTS = (refuse_one, refuse_third, slow_down, lose_answers)

__all__ = (
    'BACKOFF',
    'BOUND_S',
    'FAULTS',
    'FIXED',
    'SHARED',
    'count_held_probes',
    'Figures',
    'Method',
    'OutageSimulation',
    'lose_answers',
    'measure_deaf',
    'measure_fault',
    'measure_outage',
    'refuse_one',
    'refuse_third',
    'slow_down',
)
