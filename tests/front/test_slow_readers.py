"""Callers that read their answers slowly, over real sockets."""

from __future__ import annotations

import socket
from functools import partial
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint.process.connections import serve_caller

if TYPE_CHECKING:
    from sesamepoint.http1.transport import SocketTransport

# More than the buffers of both kernels hold.
ANSWER_BYTES = 8_000_000
CALLER_BUFFER_BYTES = 4096
FIRST_BYTES = 1024
# Longer than the time after which the system breaks connections to runners that take nothing.
PAUSE_S = 2.5
TIMEOUT_S = 20.0


async def _send_answer(transport: SocketTransport) -> None:
    await transport.send_all(bytes(ANSWER_BYTES))
    transport.close()


async def bytes_read_after_pause() -> int:
    """Return how many bytes a caller gets that pauses after the first of them."""
    listener = (await trio.open_tcp_listeners(0, host='127.0.0.1'))[0]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, partial(serve_caller, _send_answer), [listener])
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        await sock.connect(listener.socket.getsockname())
        read = len(await sock.recv(FIRST_BYTES))
        await trio.sleep(PAUSE_S)
        while part := await sock.recv(ANSWER_BYTES):
            read += len(part)
        nursery.cancel_scope.cancel()
    return read


class SlowReaderTest(TestCase):
    """A caller that reads nothing for some seconds, and lives."""

    def test_pause_before_rest(self) -> None:
        """Guards against answers that are cut although their callers live, as if these were dead."""

        async def check() -> None:
            with trio.fail_after(TIMEOUT_S):
                self.assertEqual(await bytes_read_after_pause(), ANSWER_BYTES)

        trio.run(check)
