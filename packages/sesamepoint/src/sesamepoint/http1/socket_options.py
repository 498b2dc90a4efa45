"""Socket options that detect a dead far end and bound the buffers of the kernel."""

from __future__ import annotations

import fcntl
import socket
import termios
from array import array
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
# Size of each buffer of a socket where memory is limited: the longest usual request body fits. The kernel lets
# buffers grow to some MB by default, and they count towards the memory of the process.
SOCKET_BUFFER_BYTES = 65536


def set_dead_peer_timeouts(sock: trio.socket.SocketType) -> None:
    """Set the options that break a connection whose far end is dead, or takes nothing.

    A far end that is cut off or powered off sends no reset; without these
    options a request on such a connection would hang until its deadline.
    """
    set_idle_probes(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def set_idle_probes(sock: trio.socket.SocketType) -> None:
    """Set the options that break an idle connection whose far end is dead.

    A far end that has a response to read and does not read it may live: the system breaks its connection by
    ``TCP_USER_TIMEOUT`` although it answers all probes, and slow readers lost their responses.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def bound_buffers(sock: trio.socket.SocketType) -> None:
    """Bound the buffers of a socket; an accepted connection takes them over from its listener."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


def unsent_bytes(descriptor: int) -> int:
    """Return the bytes in the send queue of a socket that the far end has not acknowledged; 0 if that is unknown."""
    queued = array('i', [0])
    try:
        fcntl.ioctl(descriptor, termios.TIOCOUTQ, queued)
    except (OSError, ValueError):
        # The socket is closed, or the system does not tell.
        return 0
    return queued[0]


__all__ = (
    'bound_buffers',
    'set_dead_peer_timeouts',
    'set_idle_probes',
    'unsent_bytes',
)
