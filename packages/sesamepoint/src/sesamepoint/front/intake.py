"""Taking records of the store into what this process believes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint import events
from sesamepoint.front.watch import Pacing, Watch
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.names import ENTRY_TOPIC, OPERATOR_KEY, OPERATOR_TOPIC, RUNNER_TOPIC
from sesamepoint.platform.registration import decode_runner
from sesamepoint.platform.store import StoreClient
from sesamepoint.platform.unreadable import UnreadableRecordError

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.dispatch import Budgets, Dispatcher
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.peers import Peers
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.http1.transport import Network
    from sesamepoint.platform.store import KeyedRecord

# A new configuration is waited for at all times, for this share of the time in
# which it must be in force a call: the wait bounds how long a connection that
# died in silence goes unnoticed, and each call to the store has its price.
CONFIGURATION_WAIT_SHARE = 0.75
CONFIGURATION_REST_S = 0.02
# Runners renew their entries many times a second in sum. One call in this
# share of the time in which a leaving runner must be noticed brings them all;
# a slow store takes a quarter of a second more, a lost call one second.
RUNNER_WAIT_S = 1.0
RUNNER_REST_SHARE = 0.25
# Entries come and go rarely, and nothing breaks while one is unknown.
ENTRY_WAIT_S = 10.0
ENTRY_REST_S = 0.5


class Beliefs(NamedTuple):
    """What the records change."""

    dispatcher: Dispatcher
    fleet: Fleet
    peers: Peers
    budgets: Budgets


class Intake:
    """Follows the operator's, the runners' and the entries' records."""

    def __init__(self, cfg: FrontSettings, beliefs: Beliefs, network: Network, rng: Random) -> None:
        """Keep ``beliefs`` in step with the store that ``cfg`` names."""
        self._cfg = cfg
        self._beliefs = beliefs
        self._network = network
        self._rng = rng

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Share the retry budget as ``cfg`` says from now on."""
        self._cfg = cfg
        self._share_budget()

    async def follow_configuration(self) -> None:
        """Put each newer configuration in force, until cancelled."""
        pacing = Pacing(CONFIGURATION_WAIT_SHARE * self._cfg.config_s, CONFIGURATION_REST_S)
        watch = Watch(self._client(), OPERATOR_TOPIC, pacing, self._rng)
        await watch.run(self._take_operator_records, self._take_operator_record)

    async def follow_runners(self) -> None:
        """Keep the fleet in step, until cancelled."""
        watch = Watch(
            self._client(), RUNNER_TOPIC, Pacing(RUNNER_WAIT_S, RUNNER_REST_SHARE * self._cfg.drain_s), self._rng
        )
        await watch.run(self._take_runners, self._take_runner)

    async def follow_entries(self) -> None:
        """Register this entry and learn of the others, until cancelled."""
        client = self._client()
        await self._beliefs.peers.register(client)
        watch = Watch(client, ENTRY_TOPIC, Pacing(ENTRY_WAIT_S, ENTRY_REST_S), self._rng)
        await watch.run(self._take_entries, self._take_entry)

    def _client(self) -> StoreClient:
        return StoreClient(self._cfg.store.address, self._network)

    def _take_operator_records(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self._take_operator_record(record)

    def _take_operator_record(self, record: KeyedRecord) -> None:
        if record.key != OPERATOR_KEY or not record.text:
            return
        try:
            cfg = decode_configuration(record.text)
        except UnreadableRecordError as exc:
            events.log_event(events.RECORD_UNREADABLE, cause=str(exc))
            return
        before = self._beliefs.dispatcher.configuration
        # What a slow or repeated read brings late must not undo a newer one.
        if before is not None and cfg.version <= before.version:
            return
        self._beliefs.fleet.configure(cfg)
        self._beliefs.dispatcher.configure(cfg)
        events.log_event(events.VERSION_IN_FORCE, version=cfg.version, routes=sum(map(len, cfg.routes.values())))

    def _take_runners(self, records: tuple[KeyedRecord, ...]) -> None:
        decoded = (_decode_runner(record) for record in records if record.text)
        self._beliefs.fleet.replace_all([runner for runner in decoded if runner is not None])

    def _take_runner(self, record: KeyedRecord) -> None:
        runner = _decode_runner(record) if record.text else None
        if runner is None:
            # Also if another writer has put something else there: until the
            # runner renews its registration, nothing vouches for it.
            self._beliefs.fleet.remove(record.key)
            return
        self._beliefs.fleet.update(runner)

    def _take_entries(self, records: tuple[KeyedRecord, ...]) -> None:
        self._beliefs.peers.replace_all(records)
        self._share_budget()

    def _take_entry(self, record: KeyedRecord) -> None:
        self._beliefs.peers.update(record)
        self._share_budget()

    def _share_budget(self) -> None:
        self._beliefs.budgets.share(self._beliefs.peers.count(), self._cfg.retry_reserve)


def _decode_runner(record: KeyedRecord) -> Runner | None:
    try:
        return decode_runner(record.key, record.text)
    except UnreadableRecordError as exc:
        events.log_event(events.RECORD_UNREADABLE, cause=str(exc))
        return None


__all__ = ('Beliefs', 'Intake')
