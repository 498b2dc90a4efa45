"""Usage counts of accounts at this instance, sent to the holder of the duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.front.accounts.usage_messages import WindowHeader, split_counts

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.duty.usage import UsageMeter
    from sesamepoint.front.clocks import Clock, SmoothedTime
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.accounts.usage_messages import DutyMessage

# How often to check for counts to send, in seconds.
CHECK_INTERVAL_S = 0.1
# Range of the random delay before counts of an ended window are sent, in seconds,
# so that not all instances send at once.
CLOSE_DELAY_RANGE_S = (0.02, 0.3)
# Interval at which counts of the current window are sent, in seconds: the first
# figure, plus the second one for each instance. The counts of one interval are
# lost if an instance is killed; the holder receives some forty such messages per
# second.
SEND_INTERVAL_S = 0.5
SEND_INTERVAL_PER_PEER_S = 0.025
# Two incarnations of an instance get the same number once in 10^14 times.
INCARNATION_BITS = 48
# Number of ended windows whose counts the holder may still need.
MAX_ENDED_WINDOWS = 4


class UsageCounts:
    """Counts requests by account and window as runners begin to run them."""

    def __init__(self, meter: UsageMeter, true_time: SmoothedTime, clock: Clock, peers: Peers, rng: Random) -> None:
        """Count with ``meter``; send the counts to the holder through ``peers``."""
        self.instance = peers.name
        # Distinguishes this incarnation of the instance from others.
        self.incarnation = rng.getrandbits(INCARNATION_BITS)
        self._meter = meter
        self._true_time = true_time
        self._clock = clock
        self._peers = peers
        self._rng = rng
        self._holder: DutyMessage | None = None
        self._sent_windows: set[int] = set()
        self._open_sent: dict[str, int] = {}

    def note_run(self, job: Job) -> None:
        """Count a request that a runner has begun to run.

        A stream shows this by its first event. Other services answer only when
        they have finished, some 50 ms after they began; they mostly begin when
        the request arrives, so the time at which it was sent counts.
        """
        account = job.access.account
        if account is None:
            return
        now = trio.current_time()
        began = now if job.route.streamed else job.trace.sent_at
        self._meter.count(account.name, self._true_time.at(self._clock.steady() - (now - began)))

    def on_duty_message(self, message: DutyMessage) -> None:
        """Handle an announcement of the holder; send all counts again to a new one, or if it requests them."""
        previous = self._holder
        if previous is None or message.resend or message.fence != previous.fence:
            self._sent_windows.clear()
            self._open_sent = {}
        self._holder = message if message.held else None

    async def send_counts(self) -> None:
        """Send the counts of this instance to the holder, until cancelled."""
        sent_at = self._clock.steady()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            window = self._meter.window_at(self._true_time.now())
            await self._send_ended(window)
            period_s = SEND_INTERVAL_S + SEND_INTERVAL_PER_PEER_S * self._peers.count()
            if self._clock.steady() - sent_at >= period_s:
                sent_at = self._clock.steady()
                await self._send_open(window)

    async def send_final(self) -> None:
        """Send the counts of the current window; this instance is about to stop."""
        await self._send_open(self._meter.window_at(self._true_time.now()))

    async def _send_ended(self, window: int) -> None:
        holder = self._holder
        if holder is None:
            return
        for ended in range(max(holder.first_window, window - MAX_ENDED_WINDOWS), window):
            if ended not in self._sent_windows:
                self._sent_windows.add(ended)
                await trio.sleep(self._rng.uniform(*CLOSE_DELAY_RANGE_S))
                await self._send_window(holder.entry, ended, closed=True)
        self._sent_windows = {sent for sent in self._sent_windows if sent >= window - MAX_ENDED_WINDOWS}

    async def _send_open(self, window: int) -> None:
        counts = dict(self._meter.counts(window))
        if self._holder is not None and counts != self._open_sent:
            self._open_sent = counts
            await self._send_window(self._holder.entry, window, closed=False)

    async def _send_window(self, holder: str, window: int, *, closed: bool) -> None:
        header = WindowHeader(self.instance, self.incarnation, window, closed)
        for message in split_counts(header, self._meter.counts(window)):
            await self._peers.send_to([holder], message)


__all__ = ('UsageCounts',)
