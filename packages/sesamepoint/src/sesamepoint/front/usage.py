"""Usage counts of accounts at this instance, sent to the holder of the duty."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.front.usage_words import Counted, usage_words

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.duty.usage import UsageMeter
    from sesamepoint.front.clocks import Clock, TrueTime
    from sesamepoint.front.job import Job
    from sesamepoint.front.peers import Peers
    from sesamepoint.front.usage_words import DutyWord

# How often to check for counts to send, in seconds.
LOOK_S = 0.1
# Range of the random delay before counts of an ended window are sent, in seconds,
# so that not all instances send at once.
CLOSE_SPAN_S = (0.02, 0.3)
# Interval at which counts of the current window are sent, in seconds: the first
# figure, plus the second one for each instance. The counts of one interval are
# lost if an instance is killed; the holder receives some forty such messages per
# second.
TELL_EVERY_S = 0.5
TELL_EVERY_PEER_S = 0.025
# Two incarnations of an instance get the same number once in 10^14 times.
START_BITS = 48
# Number of ended windows whose counts the holder may still need.
WANTED = 4


class UsageCounts:
    """Counts requests by account and window as runners begin to run them."""

    def __init__(self, meter: UsageMeter, true_time: TrueTime, clock: Clock, peers: Peers, rng: Random) -> None:
        """Count with ``meter``; send the counts to the holder through ``peers``."""
        self.entry = peers.name
        # Distinguishes this incarnation of the instance from others.
        self.start = rng.getrandbits(START_BITS)
        self._meter = meter
        self._true_time = true_time
        self._clock = clock
        self._peers = peers
        self._rng = rng
        self._holder: DutyWord | None = None
        self._told: set[int] = set()
        self._open_told: dict[str, int] = {}

    def note_run(self, job: Job) -> None:
        """Count a request that a runner has begun to run.

        A stream shows this by its first event. Other services answer only when
        they have finished, some 50 ms after they began; they mostly begin when
        the request arrives, so the time at which it was sent counts.
        """
        account = job.standing.account
        if account is None:
            return
        now = trio.current_time()
        began = now if job.route.streamed else job.notes.sent_at
        self._meter.count(account.name, self._true_time.at(self._clock.steady() - (now - began)))

    def heard(self, word: DutyWord) -> None:
        """Handle an announcement of the holder; send all counts again to a new one, or if it requests them."""
        previous = self._holder
        if previous is None or word.again or word.fence != previous.fence:
            self._told.clear()
            self._open_told = {}
        self._holder = word if word.held else None

    async def run(self) -> None:
        """Send the counts of this instance to the holder, until cancelled."""
        sent_at = self._clock.steady()
        while True:
            await trio.sleep(LOOK_S)
            window = self._meter.window_at(self._true_time.now())
            await self._tell_ended(window)
            period_s = TELL_EVERY_S + TELL_EVERY_PEER_S * self._peers.count()
            if self._clock.steady() - sent_at >= period_s:
                sent_at = self._clock.steady()
                await self._tell_open(window)

    async def tell_last(self) -> None:
        """Send the counts of the current window; this instance is about to stop."""
        await self._tell_open(self._meter.window_at(self._true_time.now()))

    async def _tell_ended(self, window: int) -> None:
        holder = self._holder
        if holder is None:
            return
        for ended in range(max(holder.wanted, window - WANTED), window):
            if ended not in self._told:
                self._told.add(ended)
                await trio.sleep(self._rng.uniform(*CLOSE_SPAN_S))
                await self._tell(holder.entry, ended, closed=True)
        self._told = {sent for sent in self._told if sent >= window - WANTED}

    async def _tell_open(self, window: int) -> None:
        counts = dict(self._meter.counts(window))
        if self._holder is not None and counts != self._open_told:
            self._open_told = counts
            await self._tell(self._holder.entry, window, closed=False)

    async def _tell(self, holder: str, window: int, *, closed: bool) -> None:
        header = Counted(self.entry, self.start, window, closed)
        for message in usage_words(header, self._meter.counts(window)):
            await self._peers.tell_to([holder], message)


__all__ = ('UsageCounts',)
