"""Limits of a new configuration on connections that are open."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint.http1.messages import RejectedRequestError
from sesamepoint.http1.server import BODY_TOO_LARGE, HEAD_TOO_LARGE, ServerConn, ServerLimits
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.http1.server import ReceivedRequest

HEAD = b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 20\r\n\r\n'
REQUEST = HEAD.ljust(len(HEAD) + 20, b'x')
SMALL = ServerLimits(head_bytes=30)
SHORT_BODY = ServerLimits(body_bytes=10)
SHORT_IDLE_S = 2.0
LONG_IDLE_S = 5.0


class ScriptedTransport:
    """Transport that receives parts, and then nothing more."""

    peer = '10.0.0.1'

    def __init__(self, *parts: bytes) -> None:
        """Receive ``parts``, one a call."""
        self._parts = deque(parts)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next part, or wait for ever."""
        await trio.lowlevel.checkpoint()
        if not self._parts:
            await trio.sleep_forever()
        return self._parts.popleft()

    def send_now(self, sent: bytes) -> int:
        """Send all."""
        return len(sent)

    async def send_all(self, sent: bytes) -> None:
        """Send all."""
        await trio.lowlevel.checkpoint()

    def is_idle(self) -> bool:
        """Return whether all parts were received."""
        return not self._parts


class ChangingLimits:
    """Limits of the configuration in force."""

    def __init__(self) -> None:
        """Start with the default limits."""
        self.newest = ServerLimits()

    def __call__(self) -> ServerLimits:
        """Return the newest limits."""
        return self.newest


async def second_request(*parts: bytes, changed: ServerLimits) -> ReceivedRequest:
    """Serve one request, change the limits, and return the next request of the connection."""
    limits = ChangingLimits()
    conn = ServerConn(ScriptedTransport(*parts), limits)  # type: ignore[arg-type]
    await conn.wait_for_request()
    await conn.read_request()
    await conn.send_whole(200, (), b'')
    limits.newest = changed
    conn.start_next_cycle()
    await conn.wait_for_request()
    return await conn.read_request()


async def rejected_status(*parts: bytes, changed: ServerLimits) -> int:
    """Return the status with which the second request is rejected; 0 if it is not."""
    try:
        await second_request(*parts, changed=changed)
    except RejectedRequestError as exc:
        return exc.status
    return 0


class NewLimitsTest(TestCase):
    """Requests on a connection that was opened under an earlier configuration."""

    @in_virtual_time
    async def test_body_over_new_limit(self) -> None:
        """Guards against limits that hold for new connections only."""
        self.assertEqual(await rejected_status(REQUEST, REQUEST, changed=SHORT_BODY), BODY_TOO_LARGE)

    @in_virtual_time
    async def test_head_over_new_limit(self) -> None:
        """Guards against a limit of the parser that stays as it was, also for a request that has arrived already."""
        for parts in ((REQUEST, REQUEST), (REQUEST + REQUEST,), (REQUEST, REQUEST[:45], REQUEST[45:])):
            with self.subTest(parts=len(parts)):
                self.assertEqual(await rejected_status(*parts, changed=SMALL), HEAD_TOO_LARGE)

    @in_virtual_time
    async def test_pipelined_request_kept(self) -> None:
        """Guards against a request that is lost because the limits change while it waits."""
        for parts in ((REQUEST, REQUEST), (REQUEST + REQUEST,), (REQUEST + REQUEST[:30], REQUEST[30:])):
            with self.subTest(parts=len(parts)):
                req = await second_request(*parts, changed=ServerLimits(head_bytes=200))
                self.assertEqual(len(req.body), 20)

    @in_virtual_time
    async def test_longer_idle_time(self) -> None:
        """Guards against a close of an idle connection by a limit that no longer holds."""
        limits = ChangingLimits()
        limits.newest = ServerLimits(idle_s=SHORT_IDLE_S)
        conn = ServerConn(ScriptedTransport(), limits)  # type: ignore[arg-type]
        began = trio.current_time()
        limits.newest = ServerLimits(idle_s=LONG_IDLE_S)
        self.assertFalse(await conn.wait_for_request())
        self.assertEqual(trio.current_time() - began, LONG_IDLE_S)
