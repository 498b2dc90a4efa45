"""Probes of a runner's address by the connection pool, over real sockets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.front.pool import Pool
from sesamepoint.http1.transport import SocketNetwork

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = '127.0.0.1'


async def with_listener(check: Callable[[trio.SocketListener, Pool], Awaitable[None]]) -> None:
    """Run ``check`` with a listener and a pool of connections to it."""
    listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
    async with listener:
        port = listener.socket.getsockname()[1]
        await check(listener, Pool(Address(HOST, port), SocketNetwork()))


async def ended(listener: trio.SocketListener, pool: Pool) -> bool:
    """Close the listener and return whether a probe is refused."""
    await listener.aclose()
    return await pool.refuses()


class RefusesTest(TestCase):
    """One probe of an address."""

    def test_nobody_listens(self) -> None:
        """Once the process has ended, its host refuses the connection."""

        async def check(listener: trio.SocketListener, pool: Pool) -> None:
            self.assertTrue(await ended(listener, pool))

        trio.run(with_listener, check)

    def test_connection_kept(self) -> None:
        """A live process accepts the connection of the probe, and the next request reuses it."""

        async def check(listener: trio.SocketListener, pool: Pool) -> None:
            self.assertFalse(await pool.refuses())
            async with await listener.accept():
                conn = await pool.take(_admit)
                # The listener is closed, so no second connection is possible.
                self.assertTrue(await ended(listener, pool))
                self.assertTrue(conn.quiet())
                conn.close()

        trio.run(with_listener, check)


def _admit() -> None:
    """Admit every send."""
