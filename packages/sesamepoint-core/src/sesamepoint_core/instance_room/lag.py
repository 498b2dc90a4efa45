"""Standing lag of an instance, from late wake-ups and from the time of requests until their first send."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Time for which a delay must stand before it counts as overload. One long step of the loop makes the requests
# of that moment late, and no others.
INTERVAL_S = 0.2
# Shorter delays are those of a loop that keeps up with its work.
FLOOR_S = 0.02


class _Sample(NamedTuple):
    at: float
    delay_s: float


class StandingDelay:
    """The least delay of an interval, once all delays of an interval were above the floor."""

    def __init__(self) -> None:
        """Start without samples."""
        self._since: float | None = None
        self._last_at: float = 0
        # Delays in rising order, each the least of all that came after the one before it.
        self._least: deque[_Sample] = deque()

    def note(self, delay_s: float, now: float) -> None:
        """Record a delay that was measured at ``now``."""
        if delay_s < FLOOR_S:
            self._since = None
            self._least.clear()
            return
        if self._since is None or now - self._last_at > INTERVAL_S + delay_s:
            self._since = now
            self._least.clear()
        self._last_at = now
        while self._least and self._least[-1].delay_s >= delay_s:
            self._least.pop()
        self._least.append(_Sample(now, delay_s))
        while self._least[0].at < now - INTERVAL_S:
            self._least.popleft()

    def standing_s(self, now: float) -> float:
        """Return the standing delay in seconds; 0 if there is none."""
        if self._since is None or self._last_at - self._since < INTERVAL_S:
            return 0
        least_s = self._least[0].delay_s
        # Without samples for an interval, nothing is known of the present any more.
        return least_s if now - self._last_at <= INTERVAL_S + least_s else 0


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
        """Return how long a request that arrives now takes until its first send because of this process."""
        return self._sojourn.standing_s(now) if self.loop_lag_s() >= FLOOR_S else 0


__all__ = ('LagMeter', 'StandingDelay')
