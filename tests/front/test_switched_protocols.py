"""Requests and answers that switch a connection to another protocol."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest import TestCase

import trio

from sesamepoint_core.body_end.body_facts import ReadEnd
from sesamepoint.http1.client import ClientConn, accept_any
from sesamepoint.http1.messages import ConnBrokenError, RejectedRequestError, RequestHead
from sesamepoint.http1.server import ServerConn, ServerLimits
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint_standins.platform.network import MemoryNetwork
from sesamepoint_standins.platform.process_bench import is_ready, new_caller, open_process_bench
from sesamepoint_core.serving.address import Address
from tests.front.builders import HOST, configuration, new_request
from tests.virtual_time import in_virtual_time

SERVER = Address('10.0.0.1', 80)
ANSWER_TIMEOUT_S = 5.0
CONNECT_REQUEST = (
    f'CONNECT /card/a HTTP/1.1\r\nHost: {HOST}\r\nSesamepoint-Request-Id: c1\r\n'
    'Sesamepoint-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n'
).encode()
UPGRADE_HEADERS = ((b'host', b'x'), (b'connection', b'upgrade'), (b'upgrade', b'other'))
SWITCHED_ANSWERS = (
    (RequestHead(b'CONNECT', b'/a', ((b'host', b'x'),)), b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nno'),
    (RequestHead(b'GET', b'/a', UPGRADE_HEADERS), b'HTTP/1.1 101 Switching\r\nupgrade: other\r\n\r\nno'),
)


class SwitchedAnswerTest(TestCase):
    """Answers after which the connection no longer carries HTTP."""

    @in_virtual_time
    async def test_reading_ends(self) -> None:
        """Guards against a reader that asks the parser again and again, and never lets another task run."""
        for head, answer in SWITCHED_ANSWERS:
            with self.subTest(method=head.method):
                self.assertEqual(await _read_switched(head, answer), ReadEnd.malformed)


class ConnectRequestTest(TestCase):
    """CONNECT requests of callers."""

    @in_virtual_time
    async def test_rejected_unread(self) -> None:
        """Guards against a CONNECT request that is passed on to a runner."""
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery)
            statuses: list[int] = []

            async def serve(transport: object) -> None:
                conn = ServerConn(transport, ServerLimits)  # type: ignore[arg-type]
                try:
                    await conn.read_request()
                except RejectedRequestError as exc:
                    statuses.append(exc.status)

            network.listen(SERVER, serve)
            transport = await network.for_host('10.0.0.2').connect(SERVER, 1)
            await transport.send_all(CONNECT_REQUEST)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        self.assertEqual(statuses, [400])

    def test_instance_serves_on(self) -> None:
        """Guards against an instance that one CONNECT request hangs for good, with all its other requests."""
        with tempfile.TemporaryDirectory() as folder:
            trio.run(self._send_to_process, Path(folder))

    async def _send_to_process(self, folder: Path) -> None:
        async with open_process_bench(configuration(), folder, fronts=1) as bench:
            front = bench.fronts[0]
            transport = await SocketNetwork().connect(front.listen, 1)
            await transport.send_all(CONNECT_REQUEST)
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                status_line = await transport.receive_some(100)
            self.assertIn(b' 400 ', status_line)
            with trio.fail_after(ANSWER_TIMEOUT_S):
                answer = await new_caller(front).send(new_request('/card/a'))
                ready = await is_ready(front)
        self.assertEqual((answer.status, ready), (200, True))


async def _read_switched(head: RequestHead, answer: bytes) -> ReadEnd | bytes:
    """Return how reading the answer to ``head`` ends."""
    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery)

        async def serve(transport: object) -> None:
            await transport.receive_some(1000)  # type: ignore[attr-defined]
            await transport.send_all(answer)  # type: ignore[attr-defined]
            await trio.sleep_forever()

        network.listen(SERVER, serve)
        conn = ClientConn(await network.for_host('10.0.0.2').connect(SERVER, 1))
        await conn.send(conn.start_request(head, b''))
        end = await _read_to_end(conn)
        nursery.cancel_scope.cancel()
    return end


async def _read_to_end(conn: ClientConn) -> ReadEnd | bytes:
    try:
        await conn.read_head(accept_any)
    except ConnBrokenError as exc:
        return exc.read_end
    return await conn.read_part()
