"""Applying records of the store to the state of this instance."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from sesamepoint import events
from sesamepoint.front.retry_budget.retry_budgets import RepeatBound
from sesamepoint.front.runners.restored_copies import apply_restored
from sesamepoint.front.store.configuration_intake import ConfigurationIntake
from sesamepoint.front.store.hedged_reads import HedgedReads, StoreClients
from sesamepoint.front.store.record_decoding import readable_runner, readable_runners
from sesamepoint.front.store.record_tasks import record_tasks
from sesamepoint.front.store.record_handlers import PeerGroup, RecordHandlers
from sesamepoint.front.store.sync_targets import SyncTargets
from sesamepoint.front.store.topic_pacing import topic_pacing
from sesamepoint.front.store.topic_watch import TopicWatch
from sesamepoint.supervisor import Child
from sesamepoint.platform.wire_names import INSTANCE_TOPIC, OPERATOR_KEY, OPERATOR_TOPIC, QUARANTINE_TOPIC, RUNNER_TOPIC

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.store.instance_registration import InstanceRegistration
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.front.store.topic_updates import TopicUpdate
    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.platform.store import KeyedRecord


class TopicSync:
    """Follows the records of the operator, the runners, the instances and the quarantine."""

    def __init__(
        self,
        cfg: FrontSettings,
        targets: SyncTargets,
        registration: InstanceRegistration,
        new_store: Callable[[], PacedStore],
    ) -> None:
        """Keep the given parts in step with the store that the clients of ``new_store`` call."""
        # Called with the name of a peer that has read a configuration which this instance could not read.
        self.request_configuration: Callable[[str], None] = _ignore_request
        # Called with the name of a peer that may have a newer configuration.
        self.compare_configuration: Callable[[str], None] = _ignore_request
        # Called after each read of the whole list of runners, and when updates of peers leave a gap in it.
        self.on_runners_listed: Callable[[], None] = _do_nothing
        self._cfg = cfg
        self._targets = targets
        self._registration = registration
        self._new_store = new_store
        self.watches: dict[str, TopicWatch] = {}
        self.reads: dict[str, HedgedReads] = {}
        self.intake = ConfigurationIntake(lambda: self.in_force)
        self._registered: dict[str, Runner] = {}
        # Known instances that the list of a restored store, or of another one, lacks so far.
        self._unlisted: frozenset[str] = frozenset()
        targets.fleet.versions.reads.request = lambda: self.read_soon(RUNNER_TOPIC)
        targets.peers.on_reconnect = lambda: self.read_soon(QUARANTINE_TOPIC)

    def children(self) -> list[Child]:
        """Return the tasks to run."""
        return [
            Child('configuration', self.follow_configuration),
            Child('runners', self.follow_runners),
            Child('entries', self.follow_entries),
            Child('quarantine', self.follow_quarantine),
            *record_tasks(self, self._targets, self._new_store),
        ]

    @property
    def in_force(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._targets.dispatcher.configuration

    def on_topic_update(self, update: TopicUpdate) -> None:
        """Apply an update that a peer has read; updates of topics not followed yet are ignored."""
        watch = self.watches.get(update.topic)
        if watch is not None:
            watch.on_update(update)
        if update.topic == INSTANCE_TOPIC:
            self._targets.peers.members.note_poller(update.entry)

    def read_soon(self, topic: str) -> None:
        """Read a topic again soon: announcements of peers may have been missed, or its state is needed."""
        watch = self.watches.get(topic)
        if watch is not None:
            watch.poll_soon()

    def polls_entries(self) -> bool:
        """Return whether this instance polls the list of instances for all."""
        watch = self.watches.get(INSTANCE_TOPIC)
        return watch is not None and watch.turns.polls_for_all

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Apply changed settings, such as the bound on repeats."""
        self._cfg = cfg
        self._targets.budgets.reconfigure(RepeatBound.from_config(cfg))
        for topic, watch in self.watches.items():
            pacing = topic_pacing(topic, cfg)
            watch.repace(pacing)
            self.reads[topic].silence_s = pacing.silence_s

    def note_store_moved(self) -> None:
        """Read all topics anew, since the store has another address."""
        for watch in self.watches.values():
            watch.note_store_moved()

    def put_in_force(self, cfg: Configuration) -> bool:
        """Apply ``cfg`` if it is newer than the configuration in force; return whether it was."""
        before = self.in_force
        # A slow or repeated read may return an older version than the one in force.
        if before is not None and cfg.version <= before.version:
            return False
        self._targets.fleet.configure(cfg)
        self._targets.dispatcher.configure(cfg)
        events.log_event(events.CONFIGURATION_APPLIED, version=cfg.version, routes=sum(map(len, cfg.routes.values())))
        return True

    async def follow_configuration(self) -> None:
        """Apply each newer configuration, until cancelled."""
        taker = RecordHandlers(
            self._apply_operator_records,
            self._apply_operator_record,
            restore=self._apply_operator_records,
            request_from=self.request_configuration,
            ask_about_gap=self.compare_configuration,
            urgent=lambda: self.in_force is None,
            passes_known=True,
        )
        await self._follow_topic(OPERATOR_TOPIC, taker)

    async def follow_runners(self) -> None:
        """Keep the fleet in step with the registered runners, until cancelled."""
        fleet = self._targets.fleet
        handlers = RecordHandlers(
            self._apply_runners,
            self._apply_runner,
            restore=self._apply_restored_runners,
            confirm=fleet.history.note_current,
            polled=fleet.versions.reads.note_read,
            urgent=lambda: not fleet.listed,
            ask_about_gap=lambda _: self.on_runners_listed(),
        )
        await self._follow_topic(RUNNER_TOPIC, handlers)

    async def follow_entries(self) -> None:
        """Keep the list of peers in step with the store, until cancelled."""
        await self._follow_topic(
            INSTANCE_TOPIC,
            RecordHandlers(
                self._apply_entries,
                self._apply_entry,
                self._apply_restored_entries,
                confirm=lambda by_store: self._targets.budgets.reserve_share.confirm(by_store=by_store),
            ),
        )

    async def follow_quarantine(self) -> None:
        """Keep the quarantine in step with the store, until cancelled."""
        quarantine = self._targets.quarantine
        taker = RecordHandlers(
            quarantine.apply_records, quarantine.apply_record, quarantine.note_missing, passes_known=True
        )
        await self._follow_topic(QUARANTINE_TOPIC, taker)

    async def _follow_topic(self, topic: str, handlers: RecordHandlers) -> None:
        peers = self._targets.peers
        store = self._new_store()
        others = PeerGroup(
            self._cfg.name, peers.count, peers.broadcast_update, store.pacer, lambda peer: peer not in self._unlisted
        )
        # Seeded so that no two instances poll at the same times, and that the topics
        # of one instance are not retried together: the first answer wakes the others.
        pacing = topic_pacing(topic, self._cfg)
        clients = StoreClients(store.client, self._new_store().client, self._new_store().client)
        reads = HedgedReads(clients, topic, pacing.silence_s)
        self.reads[topic] = reads
        watch = TopicWatch(reads, topic, pacing, handlers, others, Random(f'{self._cfg.name} {topic}'))
        self.watches[topic] = watch
        await watch.run()

    def _apply_operator_records(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self._apply_operator_record(record)

    def _apply_operator_record(self, record: KeyedRecord) -> bool:
        if record.key != OPERATOR_KEY or not record.text:
            return False
        cfg = self.intake.decode(record)
        return cfg is not None and self.put_in_force(cfg)

    def _apply_runners(self, records: tuple[KeyedRecord, ...]) -> None:
        self._registered = {runner.key: runner for runner in readable_runners(records)}
        self._targets.fleet.replace_all(self._registered.values())
        self.on_runners_listed()

    def _apply_restored_runners(self, records: tuple[KeyedRecord, ...]) -> None:
        apply_restored(self._targets.fleet, readable_runners(records))
        self.on_runners_listed()

    def _apply_runner(self, record: KeyedRecord) -> bool:
        runner = readable_runner(record)
        before = self._registered.pop(record.key, None)
        if runner is None:
            # A record that can't be decoded also counts as removed: another writer may
            # have replaced it. The runner counts again once it renews its registration.
            self._targets.fleet.note_unregistered(record.key)
            return before is not None
        self._registered[record.key] = runner
        self._targets.fleet.update(runner)
        return runner.differs_from(before)

    def _apply_entries(self, records: tuple[KeyedRecord, ...]) -> None:
        self._unlisted = frozenset()
        self._targets.peers.replace_all(records)
        _log_share(
            self._targets, changed=self._targets.budgets.reserve_share.replace_all(self._targets.peers.addresses)
        )
        self._registration.check_list(records)

    def _apply_restored_entries(self, records: tuple[KeyedRecord, ...]) -> None:
        """Add instances that are not known: they write their records once, perhaps just after the restore."""
        known = frozenset(self._targets.peers.addresses)
        self._unlisted = known - {record.key for record in records}
        for record in records:
            if record.key not in known:
                self._apply_entry(record)
        self._registration.check_list(records)

    def _apply_entry(self, record: KeyedRecord) -> bool:
        self._unlisted -= {record.key}
        changed = self._targets.peers.update(record)
        _log_share(self._targets, changed=self._targets.budgets.reserve_share.update(self._targets.peers.addresses))
        self._registration.check_record(record)
        return changed


def _log_share(targets: SyncTargets, *, changed: bool) -> None:
    if changed:
        targets.budgets.log_share()


def _do_nothing() -> None:
    """Do nothing."""


def _ignore_request(_: str) -> None:
    """Ignore the request."""


__all__ = ('SyncTargets', 'TopicSync')
