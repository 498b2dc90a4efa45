"""Taking records of the store into what this process believes."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint import events
from sesamepoint.front.reading_turns import Pacing
from sesamepoint.front.watch import Others, Taker, Watch
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.names import ENTRY_TOPIC, OPERATOR_KEY, OPERATOR_TOPIC, QUARANTINE_TOPIC, RUNNER_TOPIC
from sesamepoint.platform.registration import decode_runner
from sesamepoint.platform.store import StoreClient
from sesamepoint.platform.unreadable import UnreadableRecordError

if TYPE_CHECKING:
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.dispatch import Budgets, Dispatcher
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.news import News
    from sesamepoint.front.peers import Peers
    from sesamepoint.front.quarantine import Quarantine
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.http1.transport import Network
    from sesamepoint.platform.store import KeyedRecord

# One entry waits for a new configuration at all times, for this share of the
# time in which it must be in force a call. Without word of that, the others
# wait for the same and up to the next share more: half of the time is left
# for a call to a store that is slow, or lost its answer.
CONFIGURATION_WAIT_SHARE = 0.25
CONFIGURATION_REST_S = 0.02
CONFIGURATION_SPREAD_SHARE = 0.15
# Runners renew their entries many times a second in sum. One call in this
# share of the time in which a leaving runner must be noticed brings them all.
# Where nobody tells, an entry reads after half of that time at the latest.
RUNNER_WAIT_SHARE = 0.1
RUNNER_REST_SHARE = 0.2
RUNNER_SPREAD_SHARE = 0.15
# Entries come and go rarely. But while they start together, each takes itself
# for one of few and spends more than its share of the retry budget.
ENTRY_WAIT_S = 1.0
ENTRY_REST_S = 0.2
ENTRY_SPREAD_S = 0.5
# Entries tell each other of a quarantine at once; the store has it for those that
# start later, or heard nothing. A call waits for long, nobody waits for it.
QUARANTINE_WAIT_S = 10.0
QUARANTINE_REST_S = 1.0
QUARANTINE_SPREAD_S = 5.0
# How often lost entries are looked for, in seconds.
LOOK_S = 1.0


class Beliefs(NamedTuple):
    """What the records change."""

    dispatcher: Dispatcher
    fleet: Fleet
    peers: Peers
    budgets: Budgets
    quarantine: Quarantine


class Intake:
    """Follows the operator's, the runners' and the entries' records."""

    def __init__(self, cfg: FrontSettings, beliefs: Beliefs, network: Network) -> None:
        """Keep ``beliefs`` in step with the store that ``cfg`` names."""
        self._cfg = cfg
        self._beliefs = beliefs
        self._network = network
        self._watches: dict[str, Watch] = {}
        self._registered: dict[str, Runner] = {}
        self._dropped = trio.Event()

    def hear(self, news: News) -> None:
        """Take what another entry has read; of a topic that is not followed yet, nothing."""
        watch = self._watches.get(news.topic)
        if watch is not None:
            watch.hear(news)
        if news.topic == ENTRY_TOPIC:
            self._beliefs.peers.members.read_by(news.entry)

    def look_again(self) -> None:
        """Read again which requests may not be sent: others may have told that unheard."""
        watch = self._watches.get(QUARANTINE_TOPIC)
        if watch is not None:
            watch.look_soon()

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Share the retry budget as ``cfg`` says from now on."""
        self._cfg = cfg
        self._share_budget()

    async def follow_configuration(self) -> None:
        """Put each newer configuration in force, until cancelled."""
        span_s = self._cfg.config_s
        pacing = Pacing(CONFIGURATION_WAIT_SHARE * span_s, CONFIGURATION_REST_S, CONFIGURATION_SPREAD_SHARE * span_s)
        await self._follow(
            OPERATOR_TOPIC, pacing, Taker(self._take_operator_records, self._take_operator_record, private=True)
        )

    async def follow_runners(self) -> None:
        """Keep the fleet in step, until cancelled."""
        span_s = self._cfg.drain_s
        pacing = Pacing(RUNNER_WAIT_SHARE * span_s, RUNNER_REST_SHARE * span_s, RUNNER_SPREAD_SHARE * span_s)
        await self._follow(RUNNER_TOPIC, pacing, Taker(self._take_runners, self._take_runner))

    async def stay_registered(self) -> None:
        """Register this entry, and again if its record is dropped, until cancelled.

        The others drop the record of one that they do not hear for long.
        """
        client = self._client()
        while True:
            self._dropped = trio.Event()
            await self._beliefs.peers.register(client)
            await self._dropped.wait()

    async def withdraw(self) -> None:
        """Take the record of this entry back: it is about to stop."""
        await self._beliefs.peers.withdraw(self._client())

    async def drop_lost(self) -> None:
        """Have the records of lost entries dropped, while it is this one's turn to read, until cancelled."""
        client = self._client()
        while True:
            await trio.sleep(LOOK_S)
            watch = self._watches.get(ENTRY_TOPIC)
            if watch is not None:
                await self._beliefs.peers.drop_lost(client, reading=watch.turns.reads_for_all)

    async def follow_entries(self) -> None:
        """Learn of the other entries, until cancelled."""
        pacing = Pacing(ENTRY_WAIT_S, ENTRY_REST_S, ENTRY_SPREAD_S)
        await self._follow(ENTRY_TOPIC, pacing, Taker(self._take_entries, self._take_entry))

    async def follow_quarantine(self) -> None:
        """Learn which requests may not be sent, until cancelled."""
        quarantine = self._beliefs.quarantine
        pacing = Pacing(QUARANTINE_WAIT_S, QUARANTINE_REST_S, QUARANTINE_SPREAD_S)
        await self._follow(QUARANTINE_TOPIC, pacing, Taker(quarantine.take_records, quarantine.take_record))

    async def _follow(self, topic: str, pacing: Pacing, taker: Taker) -> None:
        peers = self._beliefs.peers
        others = Others(self._cfg.name, peers.count, peers.tell_news)
        # Drawn apart by name, so that no two entries keep the same step.
        watch = Watch(self._client(), topic, pacing, taker, others, Random(self._cfg.name))
        self._watches[topic] = watch
        await watch.run()

    def _client(self) -> StoreClient:
        return StoreClient(self._cfg.store.address, self._network)

    def _take_operator_records(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self._take_operator_record(record)

    def _take_operator_record(self, record: KeyedRecord) -> bool:
        if record.key != OPERATOR_KEY or not record.text:
            return False
        try:
            cfg = decode_configuration(record.text)
        except UnreadableRecordError as exc:
            events.log_event(events.RECORD_UNREADABLE, cause=str(exc))
            return False
        before = self._beliefs.dispatcher.configuration
        # What a slow or repeated read brings late must not undo a newer one.
        if before is not None and cfg.version <= before.version:
            return False
        self._beliefs.fleet.configure(cfg)
        self._beliefs.dispatcher.configure(cfg)
        events.log_event(events.VERSION_IN_FORCE, version=cfg.version, routes=sum(map(len, cfg.routes.values())))
        return True

    def _take_runners(self, records: tuple[KeyedRecord, ...]) -> None:
        decoded = (_decode_runner(record) for record in records if record.text)
        self._registered = {runner.key: runner for runner in decoded if runner is not None}
        self._beliefs.fleet.replace_all(self._registered.values())

    def _take_runner(self, record: KeyedRecord) -> bool:
        runner = _decode_runner(record) if record.text else None
        before = self._registered.pop(record.key, None)
        if runner is None:
            # Also if another writer has put something else there: until the
            # runner renews its registration, nothing vouches for it.
            self._beliefs.fleet.remove(record.key)
            return before is not None
        self._registered[record.key] = runner
        self._beliefs.fleet.update(runner)
        return runner != before

    def _take_entries(self, records: tuple[KeyedRecord, ...]) -> None:
        self._beliefs.peers.replace_all(records)
        self._share_budget()
        if all(record.key != self._cfg.name for record in records):
            self._note_dropped()

    def _take_entry(self, record: KeyedRecord) -> bool:
        changed = self._beliefs.peers.update(record)
        self._share_budget()
        if record.key == self._cfg.name and not record.text:
            self._note_dropped()
        return changed

    def _note_dropped(self) -> None:
        """Register again, unless this entry has not yet or no more."""
        if self._beliefs.peers.registered:
            self._beliefs.peers.registered = False
            events.log_event(events.ENTRY_DROPPED)
            self._dropped.set()

    def _share_budget(self) -> None:
        self._beliefs.budgets.share(self._beliefs.peers.count(), self._cfg.retry_reserve)


def _decode_runner(record: KeyedRecord) -> Runner | None:
    try:
        return decode_runner(record.key, record.text)
    except UnreadableRecordError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=str(exc))
        return None


__all__ = ('Beliefs', 'Intake')
