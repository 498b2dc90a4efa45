"""Sends to a caller that are cancelled."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.http1.server import ServerConn, ServerLimits
from tests.virtual_time import in_virtual_time

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'


class StuckTransport:
    """Transport of a caller that takes a part of what is sent, and then nothing more."""

    peer = '10.2.0.1'

    def __init__(self) -> None:
        self.sent = b''

    async def send_all(self, sent: bytes) -> None:
        self.sent += sent[: len(sent) // 2]
        await trio.sleep_forever()

    def send_now(self, sent: bytes) -> int:
        return 0

    async def receive_some(self, max_bytes: int) -> bytes:
        await trio.lowlevel.checkpoint()
        return REQUEST

    def close(self) -> None:
        """Do nothing."""

    def reset(self) -> None:
        """Do nothing."""

    def unsent_bytes(self) -> int:
        """Return 0: all bytes are gone."""
        return 0

    def is_idle(self) -> bool:
        return True

    def peer_closed(self) -> bool:
        return False


class CancelledSendTest(TestCase):
    """An answer whose send is cancelled, as at the deadline of its request."""

    @in_virtual_time
    async def test_connection_not_reused(self) -> None:
        """Guards against the answer to the next request following half an answer on the same connection."""
        conn = ServerConn(StuckTransport(), ServerLimits)
        await conn.read_request()
        with trio.move_on_after(1):
            await conn.send_whole(200, (), bytes(100))
        self.assertFalse(conn.reusable)
