"""A TCP proxy on loopback that delays, resets, cuts one way or falls silent."""

from __future__ import annotations

import enum
import socket
import struct
from functools import partial
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address

CHUNK_BYTES = 65536
BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
# Closing sends a reset at once, in place of what is unsent.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Fault(enum.Enum):
    """What the proxy does to the bytes of connections."""

    none = 'none'
    delay = 'delay'
    silence = 'silence'
    lose_answers = 'lose answers'


class FaultyProxy:
    """Passes connections on to a target, as well as its fault lets it.

    Bytes that were swallowed never come; their connection stays silent for
    good, as when something between two ends has lost track of it.
    """

    def __init__(self, target: Address) -> None:
        """Pass on to ``target``, faultlessly at first."""
        self.fault = Fault.none
        self.delay_s: float = 0
        self._target = target
        self._open: set[trio.SocketStream] = set()

    async def serve(self, caller: trio.SocketStream) -> None:
        """Serve one connection."""
        try:
            far = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            reset(caller)
            return
        both = (caller, far)
        self._open.update(both)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, caller, far, Fault.silence, nursery.cancel_scope)
                nursery.start_soon(self._pump, far, caller, Fault.lose_answers, nursery.cancel_scope)
        finally:
            self._open.difference_update(both)
            for stream in both:
                stream.socket.close()

    def reset_all(self) -> None:
        """Reset all connections that are open."""
        for stream in tuple(self._open):
            reset(stream)

    async def _pump(
        self, source: trio.SocketStream, sink: trio.SocketStream, cut: Fault, scope: trio.CancelScope
    ) -> None:
        swallows = False
        try:
            while chunk := await source.receive_some(CHUNK_BYTES):
                swallows = swallows or self.fault in {Fault.silence, cut}
                if swallows:
                    continue
                if self.fault is Fault.delay:
                    await trio.sleep(self.delay_s)
                await sink.send_all(chunk)
        except BROKEN:
            reset(sink)
        scope.cancel()


def reset(stream: trio.SocketStream) -> None:
    """Have the far end see a reset."""
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        # It is closed already.
        return
    stream.socket.close()


async def listen(proxy: FaultyProxy, nursery: trio.Nursery) -> tuple[str, int]:
    """Serve ``proxy`` on a free port of loopback; returns where."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(partial(trio.serve_listeners, proxy.serve, listeners))
    host, port = listeners[0].socket.getsockname()[:2]
    return host, port


__all__ = ('Fault', 'FaultyProxy', 'listen')
