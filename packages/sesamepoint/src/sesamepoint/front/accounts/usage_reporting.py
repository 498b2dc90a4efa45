"""Usage reporting: the parts of a front that count and report the usage of client accounts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.duty.usage import UsageMeter
from sesamepoint.front.clocks import SmoothedTime, SystemClock
from sesamepoint.front.accounts.duty import Duty, DutyTools
from sesamepoint.front.accounts.usage import UsageCounts
from sesamepoint.front.accounts.usage_messages import DutyMessage, UsageMessage
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.settings import DutySettings
    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.http1.transport import Network


class UsageReporting:
    """Counts usage, and reports it for all instances while this one holds the lease of the duty."""

    def __init__(
        self, cfg: DutySettings, peers: Peers, store: PacedStore, network: Network, clock: Clock | None, rng: Random
    ) -> None:
        """Create the components without starting them; ``clock`` defaults to the system clock."""
        clock = clock or SystemClock()
        true_time = SmoothedTime(clock)
        meter = UsageMeter(cfg.window_s)
        self._counts = UsageCounts(meter, true_time, clock, peers, rng)
        self._report_duty = Duty(cfg, DutyTools(peers, self._counts, meter, store, network, clock, true_time, rng))
        peers.handlers[DutyMessage] = self._report_duty.on_duty_message
        peers.handlers[UsageMessage] = self._report_duty.on_usage_message

    def note_run(self, job: Job) -> None:
        """Count a request when a runner has begun to run it."""
        self._counts.note_run(job)

    def children(self) -> list[Child]:
        """Return the background tasks."""
        return [
            Child('usage', self._counts.send_counts),
            Child('duty-lease', self._report_duty.keep_lease),
            Child('duty-reports', self._report_duty.report_windows),
        ]

    def reconfigure(self, cfg: DutySettings) -> None:
        """Send reports to another address; the windows stay as they are."""
        self._report_duty.report_call.address = cfg.address

    async def give_back(self) -> None:
        """Give the duty back, since this instance is about to stop; it goes on counting and telling the holder."""
        await self._report_duty.release()

    async def wind_down(self) -> None:
        """Send the last counts to the holder, before this instance stops."""
        await self._counts.send_final()


__all__ = ('UsageReporting',)
