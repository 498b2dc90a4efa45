"""The duty to report usage: its lease in the store, and the reports of the lease holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from sesamepoint_core.duty.lease import ClaimState, Holder, Lease, LeaseTimes
from sesamepoint_core.duty.report_schedule import COUNTS_DUE_S, Report, ReportSchedule, ReportTimes
from sesamepoint_core.duty.usage import Source, UsageTotals
from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.accounts.duty_log import AppendOutcome, DutyLog
from sesamepoint.front.accounts.report_call import CALL_TIMEOUT_S, STATUS_OK, ReportCall
from sesamepoint.front.accounts.usage_messages import DutyMessage
from sesamepoint.platform.usage_reports import encode_usage
from sesamepoint.platform.wire_names import LEASE_KEY, REPORT_KEY

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.duty.usage import UsageMeter
    from sesamepoint.front.clocks import Clock, SmoothedTime
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.settings import DutySettings
    from sesamepoint.front.accounts.usage import UsageCounts
    from sesamepoint.front.accounts.usage_messages import UsageMessage
    from sesamepoint.front.store.store_pacer import PacedStore
    from sesamepoint.http1.transport import Network

# How often the holder renews its lease, and retries a failed renewal, in seconds.
RENEW_S = 0.7
RENEW_RETRY_S = 0.3
CALL_RETRY_S = 0.3
# How often the holder checks for a window to report, in seconds.
CHECK_INTERVAL_S = 0.1
# The holder announces itself after this many seconds, or after the second figure
# times the number of instances if that is more: so its announcements take a
# hundredth of a link of 10 Mbit/s.
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_INTERVAL_PER_PEER_S = 0.01
# After this many missed announcements the peers try to become the holder, each
# after a delay drawn from the range, in seconds.
MISSED_ANNOUNCEMENTS = 2.5
SEEK_RANGE_S = (0.1, 1.0)
# Pauses before they retry if the store does not answer, in seconds. The holder
# renews its lease before that, at its own fixed interval.
FIRST_SEEK_RETRY_S = 3.0
LONGEST_SEEK_RETRY_S = 6.0
# Range of the random time for which an instance waits for an announcement at its
# start, in seconds.
STARTUP_RANGE_S = (1.0, 2.0)
# How often missing counts are requested from peers, in seconds.
COUNTS_RETRY_S = 0.5
# A report does not wait for the counts of an instance from which nothing was
# received for this long, in seconds: a failed instance stays on the list beyond the
# time by which a report is due. A live instance sends its counts of each window.
INACTIVE_S = 8.0
STATUS_TOO_MANY = 429
FIRST_FAILURE = 500


class DutyTools(NamedTuple):
    """Parts of the front that the duty uses."""

    peers: Peers
    counts: UsageCounts
    meter: UsageMeter
    store: PacedStore
    network: Network
    clock: Clock
    true_time: SmoothedTime
    rng: Random


class Duty:
    """Claims the lease of the duty if no instance holds it, and reports usage while it is held."""

    def __init__(self, cfg: DutySettings, tools: DutyTools) -> None:
        """Start without the lease."""
        self._cfg = cfg
        self._tools = tools
        self._name = tools.peers.name
        self._clock = tools.clock
        owner = Holder(self._name, tools.peers.host)
        self._lease = Lease(owner, LeaseTimes.from_lease(cfg.lease_s), tools.clock.steady())
        # Set once this instance is about to stop; it would have to give the duty back within seconds.
        self._stopping = False
        self._reports = ReportSchedule(tools.meter, ReportTimes(cfg.window_s, cfg.report_delay_s))
        self._counters = UsageTotals()
        self.report_call = ReportCall(cfg.address, self._name, tools.network)
        self._holder_expected_until = tools.clock.steady() + tools.rng.uniform(*STARTUP_RANGE_S)
        self._log = DutyLog(self._lease, tools.store.client, tools.clock)
        self._seek_backoff = Backoff(RetryLimits(FIRST_SEEK_RETRY_S, LONGEST_SEEK_RETRY_S), tools.rng)
        # Held during each step of a report, so that the duty is released only between two steps.
        self._acting = trio.Lock()
        self._announced_at: float = 0
        self._requested_at: float = 0

    def held(self) -> bool:
        """Tell whether this instance holds a valid lease."""
        return self._lease.valid(self._clock.steady())

    def on_duty_message(self, message: DutyMessage) -> None:
        """Handle an announcement of a holder."""
        self._tools.counts.on_duty_message(message)
        now = self._clock.steady()
        self._holder_expected_until = now + MISSED_ANNOUNCEMENTS * self._announce_interval_s() if message.held else now

    def on_usage_message(self, message: UsageMessage) -> None:
        """Handle usage counts from a peer."""
        if message.window < self._reports.next_window:
            return
        source = Source(message.entry, message.incarnation)
        self._counters.add(source, message.window, message.account_counts)
        if message.closed:
            self._counters.close(source, message.window, message.part, message.parts)

    async def keep_lease(self) -> None:
        """Renew the lease, or claim it if no other instance holds it, until cancelled."""
        while True:
            if self._lease.fence is None:
                await self._seek()
            else:
                await self._renew()

    async def report_windows(self) -> None:
        """Report each window when it is due while the lease is held, until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            async with self._acting:
                if self.held() and not self._stopping:
                    await self._announce_held()
                    await self._advance_report()

    async def release(self) -> None:
        """Release the lease, so that a peer can claim it at once, and don't claim it again: this instance stops."""
        self._stopping = True
        try:
            async with self._acting:
                if self._lease.fence is not None:
                    await self._release()
        finally:
            # Without an answer of the store the lease expires; this instance must not act meanwhile.
            self._lease.lose()

    async def _release(self) -> None:
        record = self._lease.release_record(self._clock.steady())
        outcome = await self._log.append(LEASE_KEY, msgspec.json.encode(record), record)
        # Before any other task runs: a renewal that waits would take the lease back.
        self._lease.lose()
        events.log_event(
            events.DUTY_GIVEN_BACK,
            fence=record.fence,
            outcome=outcome.value,
            recent=_logged(record.recent),
            reported=record.reported,
        )
        await self._announce(held=False)

    async def _seek(self) -> None:
        """Claim the lease if no holder announces itself and the log does not change; not while stopping."""
        if self._stopping:
            await trio.sleep_forever()
        while self._clock.steady() < self._holder_expected_until:
            await trio.sleep(CHECK_INTERVAL_S)
        await trio.sleep(self._tools.rng.uniform(*SEEK_RANGE_S))
        if self._clock.steady() < self._holder_expected_until:
            return
        read_at = self._clock.steady()
        if await self._log.refresh():
            self._seek_backoff.reset()
            await self._claim_or_wait(read_at)
        else:
            await self._tools.store.pacer.wait_to_retry(self._seek_backoff)

    async def _claim_or_wait(self, read_at: float) -> None:
        answer = self._lease.may_claim(read_at)
        if answer.state is ClaimState.free:
            await self._claim()
            return
        events.log_event(events.DUTY_CLAIM_DEFERRED, state=answer.state.value, wait_ms=whole_ms(answer.wait_s))
        await trio.sleep(answer.wait_s)

    async def _renew(self) -> None:
        outcome = await self._log.append(LEASE_KEY, msgspec.json.encode(self._lease.next_record(self._clock.steady())))
        if outcome is AppendOutcome.taken:
            await trio.sleep(RENEW_S)
            return
        await self._announce_lost()
        await trio.sleep(RENEW_RETRY_S)
        if outcome is AppendOutcome.refused:
            await self._log.refresh()

    async def _claim(self) -> None:
        if self._stopping:
            return
        holding = self._lease.next_record(self._clock.steady())
        unbroken, released = self._lease.unbroken, self._lease.released
        if await self._log.append(LEASE_KEY, msgspec.json.encode(holding), holding) is not AppendOutcome.taken:
            return
        self._reports.take_over(
            self._log.report,
            holding.epoch,
            self._tools.true_time.now(),
            unbroken=unbroken,
            reported=self._lease.reported,
        )
        self._announced_at = 0
        events.log_event(
            events.DUTY_TAKEN,
            fence=holding.fence,
            next_window=self._reports.next_window,
            unbroken=unbroken,
            released=released,
            recent=_logged(holding.recent),
            reported=holding.reported,
        )
        if self._stopping:
            # The claim was sent before this instance began to stop.
            await self.release()

    async def _advance_report(self) -> None:
        pending = self._reports.pending
        if pending is not None:
            return await self._send_report(pending)
        wall_s = self._tools.true_time.now()
        alive = self._tools.peers.members.active_within(INACTIVE_S, trio.current_time())
        missing = self._counters.missing(self._reports.next_window, alive)
        window = self._reports.due_window(wall_s, complete=not missing)
        if window is not None:
            await self._decide(window, missing)
        elif missing and wall_s > self._tools.meter.end_of(self._reports.next_window) + COUNTS_DUE_S:
            await self._request_counts(missing)

    async def _decide(self, window: int, missing: list[str]) -> None:
        """Write the report to the store, so that the next holder sends the same report."""
        counts = self._tools.counts
        self._counters.add(
            Source(counts.instance, counts.incarnation), window, self._tools.meter.counts(window).items()
        )
        total = self._counters.total(window)
        report = Report(window, encode_usage(window, total), self._lease.epoch)
        if await self._log.append(REPORT_KEY, msgspec.json.encode(report)) is AppendOutcome.taken:
            self._reports.on_decided(report)
            self._counters.forget_before(window)
            events.log_event(
                events.USAGE_DECIDED, window=window, requests=sum(total.values()), accounts=len(total), missing=missing
            )
            return
        await trio.sleep(RENEW_RETRY_S)
        if await self._log.refresh() and self._log.report is not None and self._log.report.window == window:
            # The record was accepted, and the answer of the store was lost.
            self._reports.on_decided(self._log.report)

    async def _send_report(self, report: Report) -> None:
        if self._reports.too_late(report.window, self._tools.true_time.now()):
            events.log_event(events.USAGE_REPORT_TOO_LATE, window=report.window)
            self._reports.on_done()
            return
        fence = self._lease.fence
        if fence is None or not self._lease.valid(self._clock.steady() + CALL_TIMEOUT_S):
            return
        status = await self._call(report, fence)
        if status == STATUS_OK:
            self._lease.reported = report.window
            events.log_event(
                events.USAGE_REPORTED, window=report.window, fence=fence, taken_over=self._reports.taken_over
            )
            self._reports.on_done()
        elif status == STATUS_TOO_MANY or status >= FIRST_FAILURE or not status:
            await trio.sleep(CALL_RETRY_S)
        else:
            # Another attempt would get the same answer.
            self._reports.on_done()

    async def _call(self, report: Report, fence: int) -> int:
        """Send a report; the platform may see this instance act until the call has ended."""
        self._lease.note_acted(self._clock.steady())
        try:
            return await self.report_call.send(report, fence)
        finally:
            self._lease.note_acted(self._clock.steady())

    async def _request_counts(self, missing: list[str]) -> None:
        now = self._clock.steady()
        if now - self._requested_at >= COUNTS_RETRY_S:
            self._requested_at = now
            await self._tools.peers.send_to(missing, self._message(held=True, resend=True))

    def _announce_interval_s(self) -> float:
        return max(ANNOUNCE_INTERVAL_S, ANNOUNCE_INTERVAL_PER_PEER_S * self._tools.peers.count())

    async def _announce_held(self) -> None:
        if self._clock.steady() - self._announced_at >= self._announce_interval_s():
            await self._announce(held=True)

    async def _announce_lost(self) -> None:
        """Announce that the lease is lost, so that the peers seek a new holder at once."""
        if not self.held() and self._announced_at:
            await self._announce(held=False)
            self._announced_at = 0

    async def _announce(self, *, held: bool) -> None:
        self._announced_at = self._clock.steady()
        await self._tools.peers.send_to(self._tools.peers.peer_names(), self._message(held=held))

    def _message(self, *, held: bool, resend: bool = False) -> DutyMessage:
        return DutyMessage(self._name, self._lease.fence or 0, held, self._reports.next_window, resend)


def _logged(recent: tuple[Holder, ...] | None) -> list[str] | None:
    """Return the names of holders for a log line; None if they are not known."""
    return None if recent is None else [holder.name for holder in recent]


__all__ = ('Duty', 'DutyTools')
