"""Serving of accepted connections over sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.http1.socket_options import set_dead_peer_timeouts, set_idle_probes
from sesamepoint.http1.transport import SocketTransport

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import trio

    Serve = Callable[[SocketTransport], Awaitable[None]]


async def serve_caller(serve: Serve, stream: trio.SocketStream) -> None:
    """Serve a connection of a caller, which may read slowly.

    Responses wait for it until the deadline of its request, and the bounds on held bytes end it sooner.
    """
    set_idle_probes(stream.socket)
    await serve(SocketTransport(stream))


async def serve_peer(serve: Serve, stream: trio.SocketStream) -> None:
    """Serve a connection of a peer or of the platform, which breaks if the far end takes nothing."""
    set_dead_peer_timeouts(stream.socket)
    await serve(SocketTransport(stream))


__all__ = ('serve_caller', 'serve_peer')
