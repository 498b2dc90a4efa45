"""Open connections of this process, within its limit on descriptors."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sesamepoint_core.instance_room.limits import InstanceLimits

    CloseIdle = Callable[[int], int]

# Idle connections that are closed together, so that not each new connection has to look for one.
CLOSE_AT_ONCE = 16


class ConnectionRoom:
    """Counts open connections; near the limit closes idle ones, then refuses new ones."""

    def __init__(self, limits: InstanceLimits) -> None:
        """Start without connections."""
        self.callers = 0
        self.others = 0
        self.refused = 0
        # Each closes up to a number of idle connections and returns how many.
        self.close_idle_outgoing: CloseIdle = _close_none
        self.close_idle_callers: CloseIdle = _close_none
        self.resize(limits)

    def resize(self, limits: InstanceLimits) -> None:
        """Apply changed limits."""
        self._max_connections = limits.connections
        self._max_callers = limits.caller_connections

    def count(self) -> float:
        """Return the number of open connections."""
        return self.callers + self.others

    def admit_caller(self) -> bool:
        """Return whether a new connection of a caller fits."""
        if self.callers >= self._max_callers:
            return self._make_room('caller', self.close_idle_callers)
        return self.count() < self._max_connections or self._make_room(
            'caller', self.close_idle_outgoing, self.close_idle_callers
        )

    @contextmanager
    def caller_connection(self) -> Iterator[None]:
        """Count a connection of a caller while it is open."""
        self.callers += 1
        try:
            yield
        finally:
            self.callers -= 1

    def admit_outgoing(self) -> bool:
        """Return whether a new connection to a runner, the store or a peer fits."""
        return self.count() < self._max_connections or self._make_room(
            'outgoing', self.close_idle_outgoing, self.close_idle_callers
        )

    def _make_room(self, kind: str, *closers: CloseIdle) -> bool:
        closed = 0
        for close_idle in closers:
            closed = closed or close_idle(CLOSE_AT_ONCE)
        if not closed:
            self.refused += 1
        events.log_event(
            events.CONNECTION_LIMIT_REACHED,
            kind=kind,
            callers=self.callers,
            others=self.others,
            limit=self._max_connections,
            closed_idle=closed,
        )
        return closed > 0


def _close_none(_: int) -> int:
    return 0


__all__ = ('ConnectionRoom',)
