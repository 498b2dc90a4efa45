"""Tasks of an instance that synchronize it with the store and its peers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint.front.store.freshness import AgeBounds, Freshness
from sesamepoint.front.store.store_pacer import PacedStore, StorePacer
from sesamepoint.front.store.sync_gauges import add_sync_gauges
from sesamepoint.front.store.topic_sync import SyncTargets, TopicSync
from sesamepoint.front.store.topic_updates import TopicUpdate
from sesamepoint.front.peering.peer_messages import VersionMessage
from sesamepoint.front.store.instance_registration import InstanceRegistration
from sesamepoint.front.pages import Page, Pages
from sesamepoint.front.store.peer_configuration import CONFIGURATION_PATH, PeerConfiguration
from sesamepoint.front.quarantine.quarantine_records import QuarantineRecords
from sesamepoint.front.runners.gap_questions import GapQuestions
from sesamepoint.front.runners.runner_updates import RunnerUpdates
from sesamepoint.front.accounts.usage_reporting import UsageReporting
from sesamepoint.platform.store import StoreClient
from sesamepoint.platform.store_location import StoreLocation
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.http1.transport import Network

# A stop waits no longer than this, in seconds, for the last usage counts to be
# sent.
FINAL_REPORT_TIMEOUT_S = 0.2
# Longest time in seconds in which the duty is given back: a call to the platform and one to the store.
GIVE_BACK_TIMEOUT_S = 2.5


class StoreSync:
    """Reads and writes the store; all its clients share the known epoch of the store."""

    def __init__(
        self, cfg: FrontSettings, targets: SyncTargets, network: Network, rng: Random, clock: Clock | None
    ) -> None:
        """Create the components without starting them; ``clock`` defaults to the system clock."""
        peers = targets.peers
        self._location = StoreLocation(cfg.store.address)
        new_client = partial(StoreClient, self._location, network)
        pacer = StorePacer.from_config(cfg, peers.count, peers.send_queue.enqueue, rng)
        self._pacer = pacer
        # Any response ends an outage, also one that a caller can't use, such as the first one of a restored store.
        self._location.on_answered = pacer.note_answered
        self._location.epoch.on_newer = pacer.news.note_response
        pacer.join(peers.handlers)
        new_store = partial(PacedStore.open, new_client, pacer)
        self._registration = InstanceRegistration(cfg.name, peers, new_store, rng)
        self._topic_sync = TopicSync(cfg, targets, self._registration, new_store)
        self._quarantine_records = QuarantineRecords(targets.quarantine, new_store(), rng)
        self._peer_configuration = PeerConfiguration(self._topic_sync, peers, network, rng)
        bounds = AgeBounds.from_config(cfg)
        self._freshness = Freshness(self._topic_sync.watches, bounds, self._peer_configuration.compare_with_any)
        add_sync_gauges(targets.dispatcher.metrics.add_gauge, self._topic_sync, self._freshness, pacer)
        self._topic_sync.request_configuration = self._peer_configuration.request_from
        self._topic_sync.compare_configuration = self._peer_configuration.compare_with
        peers.handlers[VersionMessage] = self._peer_configuration.on_version
        peers.handlers[TopicUpdate] = self._topic_sync.on_topic_update
        self._runner_status = RunnerUpdates(targets.fleet, targets.runner_statuses, peers)
        self._gap_questions = GapQuestions(peers)
        self._topic_sync.on_runners_listed = self._gap_questions.note_gap
        self._reporting: UsageReporting | None = None
        if cfg.duty is not None:
            self._reporting = UsageReporting(cfg.duty, peers, new_store(), network, clock, rng)
            targets.dispatcher.on_run_started = self._reporting.note_run
        # Pages that peers may request from this instance.
        self.pages = Pages(
            {CONFIGURATION_PATH: Page(self._peer_configuration.encode_page, self._peer_configuration.available)}
        )

    def children(self) -> list[Child]:
        """Return the tasks to run."""
        topic_sync = self._topic_sync
        return [
            *topic_sync.children(),
            Child('quarantine-write', self._quarantine_records.write),
            Child('quarantine-restore', self._quarantine_records.restore),
            Child('quarantine-end', self._quarantine_records.end_expired),
            Child('registration', self._registration.stay_registered),
            Child('lost-entries', partial(self._registration.drop_failed, topic_sync.polls_entries)),
            Child('peer-configuration', self._peer_configuration.fetch_queued),
            Child('freshness', self._freshness.run),
            Child('runner-news', self._runner_status.run),
            Child('gap-questions', self._gap_questions.run),
            Child('peer-compare', self._peer_configuration.compare_versions),
            *(self._reporting.children() if self._reporting else ()),
        ]

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Apply changed settings."""
        self._topic_sync.reconfigure(cfg)
        self._pacer.reconfigure(cfg)
        self._freshness.bounds = AgeBounds.from_config(cfg)
        if cfg.store.address != self._location.address:
            self._location.move(cfg.store.address)
            self._topic_sync.note_store_moved()
        if self._reporting and cfg.duty:
            self._reporting.reconfigure(cfg.duty)

    async def give_back_duty(self) -> None:
        """Give the duty back at the begin of a stop, so that its next holder does not stop within seconds."""
        if self._reporting:
            with trio.move_on_after(GIVE_BACK_TIMEOUT_S):
                await self._reporting.give_back()

    async def withdraw(self) -> None:
        """Send the last counts and remove the record of this instance, which is about to stop."""
        if self._reporting:
            with trio.move_on_after(FINAL_REPORT_TIMEOUT_S):
                await self._reporting.wind_down()
        await self._registration.withdraw()


__all__ = ('StoreSync', 'SyncTargets')
