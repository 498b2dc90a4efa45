"""Kept connections to one runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnectFailedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import OnHead
    from sesamepoint.http1.transport import Network

# A runner closes idle connections after a time that it may not tell. What
# has been idle for longer than this is not used again, since a request that
# crosses the close may or may not have run.
UNTOLD_IDLE_S = 4.0
# Share of a told idle time that is used, for the same reason: of 10 s it
# leaves two for a runner or an entry that is slow to notice the end.
IDLE_SHARE = 0.8
# In one zone a connection takes under a millisecond, between zones three; a
# lost packet is sent again after 0.2 s.
CONNECT_S = 0.45
# Whether a runner still listens is told within a round trip, in seconds; if the
# network is silent that is no sign of its end, and callers wait for their retry.
LOOK_S = 0.1


class Pool:
    """Connections to one runner that are not in use."""

    def __init__(self, address: Address, network: Network, on_head: OnHead | None = None) -> None:
        """Aim at ``address`` over ``network``; opens nothing yet.

        ``on_head`` is called with the head of each response on any of the connections.
        """
        self._on_head = on_head
        self._address = address
        self._network = network
        self._idle: list[ClientConn] = []

    async def take(self, admit: Callable[[], None]) -> ClientConn:
        """Return a connection, kept or new, which asks ``admit`` before it sends anything.

        Raises
        ------
        ConnectFailedError
            If a new one was needed and did not come about.
        """
        now = trio.current_time()
        while self._idle:
            conn = self._idle.pop()
            if _fresh(conn, now) and conn.quiet():
                conn.admit = admit
                return conn
            conn.close()
        conn = await self._connect(CONNECT_S)
        conn.admit = admit
        return conn

    async def refuses(self) -> bool:
        """Tell whether nobody listens at the address; a connection that comes about is kept."""
        try:
            conn = await self._connect(LOOK_S)
        except ConnectFailedError as exc:
            return exc.refused
        self._idle.append(conn)
        return False

    def give_back(self, conn: ClientConn) -> None:
        """Keep ``conn`` if it can carry another request, else close it."""
        # What is kept must not keep the request before it in memory.
        conn.admit = None
        if conn.recycle():
            self._idle.append(conn)
        else:
            conn.close()

    def close(self) -> None:
        """Close what is idle."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self, allowed_s: float) -> ClientConn:
        conn = ClientConn(await self._network.connect(self._address, allowed_s), self._on_head)
        conn.idle_since = trio.current_time()
        return conn


def _fresh(conn: ClientConn, now: float) -> bool:
    allowed_s = UNTOLD_IDLE_S if conn.keep_s is None else conn.keep_s * IDLE_SHARE
    return now - conn.idle_since < allowed_s


__all__ = ('Pool',)
