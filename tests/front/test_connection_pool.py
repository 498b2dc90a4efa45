"""Probes of a runner's address by the connection pool, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.front.runners.connection_pool import ConnectionPool
from sesamepoint.http1.transport import SocketNetwork

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = '127.0.0.1'


async def run_with_listener(check: Callable[[trio.SocketListener, ConnectionPool], Awaitable[None]]) -> None:
    """Run ``check`` with a listener and a pool of connections to it."""
    listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
    async with listener:
        port = listener.socket.getsockname()[1]
        await check(listener, ConnectionPool(Address(HOST, port), SocketNetwork()))


async def refused_after_close(listener: trio.SocketListener, pool: ConnectionPool) -> bool:
    """Close the listener and return whether a probe is refused."""
    await listener.aclose()
    return await pool.probe_refused()


class ProbeTest(TestCase):
    """One probe of an address."""

    def test_no_listener(self) -> None:
        """Once the process has ended, its host refuses the connection."""

        async def check(listener: trio.SocketListener, pool: ConnectionPool) -> None:
            self.assertTrue(await refused_after_close(listener, pool))

        trio.run(run_with_listener, check)

    def test_probe_connection_reused(self) -> None:
        """A live process accepts the connection of the probe, and the next request reuses it."""

        async def check(listener: trio.SocketListener, pool: ConnectionPool) -> None:
            self.assertFalse(await pool.probe_refused())
            async with await listener.accept():
                conn = await pool.acquire(_admit)
                # The listener is closed, so no second connection is possible.
                self.assertTrue(await refused_after_close(listener, pool))
                self.assertTrue(conn.is_idle())
                conn.close()

        trio.run(run_with_listener, check)


def _admit() -> None:
    """Admit every send."""
