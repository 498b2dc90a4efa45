"""Counting what accounts use here, and telling the holder of the duty."""

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

# How often it is looked whether there is something to tell, in seconds.
LOOK_S = 0.1
# Counts of a window that has ended are told after a moment drawn from this span,
# in seconds, so that not all tell at once.
CLOSE_SPAN_S = (0.02, 0.3)
# Counts of the window under way are told after so many seconds, and so many for
# each other entry: that much of its counts a killed instance takes with it, and
# the holder takes in some forty such words a second.
TELL_EVERY_S = 0.5
TELL_EVERY_PEER_S = 0.025
# Two starts of an entry have the same number once in 10^14 times.
START_BITS = 48
# Ended windows that the holder may still want.
WANTED = 4


class UsageCounts:
    """Counts requests by account and window as runners begin to run them."""

    def __init__(self, meter: UsageMeter, true_time: TrueTime, clock: Clock, peers: Peers, rng: Random) -> None:
        """Count with ``meter``; ``peers`` take words to the holder."""
        self.entry = peers.name
        # Tells this start of the entry from others.
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

        Of a stream the first event shows it. Plain services answer when they
        are through, some 50 ms after they have begun, and they mostly do so as
        the request comes to them.
        """
        account = job.standing.account
        if account is None:
            return
        now = trio.current_time()
        began = now if job.route.streamed else job.notes.sent_at
        self._meter.count(account.name, self._true_time.at(self._clock.steady() - (now - began)))

    def heard(self, word: DutyWord) -> None:
        """Take a word of the holder: a new one, or one that asks again, is told everything."""
        before = self._holder
        if before is None or word.again or word.fence != before.fence:
            self._told.clear()
            self._open_told = {}
        self._holder = word if word.held else None

    async def run(self) -> None:
        """Tell the holder what is counted here, until cancelled."""
        told_at = self._clock.steady()
        while True:
            await trio.sleep(LOOK_S)
            window = self._meter.window_at(self._true_time.now())
            await self._tell_ended(window)
            period_s = TELL_EVERY_S + TELL_EVERY_PEER_S * self._peers.count()
            if self._clock.steady() - told_at >= period_s:
                told_at = self._clock.steady()
                await self._tell_open(window)

    async def tell_last(self) -> None:
        """Tell what was counted up to now: this instance is about to stop."""
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
        self._told = {one for one in self._told if one >= window - WANTED}

    async def _tell_open(self, window: int) -> None:
        counts = dict(self._meter.counts(window))
        if self._holder is not None and counts != self._open_told:
            self._open_told = counts
            await self._tell(self._holder.entry, window, closed=False)

    async def _tell(self, holder: str, window: int, *, closed: bool) -> None:
        counted = Counted(self.entry, self.start, window, closed)
        for word in usage_words(counted, self._meter.counts(window)):
            await self._peers.tell_to([holder], word)


__all__ = ('UsageCounts',)
