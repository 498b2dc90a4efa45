"""Statuses of responses, in and out of the range that HTTP has."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple
from unittest import TestCase

from sesamepoint_core.body_end.body_facts import ReadEnd
from sesamepoint.http1.client import ClientConn, accept_any
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from tests.platform_boundary.scripted_network import ScriptedTransport
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.http1.messages import ResponseHead

FINAL = (b'200', b'204', b'299', b'304', b'404', b'499', b'500', b'599')
INVALID = (b'000', b'099', b'20', b'2x0', b'-200', b'', b'1000', b'600', b'700', b'999')
# No final response follows.
INTERIM = (b'100', b'101', b'103', b'199')


class _Response(NamedTuple):
    status: bytes
    read_end: ReadEnd = ReadEnd.closed

    @property
    def wire(self) -> bytes:
        return b'HTTP/1.1 %b -\r\ncontent-length: 0\r\n\r\n' % self.status


class StatusTest(TestCase):
    """Only a status from 200 to 599 is that of a final response."""

    @in_virtual_time
    async def test_final(self) -> None:
        """Guards against a check that refuses statuses in range which no caller knows."""
        for status in FINAL:
            self.assertEqual((await _read_head(status)).status, int(status))

    @in_virtual_time
    async def test_out_of_range(self) -> None:
        """Guards against a status outside of HTTP's range that reaches the caller as an answer."""
        for status in (*INVALID, *INTERIM):
            with self.subTest(status=status), self.assertRaises(ConnBrokenError):
                await _read_head(status)


async def _read_head(status: bytes) -> ResponseHead:
    conn = ClientConn(ScriptedTransport(_Response(status)))
    await conn.send(conn.start_request(RequestHead(b'GET', b'/', ((b'host', b'x'),)), b''))
    return await conn.read_head(accept_any)
