"""Reset of a response over a real socket."""

from __future__ import annotations

from functools import partial
from unittest import TestCase

import trio
from trio.testing import open_stream_to_socket_listener

from sesamepoint.http1.server import ServerConn, ServerLimits
from sesamepoint.http1.transport import SocketTransport

REQUEST = b'GET / HTTP/1.0\r\nhost: x\r\n\r\n'
# More than the buffers of both sockets take at once.
PART = b'x' * 4_194_304
LIMIT_S = 20.0


class ResponseResetTest(TestCase):
    """End of a response that nothing but the end of its connection ends."""

    def test_parts_arrive_before_reset(self) -> None:
        """Guards against a reset that drops the parts of a broken response which were sent before it."""
        received, ended_in_order = trio.run(_read_response, False)
        self.assertTrue(received.endswith(PART), len(received))
        self.assertFalse(ended_in_order)

    def test_whole_response_ends_in_order(self) -> None:
        """Guards against a whole response that its reader takes for broken."""
        received, ended_in_order = trio.run(_read_response, True)
        self.assertTrue(received.endswith(PART), len(received))
        self.assertTrue(ended_in_order)


async def _read_response(whole: bool) -> tuple[bytes, bool]:
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, host='127.0.0.1')
            listeners = await nursery.start(serve, partial(_respond, whole), 0)
            stream = await open_stream_to_socket_listener(listeners[0])
            await stream.send_all(REQUEST)
            response = await _read_to_end(stream)
            nursery.cancel_scope.cancel()
    return response


async def _respond(whole: bool, stream: trio.SocketStream) -> None:
    conn = ServerConn(SocketTransport(stream), ServerLimits)
    await conn.wait_for_request()
    await conn.read_request()
    await conn.begin(200, ())
    await conn.send_part(PART)
    if whole:
        await conn.end()
    await conn.wait_until_received()
    conn.close()


async def _read_to_end(stream: trio.SocketStream) -> tuple[bytes, bool]:
    parts: list[bytes] = []
    while True:
        try:
            part = await stream.receive_some()
        except trio.BrokenResourceError:
            return b''.join(parts), False
        if not part:
            return b''.join(parts), True
        parts.append(part)
