"""Decision whether a new connection is closed before anything is read from it.

The platform may hand most new connections of a region to one instance. A request that is read there
must be served, however late; a caller whose connection is closed unread tries another
instance at once.
"""

from __future__ import annotations

import math

# The rate of new connections is averaged over this time, in seconds, and compared with that over the longer one.
RECENT_S = 1.0
USUAL_S = 30.0
# Longer times without a connection don't lower the usual rate: traffic that begins is no excess.
MAX_GAP_S = 1.0
# Connections arrive in excess if they come this many times as often as usual, and at least this often a second: below
# it, chance alone doubles the rate.
EXCESS_FACTOR = 2.0
MIN_EXCESS_PER_S = 5.0
# Weight of connections in excess in the usual rate: some seconds of them must not become usual, minutes may.
EXCESS_WEIGHT = 0.1
# Share of the shortest target latency from which on the lag of the loop makes answers late.
MIN_LAG_SHARE = 0.25


class DecayingRate:
    """Events a second, averaged over the last ``span_s`` seconds in which there were any."""

    def __init__(self, span_s: float) -> None:
        """Start without events."""
        self._span_s = span_s
        self._sum: float = 0
        # Seconds in the sum, with the same weights.
        self._covered_s: float = 0
        self._at = -math.inf

    def note(self, now: float, weight: float = 1) -> None:
        """Count an event; with a ``weight`` below 1 it and the time since the last one count for less."""
        elapsed_s = weight * min(now - self._at, MAX_GAP_S)
        kept = math.exp(-elapsed_s / self._span_s)
        self._sum = self._sum * kept + weight
        self._covered_s = self._covered_s * kept + elapsed_s
        self._at = now

    def per_s(self) -> float:
        """Return the rate at the latest event; 0 without one."""
        return self._sum / self._covered_s if self._covered_s else 0


class ConnectionShedding:
    """Closes new connections unread while they arrive in excess and make this process late."""

    def __init__(self) -> None:
        """Start without connections."""
        self._latest_at = -math.inf
        self._recent = DecayingRate(RECENT_S)
        self._usual = DecayingRate(USUAL_S)

    def note_connection(self, now: float) -> None:
        """Count a new connection."""
        self._latest_at = now
        self._recent.note(now)
        self._usual.note(now, EXCESS_WEIGHT if self.in_excess(now) else 1)

    def in_excess(self, now: float) -> bool:
        """Return whether new connections arrive far more often than usual."""
        if now - self._latest_at > RECENT_S:
            return False
        return self._recent.per_s() >= max(EXCESS_FACTOR * self._usual.per_s(), MIN_EXCESS_PER_S)

    def sheds(self, loop_lag_s: float, target_s: float, now: float) -> bool:
        """Return whether to close a new connection, as far as this process is concerned.

        Parameters
        ----------
        loop_lag_s
            Mean lateness of the loop, in seconds: it rises with each request that is read.
        target_s
            Shortest target latency of the routes, in seconds.
        """
        return loop_lag_s >= MIN_LAG_SHARE * target_s and self.in_excess(now)


__all__ = ('MIN_EXCESS_PER_S', 'RECENT_S', 'USUAL_S', 'ConnectionShedding', 'DecayingRate')
