"""Framing of responses with unusual heads: each is read to its true end, or counts as broken off."""

from __future__ import annotations

from typing import NamedTuple
from unittest import TestCase

from sesamepoint_core.body_end.body_facts import BodyKind, Framing, ReadEnd
from sesamepoint_core.body_end.decision import BrokenOff, Complete, Unmarked
from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, ReceivedBody, RequestHead
from tests.platform_boundary.scripted_network import ScriptedTransport
from tests.virtual_time import in_virtual_time

CHUNKS = b'3\r\nabc\r\n0\r\n'


class RawResponse(NamedTuple):
    """Bytes of a response, and how its connection ends."""

    wire: bytes
    read_end: ReadEnd = ReadEnd.closed


class ResponseFramingTest(TestCase):
    """Bodies of responses as they are read."""

    @in_virtual_time
    async def test_length_with_closing_connection(self) -> None:
        """Guards against a body with a length that is not whole because its connection closes after it."""
        body = await _read(b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc')
        self.assertEqual((body.payload, body.framing), (b'abc', Framing.length))
        self.assertIsInstance(body.end(BodyKind.plain), Complete)

    @in_virtual_time
    async def test_reset_after_length(self) -> None:
        """Guards against a body with a length that counts as broken because of a reset after its last byte."""
        body = await _read(b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc', ReadEnd.reset)
        self.assertIsInstance(body.end(BodyKind.plain), Complete)

    @in_virtual_time
    async def test_trailers(self) -> None:
        """Guards against trailers that are taken for a part of the body or for its end."""
        head = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        whole = await _read(b'%b%bx-sum: 1\r\n\r\n' % (head, CHUNKS))
        cut = await _read(b'%b%bx-sum: 1\r\n' % (head, CHUNKS))
        self.assertEqual(whole.payload, b'abc')
        self.assertIsInstance(whole.end(BodyKind.plain), Complete)
        self.assertIsInstance(cut.end(BodyKind.plain), BrokenOff)

    @in_virtual_time
    async def test_chunks_beside_length(self) -> None:
        """Guards against a length that ends a body which has chunks."""
        head = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n'
        body = await _read(b'%b%b\r\n' % (head, CHUNKS))
        self.assertEqual((body.payload, body.framing), (b'abc', Framing.chunked))

    @in_virtual_time
    async def test_other_transfer_encoding(self) -> None:
        """Guards against a body in an encoding that nobody here knows, which is passed on as it came."""
        for encoding in (b'gzip', b'gzip, chunked', b'identity'):
            with self.assertRaises(ConnBrokenError, msg=str(encoding)):
                await _read(b'HTTP/1.1 200 OK\r\ntransfer-encoding: %b\r\n\r\n%b\r\n' % (encoding, CHUNKS))

    @in_virtual_time
    async def test_two_lengths(self) -> None:
        """Guards against a body that ends by the smaller one of two lengths."""
        with self.assertRaises(ConnBrokenError):
            await _read(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nabc')
        same = await _read(b'HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 3\r\n\r\nabc')
        self.assertEqual(same.payload, b'abc')

    @in_virtual_time
    async def test_informational_response_before(self) -> None:
        """Guards against an informational response whose end is taken for that of the final one."""
        body = await _read(b'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\nabc')
        self.assertEqual((body.payload, body.framing), (b'abc', Framing.until_close))
        self.assertIsInstance(body.end(BodyKind.plain), Unmarked)

    @in_virtual_time
    async def test_no_body(self) -> None:
        """Guards against a read that waits for a body which the status or the method rules out."""
        for method, status in ((b'GET', 204), (b'GET', 304), (b'HEAD', 200)):
            body = await _read(b'HTTP/1.1 %d -\r\ncontent-length: 3\r\n\r\n' % status, method=method)
            self.assertEqual((body.payload, body.framing), (b'', Framing.empty), f'{method!r} {status}')
            self.assertIsInstance(body.end(BodyKind.plain), Complete)

    @in_virtual_time
    async def test_malformed_chunk(self) -> None:
        """Guards against a chunk without a size that is taken for the end."""
        body = await _read(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n')
        self.assertEqual(body.read_end, ReadEnd.malformed)
        self.assertIsInstance(body.end(BodyKind.plain), BrokenOff)


async def _read(wire: bytes, read_end: ReadEnd = ReadEnd.closed, method: bytes = b'GET') -> ReceivedBody:
    conn = ClientConn(ScriptedTransport(RawResponse(wire, read_end)))
    return (await conn.exchange(RequestHead(method, b'/', ((b'host', b'x'),))))[1]
