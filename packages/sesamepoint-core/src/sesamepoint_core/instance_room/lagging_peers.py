"""Share of the other instances that lag, estimated from their reports."""

from __future__ import annotations

from collections import deque

# A lagging instance reports at this interval, to some of its peers in turn. Each instance then gets as many reports
# in an interval as there are lagging instances among that many of its peers, whatever the number of instances.
REPORT_INTERVAL_S = 0.5
REPORT_PEERS = 8
WINDOW_INTERVALS = 2
# Largest share of lagging peers with which a request is still refused. A refusal costs the processor half of what
# serving costs, and the retry comes back to an instance that lags as well in this share of cases.
MAX_LAGGING_SHARE = 0.2


class LaggingPeers:
    """Reports of lagging peers in the last intervals."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reported_at: deque[float] = deque()

    def note_report(self, now: float) -> None:
        """Record that a peer reported that it lags."""
        self._reported_at.append(now)
        self._drop_old(now)

    def share(self, peers: int, now: float) -> float:
        """Return the estimated share of ``peers`` peers that lag; 1 without peers, since none can take a request."""
        if not peers:
            return 1
        self._drop_old(now)
        return len(self._reported_at) / (WINDOW_INTERVALS * min(REPORT_PEERS, peers))

    def others_have_room(self, peers: int, now: float) -> bool:
        """Return whether a refused request probably finds an instance that does not lag."""
        return self.share(peers, now) <= MAX_LAGGING_SHARE

    def _drop_old(self, now: float) -> None:
        while self._reported_at and self._reported_at[0] < now - WINDOW_INTERVALS * REPORT_INTERVAL_S:
            self._reported_at.popleft()


def report_recipients(peers: list[str], turn: int) -> list[str]:
    """Return the peers that get the report number ``turn`` of this instance."""
    if len(peers) <= REPORT_PEERS:
        return peers
    first = turn * REPORT_PEERS % len(peers)
    return [*peers[first:], *peers[:first]][:REPORT_PEERS]


__all__ = ('REPORT_INTERVAL_S', 'LaggingPeers', 'report_recipients')
