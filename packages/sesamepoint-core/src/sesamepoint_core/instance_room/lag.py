"""Standing lag of an instance, from late wake-ups and from the time of requests until their first send."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Time over which late wake-ups are averaged, and for which nothing need be known before a lag is forgotten.
INTERVAL_S = 0.4
# Delays are averaged over slots of this length: the loop runs the tasks of a pass in random order, so that single
# requests of a lagging process are fast.
SLOT_S = 0.1
# All of this many slots must be late. One long step of the loop makes the requests of one slot late, or of two.
MIN_SLOTS = 4
# Shorter delays are those of a loop that keeps up with its work.
FLOOR_S = 0.02


class _Sample(NamedTuple):
    at: float
    delay_s: float


class _Slot(NamedTuple):
    number: int
    sum_s: float
    samples: int

    @property
    def mean_s(self) -> float:
        return self.sum_s / self.samples


class StandingDelay:
    """The least mean delay of the latest slots that have samples."""

    def __init__(self) -> None:
        """Start without samples."""
        self._last_at: float = 0
        self._slots: deque[_Slot] = deque(maxlen=MIN_SLOTS)

    def note(self, delay_s: float, now: float) -> None:
        """Record a delay that was measured at ``now``."""
        if now - self._last_at > self._memory_s():
            self._slots.clear()
        self._last_at = now
        number = int(now / SLOT_S)
        slot = _Slot(number, 0, 0)
        if self._slots and self._slots[-1].number == number:
            slot = self._slots.pop()
        self._slots.append(_Slot(number, slot.sum_s + delay_s, slot.samples + 1))

    def standing_s(self, now: float) -> float:
        """Return the standing delay in seconds; 0 if there is none, or too little is known."""
        if len(self._slots) < MIN_SLOTS or now - self._last_at > self._memory_s():
            return 0
        least_s = min(slot.mean_s for slot in self._slots)
        return least_s if least_s >= FLOOR_S else 0

    def _memory_s(self) -> float:
        """Return for how long the samples tell something: a lagging process gives few."""
        latest_s = self._slots[-1].mean_s if self._slots else 0
        return INTERVAL_S + 2 * latest_s


class LagMeter:
    """Lag of one process.

    Both signs must agree. Requests that wait for a runner are late without any
    lag of the process; and a loop of which each pass is long serves requests in
    time if each needs few passes.
    """

    def __init__(self) -> None:
        """Start without lag."""
        self._wake_ups: deque[_Sample] = deque()
        self._sojourn = StandingDelay()

    def note_wake_up(self, late_s: float, now: float) -> None:
        """Record how late the loop woke a task up."""
        self._wake_ups.append(_Sample(now, late_s))
        while self._wake_ups[0].at < now - INTERVAL_S:
            self._wake_ups.popleft()

    def note_sojourn(self, sojourn_s: float, now: float) -> None:
        """Record how long a request took from its last byte to its first send."""
        self._sojourn.note(sojourn_s, now)

    def loop_lag_s(self) -> float:
        """Return the mean lateness of the wake-ups in the last interval, in seconds."""
        if not self._wake_ups:
            return 0
        return sum(one.delay_s for one in self._wake_ups) / len(self._wake_ups)

    def lag_s(self, now: float) -> float:
        """Return how long a request that is read now takes until its first send because of this process."""
        return self._sojourn.standing_s(now) if self.loop_lag_s() >= FLOOR_S else 0


__all__ = ('LagMeter', 'StandingDelay')
