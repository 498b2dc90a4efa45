"""The duty to report usage: its lease in the store, and the reports of the lease holder."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from sesamepoint_core.duty.lease import Lease
from sesamepoint_core.duty.reports import GATHER_S, Report, Reports, Times
from sesamepoint_core.duty.usage import Source, Tallies
from sesamepoint import events
from sesamepoint.front.duty_log import Appending, DutyLog
from sesamepoint.front.usage_words import DutyWord
from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.duty_calls import encode_usage, report_usage
from sesamepoint.platform.names import LEASE_KEY, REPORT_KEY

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.duty.usage import UsageMeter
    from sesamepoint.front.clocks import Clock, TrueTime
    from sesamepoint.front.peers import Peers
    from sesamepoint.front.settings import DutySettings
    from sesamepoint.front.usage import UsageCounts
    from sesamepoint.front.usage_words import UsageWord
    from sesamepoint.http1.transport import Network
    from sesamepoint.platform.store import StoreClient

# How often the holder renews its lease, and retries a failed renewal, in seconds.
RENEW_S = 0.7
RENEW_AGAIN_S = 0.3
# Added to the least time between two holders before a claim, in seconds: a call
# that the previous holder began in time has ended or broken by then.
CLAIM_MARGIN_S = 0.5
# Timeout of a call that sends a report, in seconds; a call begins only if the
# lease is valid until the timeout.
CALL_S = 0.8
CONNECT_S = 0.4
CALL_AGAIN_S = 0.3
# How often the holder checks for a window to report, in seconds.
LOOK_S = 0.1
# The holder announces itself after this many seconds, or after the second figure
# times the number of instances if that is more: so its announcements take a
# hundredth of a link of 10 Mbit/s.
SAY_EVERY_S = 1.0
SAY_EVERY_PEER_S = 0.01
# After this many missed announcements the peers try to become the holder, each
# after a delay drawn from the range, in seconds.
WORDS_MISSED = 2.5
SEEK_SPAN_S = (0.1, 1.0)
# Range of the random pause before they retry if the store does not answer, in
# seconds.
LOOK_AGAIN_SPAN_S = (1.0, 3.0)
# Range of the random time for which an instance waits for an announcement at its
# start, in seconds.
START_SPAN_S = (1.0, 2.0)
# How often missing counts are requested from peers, in seconds.
ASK_AGAIN_S = 0.5
# A report does not wait for the counts of an instance from which nothing was
# received for this long, in seconds: a failed instance stays on the list beyond the
# time by which a report is due. A live instance sends its counts of each window.
SILENT_S = 8.0
STATUS_OK = 200
STATUS_TOO_MANY = 429
FIRST_FAILURE = 500


class DutyTools(NamedTuple):
    """Parts of the front that the duty uses."""

    peers: Peers
    counts: UsageCounts
    meter: UsageMeter
    store: StoreClient
    network: Network
    clock: Clock
    true_time: TrueTime
    rng: Random


class Duty:
    """Claims the lease of the duty if no instance holds it, and reports usage while it is held."""

    def __init__(self, cfg: DutySettings, tools: DutyTools) -> None:
        """Start without the lease."""
        self._cfg = cfg
        self._tools = tools
        self._name = tools.peers.name
        self._clock = tools.clock
        self._lease = Lease(self._name, cfg.turns_s + CLAIM_MARGIN_S)
        self._reports = Reports(tools.meter, Times(cfg.window_s, cfg.late_s))
        self._tallies = Tallies()
        self._quiet_until = tools.clock.steady() + tools.rng.uniform(*START_SPAN_S)
        self._log = DutyLog(self._lease, tools.store, tools.clock)
        # Held during each step of a report, so that the duty is released only between two steps.
        self._acting = trio.Lock()
        self._said_at: float = 0
        self._asked_at: float = 0

    def held(self) -> bool:
        """Tell whether this instance holds a valid lease."""
        return self._lease.valid(self._clock.steady())

    def heard_holder(self, word: DutyWord) -> None:
        """Handle an announcement of a holder."""
        self._tools.counts.heard(word)
        now = self._clock.steady()
        self._quiet_until = now + WORDS_MISSED * self._say_every_s() if word.held else now

    def heard_usage(self, word: UsageWord) -> None:
        """Handle usage counts from a peer."""
        if word.window < self._reports.next_window:
            return
        source = Source(word.entry, word.start)
        self._tallies.add(source, word.window, word.tallies)
        if word.closed:
            self._tallies.close(source, word.window, word.part, word.parts)

    async def hold(self) -> None:
        """Renew the lease, or claim it if no other instance holds it, until cancelled."""
        while True:
            if self._lease.fence is None:
                await self._seek()
            else:
                await self._renew()

    async def report(self) -> None:
        """Report each window when it is due while the lease is held, until cancelled."""
        while True:
            await trio.sleep(LOOK_S)
            async with self._acting:
                if self.held():
                    await self._say_held()
                    await self._step()

    async def give_back(self) -> None:
        """Release the lease, so that a peer can claim it at once; this instance is about to stop."""
        async with self._acting:
            if self._lease.fence is not None:
                holding = msgspec.structs.replace(self._lease.next_holding(), holder='')
                await self._log.append(LEASE_KEY, msgspec.json.encode(holding))
                self._lease.lose()
                await self._say(held=False)

    async def _seek(self) -> None:
        """Claim the lease if no holder announces itself and the log does not change."""
        while self._clock.steady() < self._quiet_until:
            await trio.sleep(LOOK_S)
        await trio.sleep(self._tools.rng.uniform(*SEEK_SPAN_S))
        if self._clock.steady() < self._quiet_until:
            return
        read_at = self._clock.steady()
        if await self._log.look():
            await self._claim_or_wait(read_at)
        else:
            # All instances retry at the same time; the holder renews its lease before that.
            await trio.sleep(self._tools.rng.uniform(*LOOK_AGAIN_SPAN_S))

    async def _claim_or_wait(self, read_at: float) -> None:
        if self._lease.may_claim(read_at):
            await self._claim()
        else:
            await trio.sleep(self._cfg.turns_s + CLAIM_MARGIN_S)

    async def _renew(self) -> None:
        outcome = await self._log.append(LEASE_KEY, msgspec.json.encode(self._lease.next_holding()))
        if outcome is Appending.taken:
            await trio.sleep(RENEW_S)
            return
        await self._say_left()
        await trio.sleep(RENEW_AGAIN_S)
        if outcome is Appending.refused:
            await self._log.look()

    async def _claim(self) -> None:
        holding = self._lease.next_holding()
        unbroken = self._lease.unbroken
        if await self._log.append(LEASE_KEY, msgspec.json.encode(holding), holding) is not Appending.taken:
            return
        self._reports.begin(self._log.report, holding.era, self._tools.true_time.now(), unbroken=unbroken)
        self._said_at = 0
        events.log_event(
            events.DUTY_TAKEN, fence=holding.fence, next_window=self._reports.next_window, unbroken=unbroken
        )

    async def _step(self) -> None:
        pending = self._reports.pending
        if pending is not None:
            return await self._send(pending)
        wall_s = self._tools.true_time.now()
        alive = self._tools.peers.members.heard_within(SILENT_S, trio.current_time())
        missing = self._tallies.missing(self._reports.next_window, alive)
        window = self._reports.ready(wall_s, whole=not missing)
        if window is not None:
            await self._decide(window, missing)
        elif missing and wall_s > self._tools.meter.end_of(self._reports.next_window) + GATHER_S:
            await self._ask(missing)

    async def _decide(self, window: int, missing: list[str]) -> None:
        """Write the report to the store, so that the next holder sends the same report."""
        counts = self._tools.counts
        self._tallies.add(Source(counts.entry, counts.start), window, self._tools.meter.counts(window).items())
        total = self._tallies.total(window)
        report = Report(window, encode_usage(window, total), self._lease.era)
        if await self._log.append(REPORT_KEY, msgspec.json.encode(report)) is Appending.taken:
            self._reports.decided(report)
            self._tallies.forget_before(window)
            events.log_event(
                events.USAGE_DECIDED, window=window, requests=sum(total.values()), accounts=len(total), missing=missing
            )
            return
        await trio.sleep(RENEW_AGAIN_S)
        if await self._log.look() and self._log.report is not None and self._log.report.window == window:
            # The record was accepted, and the answer of the store was lost.
            self._reports.decided(self._log.report)

    async def _send(self, report: Report) -> None:
        if self._reports.too_late(report.window, self._tools.true_time.now()):
            events.log_event(events.USAGE_MISSED, window=report.window)
            self._reports.done()
            return
        fence = self._lease.fence
        if fence is None or not self._lease.valid(self._clock.steady() + CALL_S):
            return
        status = await self._try_post(report, fence)
        if status == STATUS_OK:
            events.log_event(events.USAGE_REPORTED, window=report.window, fence=fence)
            self._reports.done()
        elif status == STATUS_TOO_MANY or status >= FIRST_FAILURE or not status:
            await trio.sleep(CALL_AGAIN_S)
        else:
            # Another attempt would get the same answer.
            self._reports.done()

    async def _try_post(self, report: Report, fence: int) -> int:
        """Send a report and return the status code of the response; 0 if there was none in time."""
        status = 0
        try:
            with trio.fail_after(CALL_S):
                status = await self._post(report, fence)
        except (ConnectFailedError, ConnBrokenError, trio.TooSlowError) as exc:
            events.log_event(events.USAGE_UNREPORTED, window=report.window, fence=fence, cause=repr(exc))
        if status not in {0, STATUS_OK}:
            events.log_event(events.USAGE_UNREPORTED, window=report.window, fence=fence, cause=f'status {status}')
        return status

    async def _post(self, report: Report, fence: int) -> int:
        conn = ClientConn(await self._tools.network.connect(self._cfg.address, CONNECT_S))
        try:
            return await report_usage(conn, self._cfg.address, self._name, fence, report.body)
        finally:
            conn.close()

    async def _ask(self, missing: list[str]) -> None:
        now = self._clock.steady()
        if now - self._asked_at >= ASK_AGAIN_S:
            self._asked_at = now
            await self._tools.peers.tell_to(missing, self._word(held=True, again=True))

    def _say_every_s(self) -> float:
        return max(SAY_EVERY_S, SAY_EVERY_PEER_S * self._tools.peers.count())

    async def _say_held(self) -> None:
        if self._clock.steady() - self._said_at >= self._say_every_s():
            await self._say(held=True)

    async def _say_left(self) -> None:
        """Announce that the lease is lost, so that the peers seek a new holder at once."""
        if not self.held() and self._said_at:
            await self._say(held=False)
            self._said_at = 0

    async def _say(self, *, held: bool) -> None:
        self._said_at = self._clock.steady()
        await self._tools.peers.tell_to(self._tools.peers.others(), self._word(held=held))

    def _word(self, *, held: bool, again: bool = False) -> DutyWord:
        return DutyWord(self._name, self._lease.fence or 0, held, self._reports.next_window, again)


__all__ = ('Duty', 'DutyTools')
