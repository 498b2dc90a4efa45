"""The room of this instance: memory, connections and lag, with their tasks and gauges."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.front.instance_room.connection_room import ConnectionRoom
from sesamepoint.front.instance_room.lag_admission import LagAdmission
from sesamepoint.front.instance_room.memory_room import MemoryRoom
from sesamepoint.front.instance_room.room_network import RoomNetwork
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.http1.transport import Network

    AddGauge = Callable[[str, str, Callable[[], float]], None]


class InstanceRoom:
    """Keeps one process within the limits of its settings."""

    def __init__(self, cfg: FrontSettings, network: Network) -> None:
        """Count the connections that are opened over ``network``; use :attr:`network` in its place."""
        self.memory = MemoryRoom(cfg.limits)
        self.connections = ConnectionRoom(cfg.limits)
        self.network = RoomNetwork(network, self.connections, self.memory)
        self.lag = LagAdmission(self.network, lambda: self._link_bytes_s)
        self._link_bytes_s = cfg.link_bytes_s

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Apply changed limits."""
        self._link_bytes_s = cfg.link_bytes_s
        self.memory.resize(cfg.limits)
        self.connections.resize(cfg.limits)

    def children(self) -> list[Child]:
        """Return the tasks that measure the process."""
        return [Child('memory-room', self.memory.run), Child('lag', self.lag.run)]

    def add_gauges(self, add_gauge: AddGauge) -> None:
        """Add the gauges of the room."""
        memory, connections, lag = self.memory, self.connections, self.lag
        gauges = (
            ('held_bytes', 'Bytes held for callers and runners.', lambda: memory.held.total),
            ('held_bytes_bound', 'Held bytes above which requests are refused.', lambda: memory.bounds.refuse),
            ('refused_for_memory', 'Requests refused because of held bytes.', lambda: memory.refused),
            ('slow_readers_disconnected', 'Slow readers that were disconnected.', lambda: memory.disconnected),
            ('open_connections', 'Open connections of callers and to others.', connections.count),
            ('refused_connections', 'Connections refused for lack of descriptors.', lambda: connections.refused),
            ('lag_seconds', 'Standing lag of this process.', lag.lag_s),
            ('loop_lag_seconds', 'Mean lateness of wake-ups.', lag.loop_lag_s),
            ('lagging_peers_share', 'Estimated share of the other instances that lag.', lag.lagging_share),
            ('loop_stalls', 'Times at which no task ran for a second or more.', lambda: lag.stalls),
            ('shed_connections', 'New connections closed unread because of lag.', lambda: lag.shed),
            ('refused_for_lag', 'Requests refused because of lag.', lambda: lag.refused),
        )
        for name, text, value_of in gauges:
            add_gauge(f'sesamepoint_{name}', text, value_of)


__all__ = ('InstanceRoom',)
