"""Replies of the platform's log that break off."""

from __future__ import annotations

from itertools import accumulate
from unittest import TestCase

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.platform.http_log import HttpInstanceList, HttpLog
from tests.virtual_time import in_virtual_time

REPLY = b'{"earliest":0,"end":1,"records":[[0,"a"]]}'


class CutClient:
    """Client whose replies end early, with their connection."""

    def __init__(self, reply: str) -> None:
        self._reply = reply

    async def request(self, method: str, path: str, body: bytes, timeout_s: float) -> bytes:
        await trio.lowlevel.checkpoint()
        return self._reply.encode()


class HttpLogTest(TestCase):
    """Replies that are not whole."""

    @in_virtual_time
    async def test_reply_that_breaks_off(self) -> None:
        """Guards against a cut reply that ends its reader by an unexpected error, or that is taken for whole."""
        for part in accumulate(REPLY[:-1].decode(), initial=''):
            client = CutClient(part)
            log = HttpLog(client)  # type: ignore[arg-type]
            instances = HttpInstanceList(client)  # type: ignore[arg-type]
            for call in (log.append('s', b'a'), log.read('s', 0, 0), instances.fetch()):
                with self.assertRaises(PlatformUnavailableError, msg=part):
                    await call
