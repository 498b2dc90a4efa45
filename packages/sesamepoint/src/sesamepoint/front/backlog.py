"""Work queued at the instances until an engine is free for it."""

from __future__ import annotations

import enum
from typing import NamedTuple

import trio

# A peer's report of its queued work is valid for this long, in seconds. Instances with
# queued work report it every 50 ms; one that has died must not be counted.
BELIEVED_S = 0.5


class Need(enum.Enum):
    """Engine resource that a queued request waits for."""

    prefill = 'prefill'
    decode = 'decode'
    slot = 'slot'


class Line(NamedTuple):
    """Identity of a queue: requests of one service that wait for the same resource."""

    service: str
    need: Need


class Held(NamedTuple):
    """Work that one instance has in one queue, of routes with one target.

    Parameters
    ----------
    target_s
        Seconds after which an answer is late.
    """

    line: Line
    target_s: float
    # Requests that can still be on time, and the engine seconds that they take.
    requests: int
    work_s: float
    # Engine seconds that the late requests take.
    late_s: float = 0


class _Told(NamedTuple):
    at: float
    held: tuple[Held, ...]


class Backlog:
    """Queued work of each queue, here and at peers."""

    def __init__(self) -> None:
        """Start with empty queues."""
        self.own: tuple[Held, ...] = ()
        self._peers: dict[str, _Told] = {}

    def heard(self, entry: str, held: tuple[Held, ...]) -> None:
        """Replace the report of a peer on its queued work."""
        self._peers[entry] = _Told(trio.current_time(), held)

    def forget(self, entry: str) -> None:
        """Drop the report of a peer that has left."""
        self._peers.pop(entry, None)

    def requests(self, line: Line, share: float = 1) -> float:
        """Return how many requests in a queue can be on time; those at peers count by ``share``."""
        own = sum(work.requests for work in self.own if work.line == line)
        return own + share * sum(work.requests for work in self.at_peers(line))

    def at_peers(self, line: Line) -> list[Held]:
        """Return the work that peers have in a queue, by their valid reports."""
        oldest = trio.current_time() - BELIEVED_S
        valid = (report.held for report in self._peers.values() if report.at >= oldest)
        return [work for reported in valid for work in reported if work.line == line]


__all__ = ('Backlog', 'Held', 'Line', 'Need')
