"""Whether anybody listens at a runner's address, over real sockets."""

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
    """Run ``check`` with a listener and a pool that aims at it."""
    listener = (await trio.open_tcp_listeners(0, host=HOST))[0]
    async with listener:
        port = listener.socket.getsockname()[1]
        await check(listener, Pool(Address(HOST, port), SocketNetwork()))


async def ended(listener: trio.SocketListener, pool: Pool) -> bool:
    """Tell what the pool sees when the listener has gone."""
    await listener.aclose()
    return await pool.refuses()


class RefusesTest(TestCase):
    """One look at an address."""

    def test_nobody_listens(self) -> None:
        """A process that has ended: its host refuses."""

        async def check(listener: trio.SocketListener, pool: Pool) -> None:
            self.assertTrue(await ended(listener, pool))

        trio.run(with_listener, check)

    def test_connection_kept(self) -> None:
        """A process that lives takes the connection, and the next request goes over it."""

        async def check(listener: trio.SocketListener, pool: Pool) -> None:
            self.assertFalse(await pool.refuses())
            async with await listener.accept():
                conn = await pool.take(_admit)
                # Nobody listens any more: a second one would not come about.
                self.assertTrue(await ended(listener, pool))
                self.assertTrue(conn.quiet())
                conn.close()

        trio.run(with_listener, check)


def _admit() -> None:
    """Let everything pass."""
