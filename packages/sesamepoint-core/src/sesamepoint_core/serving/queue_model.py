"""How much work a runner still has, from what all entries sent to it."""

from __future__ import annotations


class QueueModel:
    """A runner's backlog of prompt work as the time at which it is free.

    Each entry adds what it sends and what its peers tell that they sent. The
    backlog drains by itself as time passes, so word from a peer that has
    fallen silent is never counted for longer than the work takes.
    """

    def __init__(self) -> None:
        """Start idle."""
        self._free_at: float = 0

    def wait_s(self, now: float) -> float:
        """Return the seconds until work that comes now would begin."""
        return max(self._free_at - now, 0)

    def add(self, now: float, work_s: float) -> None:
        """Count ``work_s`` seconds of work that begin when it is free."""
        self._free_at = max(self._free_at, now) + work_s

    def correct(self, now: float, by_s: float) -> None:
        """Shift the backlog after an answer came later or sooner."""
        self._free_at = max(self._free_at + by_s, now)


__all__ = ('QueueModel',)
