"""Connections of a pool whose task is cancelled."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint.front.runners.connection_pool import ConnectionPool
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.http1.transport import Transport

ADDRESS = Address('10.0.0.1', 80)
CONNECT_S = 0.2
PROBE_S = 0.1
# Moments of the cancellation: while connecting, and while the probe waits.
CANCELLED_AFTER_S = (0, 0.1, 0.2, 0.25, 0.29)


class CountedTransport:
    """Idle transport that notes its close."""

    peer = ''

    def __init__(self, network: CountingNetwork) -> None:
        """Count as open at ``network``."""
        self._network = network

    def is_idle(self) -> bool:
        """Return True."""
        return True

    def close(self) -> None:
        """Count as closed."""
        self._network.open_count -= 1


class CountingNetwork:
    """Network that counts its open connections."""

    def __init__(self) -> None:
        """Start without connections."""
        self.open_count = 0

    async def connect(self, address: Address, timeout_s: float) -> Transport:
        """Open a connection."""
        await trio.sleep(CONNECT_S)
        self.open_count += 1
        return CountedTransport(self)  # type: ignore[return-value]


async def open_after_cancel(call: Callable[[ConnectionPool], Awaitable[object]], after_s: float) -> int:
    """Return how many connections stay open once ``call`` was cancelled and the pool is closed."""
    network = CountingNetwork()
    pool = ConnectionPool(ADDRESS, network)
    with trio.move_on_after(after_s):
        await call(pool)
    pool.close()
    return network.open_count


async def _probe_open(pool: ConnectionPool) -> object:
    return await pool.probe_open(PROBE_S)


class CancelledProbeTest(TestCase):
    """Probes that are cancelled, as when a caller leaves while the end of its stream is checked."""

    @in_virtual_time
    async def test_cancelled_probe_closed(self) -> None:
        """Guards against connections that are gone and stay counted."""
        for call in (_probe_open, ConnectionPool.probe_refused):
            for after_s in CANCELLED_AFTER_S:
                with self.subTest(after_s=after_s):
                    self.assertEqual(await open_after_cancel(call, after_s), 0)
