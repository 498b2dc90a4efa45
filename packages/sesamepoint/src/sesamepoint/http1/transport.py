"""Byte streams under HTTP connections: the interface, and sockets."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING, Protocol

import trio

from sesamepoint.http1.link_pacing import PIECE_BYTES
from sesamepoint.http1.messages import ConnectFailedError
from sesamepoint.http1.socket_options import bound_buffers, set_dead_peer_timeouts, unsent_bytes

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address

    from sesamepoint.http1.link_pacing import LinkPacer

# On, with a linger time of 0 s: a close resets the connection.
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class Transport(Protocol):
    """A connection that carries bytes; it raises the errors of trio's streams.

    Parameters
    ----------
    peer
        The address of the far end; empty if unknown.
    """

    peer: str

    async def send_all(self, sent: bytes) -> None:
        """Send all bytes."""

    def send_now(self, sent: bytes) -> int:
        """Send what fits without waiting and return its size; an error shows at the next waiting send."""

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return up to ``max_bytes`` bytes; empty at the end."""

    def close(self) -> None:
        """Close at once, in order."""

    def reset(self) -> None:
        """Reset the connection at once; bytes that the far end has not received are lost."""

    def unsent_bytes(self) -> int:
        """Return the number of bytes that were sent and the far end has not received, or 0 if that is unknown."""

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""

    def peer_closed(self) -> bool:
        """Return whether the far end has closed and all its bytes are read."""


class Network(Protocol):
    """Opens connections."""

    async def connect(self, address: Address, timeout_s: float) -> Transport:
        """Open a connection within ``timeout_s``, or raise ``ConnectFailedError``."""


class SocketTransport:
    """A transport over a TCP socket."""

    def __init__(self, stream: trio.SocketStream, pacer: LinkPacer | None = None) -> None:
        """Take ownership of ``stream``; ``pacer``, if given, paces its sends."""
        self._stream = stream
        self._pacer = pacer
        self.peer = _peer_host(stream)

    async def send_all(self, sent: bytes) -> None:
        """Send all bytes."""
        if self._pacer is None:
            return await self._stream.send_all(sent)
        for start in range(0, len(sent), PIECE_BYTES):
            piece = sent[start : start + PIECE_BYTES]
            await self._pacer.wait_to_send(len(piece))
            await self._stream.send_all(piece)

    def send_now(self, sent: bytes) -> int:
        """Send what fits without waiting and return its size; an error shows at the next waiting send."""
        descriptor = self._stream.socket.fileno()
        if descriptor < 0 or not self._may_send_now(len(sent)):
            return 0
        raw = socket.socket(fileno=descriptor)
        try:
            return raw.send(sent, socket.MSG_DONTWAIT)
        except OSError:
            return 0
        finally:
            raw.detach()

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return up to ``max_bytes`` bytes; empty at the end."""
        return bytes(await self._stream.receive_some(max_bytes))

    def close(self) -> None:
        """Close at once, in order."""
        self._stream.socket.close()

    def reset(self) -> None:
        """Reset the connection at once; bytes that the far end has not received are lost."""
        if self._stream.socket.fileno() >= 0:
            self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
        self._stream.socket.close()

    def unsent_bytes(self) -> int:
        """Return the number of bytes that were sent and the far end has not received, or 0 if that is unknown."""
        return unsent_bytes(self._stream.socket.fileno())

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return _peek(self._stream) is None

    def peer_closed(self) -> bool:
        """Return whether the far end has closed and all its bytes are read."""
        return _peek(self._stream) == b''

    def _may_send_now(self, size: int) -> bool:
        return self._pacer is None or (size <= PIECE_BYTES and self._pacer.try_send(size))


class SocketNetwork:
    """Opens connections over TCP sockets."""

    def __init__(self, pacer: LinkPacer | None = None, *, bounded_buffers: bool = False) -> None:
        """Let ``pacer``, if given, pace the sends of all connections; the flag bounds the kernel's buffers."""
        self._pacer = pacer
        self._bounded_buffers = bounded_buffers

    async def connect(self, address: Address, timeout_s: float) -> Transport:
        """Open a connection within ``timeout_s``, or raise ``ConnectFailedError``."""
        sock = trio.socket.socket()
        if self._bounded_buffers:
            bound_buffers(sock)
        try:
            with trio.fail_after(timeout_s):
                await sock.connect(address)
        except (OSError, trio.TooSlowError) as exc:
            sock.close()
            refused = isinstance(exc, ConnectionRefusedError)
            raise ConnectFailedError(str(address), repr(exc), refused=refused) from exc
        except BaseException:
            sock.close()
            raise
        set_dead_peer_timeouts(sock)
        return SocketTransport(trio.SocketStream(sock), self._pacer)


def _peer_host(stream: trio.SocketStream) -> str:
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        # The far end has disconnected; the next operation on the socket raises.
        return ''


def _peek(stream: trio.SocketStream) -> bytes | None:
    """Return a byte that can be read, without consuming it.

    Empty if the far end has closed, None if there is nothing to read yet.
    """
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return b''
    raw = socket.socket(fileno=descriptor)
    try:
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b''
    finally:
        raw.detach()


__all__ = ('Network', 'SocketNetwork', 'SocketTransport', 'Transport')
