"""Connections that deliver thousands of small heads or chunks at once, beside other tasks."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_core.body_end.body_facts import ReadEnd
from sesamepoint.http1.client import MAX_HEADS_BEFORE_HEAD, ClientConn
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from sesamepoint.http1.parser_turns import EVENTS_PER_TURN
from sesamepoint.http1.server import ServerConn, ServerLimits
from tests.platform_boundary.scripted_network import ScriptedTransport
from tests.virtual_time import in_virtual_time

CHUNKS = 5000
REQUEST = RequestHead(b'GET', b'/', ((b'host', b'x'),))
OK_HEAD = b'HTTP/1.1 200 -\r\ntransfer-encoding: chunked\r\n\r\n'
EARLY_HEAD = b'HTTP/1.1 102 -\r\n\r\n'
CHUNKED_BODY = b'%b0\r\n\r\n' % (b'1\r\nx\r\n' * CHUNKS)


class _Bytes:
    """Bytes that arrive at once, before the connection ends."""

    read_end = ReadEnd.closed

    def __init__(self, wire: bytes) -> None:
        self.wire = wire


class _Ticks:
    """Counts how often another task runs."""

    def __init__(self) -> None:
        self.count = 0

    async def run(self) -> None:
        while True:
            await trio.lowlevel.checkpoint()
            self.count += 1


class ParserTurnsTest(TestCase):
    """Parsing yields to other tasks, and ends where it leads to nothing."""

    @in_virtual_time
    async def test_turns_within_answer(self) -> None:
        """Guards against callers of other runners that wait while one answer of tiny chunks is parsed."""
        conn = ClientConn(ScriptedTransport(_Bytes(OK_HEAD + CHUNKED_BODY)))
        ticks = _Ticks()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ticks.run)
            _, body = await conn.exchange(REQUEST)
            nursery.cancel_scope.cancel()
        self.assertEqual(len(body.payload), CHUNKS)
        self.assertGreater(ticks.count, CHUNKS / EVENTS_PER_TURN / 2)

    @in_virtual_time
    async def test_turns_within_request(self) -> None:
        """Guards against other callers that wait while one body of tiny chunks is parsed."""
        head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'
        conn = ServerConn(ScriptedTransport(_Bytes(head + CHUNKED_BODY)), ServerLimits)
        ticks = _Ticks()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ticks.run)
            request = await conn.read_request()
            nursery.cancel_scope.cancel()
        self.assertEqual(len(request.body), CHUNKS)
        self.assertGreater(ticks.count, CHUNKS / EVENTS_PER_TURN / 2)

    @in_virtual_time
    async def test_heads_before_answer(self) -> None:
        """Guards against a runner that keeps an instance busy with informational heads in place of an answer."""
        answer = OK_HEAD + CHUNKED_BODY
        sound = ClientConn(ScriptedTransport(_Bytes(EARLY_HEAD * MAX_HEADS_BEFORE_HEAD + answer)))
        self.assertEqual((await sound.exchange(REQUEST))[0].status, 200)
        endless = ClientConn(ScriptedTransport(_Bytes(EARLY_HEAD * (MAX_HEADS_BEFORE_HEAD + 1) + answer)))
        with self.assertRaisesRegex(ConnBrokenError, 'other responses before the wanted one'):
            await endless.exchange(REQUEST)
