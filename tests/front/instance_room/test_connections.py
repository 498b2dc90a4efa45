"""Connections of an instance within its limit on descriptors."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.instance_room.limits import RESERVED_DESCRIPTORS, InstanceLimits
from sesamepoint.front.http_handler import MIN_IDLE_S
from sesamepoint.http1.client import ClientConn, accept_any
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_request, plain_runner
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from trio.testing import MockClock

# Half of them for callers, half to runners, the store and peers.
CONNECTIONS = 40
LIMITS = InstanceLimits(descriptors=RESERVED_DESCRIPTORS + CONNECTIONS)
CALLERS = 20


class ConnectionLimitTest(TestCase):
    """An instance that may have 40 connections."""

    @in_virtual_time
    async def test_idle_callers_closed_for_new_ones(self) -> None:
        """Guards against idle callers that keep new ones out, and against more connections than the limit."""
        async with open_bench(configuration(), fleet(), limits=LIMITS) as bench:
            connections = bench.fronts['front-1'].room.connections
            for _ in range(3 * CALLERS):
                answer = await bench.new_caller('front-1').send(new_request('/thumb/a'))
                self.assertEqual(answer.status, 200)
                await trio.sleep(MIN_IDLE_S / CALLERS)
                self.assertLessEqual(connections.count(), CONNECTIONS)
            self.assertEqual(connections.refused, 0)

    @in_virtual_time
    async def test_new_callers_not_closed_as_idle(self) -> None:
        """Guards against closing connections whose first request is on the way, in a burst of new ones."""
        async with open_bench(configuration(), fleet(), limits=LIMITS) as bench:
            statuses: list[int] = []

            async def send() -> None:
                statuses.append((await bench.new_caller('front-1').send(new_request('/thumb/a'))).status)

            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS + 1):
                    nursery.start_soon(send)
            self.assertEqual(statuses.count(0), 1)

    @in_virtual_time
    async def test_refused_when_all_are_busy(self) -> None:
        """Guards against descriptors that run out while all connections are in use, and against cutting those off."""
        async with open_bench(configuration(), [plain_runner(1, work_s=0.5)], limits=LIMITS) as bench:
            connections = bench.fronts['front-1'].room.connections
            statuses: list[int] = []

            async def send() -> None:
                statuses.append((await bench.new_caller('front-1').send(new_request('/card/a'))).status)

            # Until its first answer, a runner gets few requests at once.
            first = bench.new_caller('front-1')
            await first.send(new_request('/card/a'))
            first.disconnect()
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS + 5):
                    nursery.start_soon(send)
                await trio.sleep(0.2)
                self.assertLessEqual(connections.count(), CONNECTIONS)
            # A refused connection has no answer; for some of the others there was no connection to a runner left.
            self.assertEqual(statuses.count(0), 5)
            self.assertGreater(statuses.count(200), CALLERS / 2)
            self.assertEqual(statuses.count(200) + statuses.count(503), CALLERS)
            self.assertGreaterEqual(connections.refused, 5)
            # The runner is not blamed for what was refused here.
            self.assertTrue(bench.fronts['front-1'].fleet.members['i-web1'].health.eligible(trio.current_time()))

    @in_virtual_time
    async def test_all_connections_counted_out(self) -> None:
        """Guards against a count that never falls, after which all connections would be refused."""
        async with open_bench(configuration(), fleet(), limits=LIMITS) as bench:
            connections = bench.fronts['front-1'].room.connections
            callers = [bench.new_caller('front-1') for _ in range(5)]
            for caller in callers:
                await caller.send(new_request('/thumb/a'))
                caller.disconnect()
            await trio.sleep(1)
            self.assertEqual(connections.callers, 0)

    @in_virtual_time
    async def test_arrived_request_not_closed_as_idle(self) -> None:
        """Guards against closing a connection whose next request has arrived and is not yet read, as in a busy loop."""
        async with open_bench(configuration(), fleet(), limits=LIMITS) as bench:
            front = bench.fronts['front-1']
            conn = ClientConn(await bench.network.for_host('10.2.0.9').connect(front.cfg.listen, 1.0))
            await trio.sleep(2 * MIN_IDLE_S)
            req = new_request('/thumb/a')
            await conn.send(conn.start_request(req.head, req.body))
            # The clock advances before the task that reads from the connection runs.
            clock: MockClock = trio.lowlevel.current_clock()  # type: ignore[assignment]
            clock.jump(0.1)
            self.assertEqual(front.http_handler.close_longest_idle(1), 0)
            self.assertEqual((await conn.read_head(accept_any)).status, 200)
            conn.close()
