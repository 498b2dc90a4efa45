"""The parts of a front that count and report what client accounts use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.duty.usage import UsageMeter
from sesamepoint.front.clocks import TrueTime
from sesamepoint.front.duty import Duty, DutyTools
from sesamepoint.front.usage import UsageCounts
from sesamepoint.front.usage_words import DutyWord, UsageWord
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.job import Job
    from sesamepoint.front.peers import Peers
    from sesamepoint.front.settings import DutySettings
    from sesamepoint.http1.transport import Network
    from sesamepoint.platform.store import StoreClient


class Reporting:
    """Counts here, and reports for all while this instance holds the duty."""

    def __init__(
        self, cfg: DutySettings, peers: Peers, store: StoreClient, network: Network, clock: Clock, rng: Random
    ) -> None:
        """Put the parts together without starting them."""
        true_time = TrueTime(clock)
        meter = UsageMeter(cfg.window_s)
        self._counts = UsageCounts(meter, true_time, clock, peers, rng)
        self._duty = Duty(cfg, DutyTools(peers, self._counts, meter, store, network, clock, true_time, rng))
        peers.on_word[DutyWord] = self._duty.heard_holder
        peers.on_word[UsageWord] = self._duty.heard_usage

    def note_run(self, job: Job) -> None:
        """Count a request that a runner has begun to run."""
        self._counts.note_run(job)

    def children(self) -> list[Child]:
        """Return the parts that run."""
        return [
            Child('usage', self._counts.run),
            Child('duty-lease', self._duty.hold),
            Child('duty-reports', self._duty.report),
        ]

    async def wind_down(self) -> None:
        """Leave the duty and the last counts to the others: this instance is about to stop."""
        await self._counts.tell_last()
        await self._duty.give_back()


__all__ = ('Reporting',)
