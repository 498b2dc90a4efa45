"""Tasks of an instance that synchronize it with the store and its peers."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint.front.clocks import SystemClock
from sesamepoint.front.intake import Beliefs, Intake
from sesamepoint.front.news import News
from sesamepoint.front.notices import VersionNote
from sesamepoint.front.own_record import OwnRecord
from sesamepoint.front.pages import Page, Pages
from sesamepoint.front.peer_configuration import CONFIGURATION_PATH, PeerConfiguration
from sesamepoint.front.quarantine_records import QuarantineRecords
from sesamepoint.front.runner_news import RunnerNews
from sesamepoint.front.reporting import Reporting
from sesamepoint.platform.store import StoreClient
from sesamepoint.platform.store_era import StoreEra
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.http1.transport import Network

# A stop waits no longer than this, in seconds, for the last usage counts to be
# sent and the duty to be released.
LAST_WORD_S = 0.2


class Following:
    """Reads and writes the store; all its clients share the known epoch of the store."""

    def __init__(
        self, cfg: FrontSettings, beliefs: Beliefs, network: Network, rng: Random, clock: Clock | None
    ) -> None:
        """Create the parts without starting them; ``clock`` defaults to the system clock."""
        peers = beliefs.peers
        new_client = partial(StoreClient, cfg.store.address, network, StoreEra())
        self._own = OwnRecord(cfg.name, peers, new_client)
        self._intake = Intake(cfg, beliefs, self._own, new_client)
        self._records = QuarantineRecords(beliefs.quarantine, new_client(), rng)
        self._peers_cfg = PeerConfiguration(self._intake, peers, network, rng)
        self._intake.ask_configuration = self._peers_cfg.ask
        peers.on_word[VersionNote] = self._peers_cfg.heard
        peers.on_word[News] = self._intake.hear
        peers.hear_again = self._intake.look_again
        self._runner_news = RunnerNews(beliefs.fleet, beliefs.words, peers)
        self._reporting: Reporting | None = None
        if cfg.duty is not None:
            self._reporting = Reporting(cfg.duty, peers, new_client(), network, clock or SystemClock(), rng)
            beliefs.dispatcher.on_run = self._reporting.note_run
        # Pages that peers may request from this instance.
        self.pages = Pages({CONFIGURATION_PATH: Page(self._peers_cfg.page, self._peers_cfg.there)})

    def children(self) -> list[Child]:
        """Return the tasks to run."""
        intake = self._intake
        return [
            Child('configuration', intake.follow_configuration),
            Child('runners', intake.follow_runners),
            Child('entries', intake.follow_entries),
            Child('quarantine', intake.follow_quarantine),
            Child('quarantine-write', self._records.write),
            Child('quarantine-restore', self._records.restore),
            Child('quarantine-end', self._records.end_lapsed),
            Child('registration', self._own.stay_registered),
            Child('lost-entries', partial(self._own.drop_lost, intake.reads_entries)),
            Child('peer-configuration', self._peers_cfg.run),
            Child('runner-news', self._runner_news.run),
            Child('peer-compare', self._peers_cfg.compare),
            *(self._reporting.children() if self._reporting else ()),
        ]

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Apply changed settings."""
        self._intake.reconfigure(cfg)

    async def withdraw(self) -> None:
        """Hand over the duty and remove the record of this instance, which is about to stop."""
        if self._reporting:
            with trio.move_on_after(LAST_WORD_S):
                await self._reporting.wind_down()
        await self._own.withdraw()


__all__ = ('Beliefs', 'Following')
