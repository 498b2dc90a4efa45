"""Work queued at the instances until an engine is free for it."""

from __future__ import annotations

import enum
from typing import NamedTuple

import trio

# A peer's report of its queued work is valid for this long, in seconds. Instances with
# queued work report it every 50 ms; one that has died must not be counted.
REPORT_TTL_S = 0.5


class Need(enum.Enum):
    """Engine resource that a queued request waits for."""

    prefill = 'prefill'
    decode = 'decode'
    slot = 'slot'


class QueueKey(NamedTuple):
    """Identity of a queue: requests of one service that wait for the same resource."""

    service: str
    need: Need


class QueuedWork(NamedTuple):
    """Work that one instance has in one queue, of routes with one target.

    Parameters
    ----------
    target_s
        Seconds after which an answer is late.
    """

    queue: QueueKey
    target_s: float
    # Requests that can still be on time, and the engine seconds that they take.
    timely_requests: int
    timely_work_s: float
    # Engine seconds that the late requests take.
    late_work_s: float = 0
    # The part of these that belongs to accounts above their shares.
    above_timely_requests: int = 0
    above_timely_work_s: float = 0
    above_late_work_s: float = 0

    def within_shares(self) -> QueuedWork:
        """Return the work without that of accounts above their shares."""
        return self._replace(
            timely_requests=self.timely_requests - self.above_timely_requests,
            timely_work_s=self.timely_work_s - self.above_timely_work_s,
            late_work_s=self.late_work_s - self.above_late_work_s,
        )


class _PeerReport(NamedTuple):
    received_at: float
    queued: tuple[QueuedWork, ...]


class Backlog:
    """Queued work of each queue, here and at peers."""

    def __init__(self) -> None:
        """Start with empty queues."""
        self.own: tuple[QueuedWork, ...] = ()
        self._peers: dict[str, _PeerReport] = {}

    def update_peer(self, instance_id: str, queued: tuple[QueuedWork, ...]) -> None:
        """Replace the report of a peer on its queued work."""
        self._peers[instance_id] = _PeerReport(trio.current_time(), queued)

    def forget_peer(self, instance_id: str) -> None:
        """Drop the report of a peer that has left."""
        self._peers.pop(instance_id, None)

    def count_requests(self, queue: QueueKey, share: float = 1) -> float:
        """Return how many requests in a queue can be on time; those at peers count by ``share``."""
        own = sum(work.timely_requests for work in self.own if work.queue == queue)
        return own + share * sum(work.timely_requests for work in self.at_peers(queue))

    def count_within_shares(self, queue: QueueKey) -> float:
        """Return how many requests in a queue can be on time, without those of accounts above their shares."""
        works = (*(work for work in self.own if work.queue == queue), *self.at_peers(queue))
        return sum(work.within_shares().timely_requests for work in works)

    def at_peers(self, queue: QueueKey) -> list[QueuedWork]:
        """Return the work that peers have in a queue, by their valid reports."""
        oldest = trio.current_time() - REPORT_TTL_S
        valid = (report.queued for report in self._peers.values() if report.received_at >= oldest)
        return [work for reported in valid for work in reported if work.queue == queue]


__all__ = ('Backlog', 'Need', 'QueueKey', 'QueuedWork')
