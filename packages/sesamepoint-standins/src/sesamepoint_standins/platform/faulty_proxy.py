"""TCP proxy on loopback that delays or drops bytes and resets connections."""

from __future__ import annotations

import enum
import socket
import struct
from functools import partial
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address

CHUNK_BYTES = 65536
HOLD_CHECK_S = 0.02
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
# Makes close() discard unsent bytes and send a reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Fault(enum.Enum):
    """Fault that the proxy applies to its connections.

    ``drop_all`` drops the bytes of both directions, ``drop_answers`` those from
    the target only. ``hold`` keeps the bytes to the target, which their sender takes for
    delivered, until it ends, and those of each connection for a time of its own after that.
    ``delay_answers`` delays the bytes from the target only.
    """

    none = 'none'
    delay = 'delay'
    drop_all = 'silence'
    drop_answers = 'lose answers'
    hold = 'hold'
    delay_answers = 'delay answers'


class FaultyProxy:
    """Proxy that forwards connections to a target, subject to a fault.

    Once one direction of a connection has dropped bytes, it drops everything
    after them, as when a middlebox has lost the state of the connection.
    """

    def __init__(self, target: Address) -> None:
        """Forward to ``target``, without a fault at first."""
        self.fault = Fault.none
        self.delay_s: float = 0
        # Returns for how long bytes to the target are held besides, or after the end of a hold, in seconds.
        self.draw_hold_s: Callable[[], float] = _no_time
        self._target = target
        self._open_streams: set[trio.SocketStream] = set()

    async def serve(self, caller: trio.SocketStream) -> None:
        """Forward one connection."""
        try:
            upstream = await trio.open_tcp_stream(self._target.host, self._target.port)
        except OSError:
            reset(caller)
            return
        both = (caller, upstream)
        self._open_streams.update(both)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, caller, upstream, Fault.drop_all, nursery.cancel_scope)
                nursery.start_soon(self._forward, upstream, caller, Fault.drop_answers, nursery.cancel_scope)
        finally:
            self._open_streams.difference_update(both)
            for stream in both:
                stream.socket.close()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for stream in tuple(self._open_streams):
            reset(stream)

    async def _delay(self, *, towards_target: bool) -> None:
        if self.fault is Fault.delay:
            held_s = self.draw_hold_s() if towards_target else 0
            await trio.sleep(self.delay_s + held_s)
        if self.fault is Fault.delay_answers and not towards_target:
            await trio.sleep(self.delay_s)
        if self.fault is Fault.hold and towards_target:
            while self.fault is Fault.hold:
                await trio.sleep(HOLD_CHECK_S)
            await trio.sleep(self.draw_hold_s())

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream, dropping_fault: Fault, scope: trio.CancelScope
    ) -> None:
        dropping = False
        try:
            while chunk := await source.receive_some(CHUNK_BYTES):
                dropping = dropping or self.fault in {Fault.drop_all, dropping_fault}
                if dropping:
                    continue
                await self._delay(towards_target=dropping_fault is Fault.drop_all)
                await sink.send_all(chunk)
        except CONNECTION_ERRORS:
            reset(sink)
        if dropping:
            # An orderly end after lost bytes would be one that TCP never delivers.
            reset(sink)
        scope.cancel()


def _no_time() -> float:
    return 0


def reset(stream: trio.SocketStream) -> None:
    """Close ``stream`` with a reset."""
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    except OSError:
        # Already closed.
        return
    stream.socket.close()


async def listen(proxy: FaultyProxy, nursery: trio.Nursery) -> tuple[str, int]:
    """Serve ``proxy`` on a free loopback port; return host and port."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(partial(trio.serve_listeners, proxy.serve, listeners))
    host, port = listeners[0].socket.getsockname()[:2]
    return host, port


__all__ = ('Fault', 'FaultyProxy', 'listen')
