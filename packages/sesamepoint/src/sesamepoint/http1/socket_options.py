"""Socket options that detect a dead far end."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

# The connection breaks if sent data is not acknowledged for this long: longer
# than two retransmissions (0.2 s and 0.4 s), far below any deadline.
UNACKED_TIMEOUT_MS = 1500
# An idle connection is probed after 1 s, then each second; it breaks after 3
# probes without a response.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


def set_dead_peer_timeouts(sock: trio.socket.SocketType) -> None:
    """Set the options that break a connection whose far end is dead.

    A far end that is cut off or powered off sends no reset; without these
    options a request on such a connection would hang until its deadline.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


__all__ = ('set_dead_peer_timeouts',)
