"""Socket options that make a silent peer noticeable."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import trio

# Data that a peer has not acknowledged for this long breaks the connection.
# Longer than two retransmissions (0.2 s and 0.4 s), far below any deadline.
UNACKED_MS = 1500
# An idle connection is probed after 1 s, each second, and given up after 3.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3


def tune(sock: trio.socket.SocketType) -> None:
    """Break connections whose far end has gone without a reset.

    A cut or powered-off peer sends nothing; without these a request on such
    a connection would hang until its deadline.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS)


__all__ = ('tune',)
