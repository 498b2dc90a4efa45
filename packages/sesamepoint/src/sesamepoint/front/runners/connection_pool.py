"""Pool of idle connections to one runner."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import trio

from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnectFailedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import OnHead
    from sesamepoint.http1.transport import Network

# Longest idle time of a connection that is used again, in seconds, if the runner announces
# no keep-alive time. A request sent while the runner closes the connection may or may not
# have run.
DEFAULT_IDLE_S = 4.0
# Share of an announced keep-alive time that is used, for the same reason: of 10 s it
# leaves 2 s for a runner or an instance that is slow to notice the end.
MAX_IDLE_SHARE = 0.8
# Within a zone connecting takes under 1 ms, between zones 3 ms; a lost packet is sent
# again after 0.2 s.
CONNECT_TIMEOUT_S = 0.45
# A runner that no longer listens refuses a connection within one round trip. No reply says
# nothing about the runner, and callers wait for their retry meanwhile, so the limit is short.
PROBE_TIMEOUT_S = 0.1


class ProbeOutcome(Enum):
    """What became of a new connection; ``not_open``: there was no answer, or it was closed or reset at once."""

    open = 'open'
    refused = 'refused'
    not_open = 'not_open'


class ConnectionPool:
    """Idle connections to one runner."""

    def __init__(self, address: Address, network: Network, on_head: OnHead | None = None) -> None:
        """Prepare for connections to ``address`` over ``network``; none is opened yet.

        ``on_head`` is called with the head of each response on any of the connections.
        """
        self._on_head = on_head
        self._address = address
        self._network = network
        self._idle: list[ClientConn] = []

    async def acquire(self, admit: Callable[[], None]) -> ClientConn:
        """Return an idle or new connection, which calls ``admit`` before it sends anything.

        Raises
        ------
        ConnectFailedError
            If a new connection was needed and failed.
        """
        now = trio.current_time()
        while self._idle:
            conn = self._idle.pop()
            if _reusable(conn, now) and conn.is_idle():
                conn.admit = admit
                return conn
            conn.close()
        conn = await self._connect(CONNECT_TIMEOUT_S)
        conn.admit = admit
        return conn

    async def probe_open(self, for_s: float) -> ProbeOutcome:
        """Open a connection, and find out whether it stays open for ``for_s`` seconds; if so it goes into the pool."""
        try:
            conn = await self._connect(PROBE_TIMEOUT_S)
        except ConnectFailedError as exc:
            return ProbeOutcome.refused if exc.refused else ProbeOutcome.not_open
        try:
            await trio.sleep(for_s)
        except trio.Cancelled:
            # A connection that nobody holds would stay open, and counted.
            conn.close()
            raise
        if not conn.is_idle():
            conn.close()
            return ProbeOutcome.not_open
        self._idle.append(conn)
        return ProbeOutcome.open

    async def probe_refused(self) -> bool:
        """Tell whether the address refuses a new connection; one that succeeds goes into the pool."""
        try:
            conn = await self._connect(PROBE_TIMEOUT_S)
        except ConnectFailedError as exc:
            return exc.refused
        self._idle.append(conn)
        return False

    def release(self, conn: ClientConn) -> None:
        """Return ``conn`` to the pool if it can carry another request, else close it."""
        # An idle connection must not keep its last request in memory.
        conn.admit = None
        if conn.recycle():
            self._idle.append(conn)
        else:
            conn.close()

    @property
    def oldest_idle_since(self) -> float | None:
        """Return since when the connection that is idle for longest has been idle; None if there is none."""
        return self._idle[0].idle_since if self._idle else None

    def close_oldest(self) -> None:
        """Close the connection that is idle for longest."""
        if self._idle:
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self, allowed_s: float) -> ClientConn:
        conn = ClientConn(await self._network.connect(self._address, allowed_s), self._on_head)
        conn.idle_since = trio.current_time()
        return conn


def _reusable(conn: ClientConn, now: float) -> bool:
    allowed_s = DEFAULT_IDLE_S if conn.keep_alive_s is None else conn.keep_alive_s * MAX_IDLE_SHARE
    return now - conn.idle_since < allowed_s


__all__ = ('ConnectionPool', 'ProbeOutcome')
