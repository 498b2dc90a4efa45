"""Connections that wait to be accepted, over real sockets."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.process.burst_listener import BurstListener

HOST = '127.0.0.1'
CALLERS = 10


class BurstListenerTest(TestCase):
    """How many connections are accepted in one pass of the loop."""

    def test_all_waiting_in_excess(self) -> None:
        """Guards against callers that wait for one pass of a late loop each, before their connection is closed."""
        self.assertEqual(trio.run(_accepted_at_once, True), CALLERS)

    def test_one_in_each_pass(self) -> None:
        """Guards against a process that reads more in one pass than it can serve."""
        self.assertEqual(trio.run(_accepted_at_once, False), 1)


async def _accepted_at_once(in_excess: bool) -> int:  # noqa: FBT001
    """Return how many connections the first call accepts, of those that wait."""
    listener = BurstListener.open(HOST, 0, lambda: in_excess)
    async with listener:
        port = listener.socket.getsockname()[1]
        callers = [await trio.open_tcp_stream(HOST, port) for _ in range(CALLERS)]
        accepted = [await listener.accept(), *listener._accepted]
        for stream in (*callers, *accepted):
            await stream.aclose()
        return len(accepted)
