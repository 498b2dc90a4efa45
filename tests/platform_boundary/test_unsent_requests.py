"""Responses whose connection ends before the whole request was sent."""

from __future__ import annotations

import socket
import struct
from functools import partial
from itertools import product
from typing import TYPE_CHECKING
from unittest import TestCase

import trio
from trio.testing import open_stream_to_socket_listener, wait_all_tasks_blocked

from sesamepoint_core.body_end.body_facts import BodyFacts, BodyKind, Framing, ReadEnd
from sesamepoint_core.body_end.decision import BreakCause, BrokenOff, Complete, Unmarked, decide_end
from sesamepoint.http1.client import ClientConn, accept_any
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from sesamepoint.http1.transport import SocketTransport
from tests.platform_boundary.scripted_network import FRAMINGS, ScriptedResponse, ScriptedTransport
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_core.body_end.decision import BodyEnd

UPLOAD = b'u' * 3_145_728
SENT_SHARES = (0, 0.25, 0.5, 0.99, 1)
BODY = b'some bytes'
PART = 6
KINDS = tuple(BodyKind)
ATTEMPTS = 30
LIMIT_S = 20.0
RESET = struct.pack('ii', 1, 0)
EARLY_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


class ScriptedUpload(ScriptedTransport):
    """Connection that takes a share of the request; the rest fails, or waits for ever."""

    def __init__(self, response: ScriptedResponse, share: float, *, fails: bool) -> None:
        """Answer with ``response`` whatever is taken."""
        super().__init__(response)
        self._share = share
        self._fails = fails

    async def send_all(self, sent: bytes) -> None:
        """Take all bytes, fail, or wait."""
        await super().send_all(sent)
        if self._share == 1:
            return
        if self._fails:
            raise trio.BrokenResourceError
        await trio.sleep_forever()

    def send_now(self, sent: bytes) -> int:
        """Take a share of the bytes."""
        super().send_now(sent)
        return int(self._share * len(sent))


class UnsentRequestTest(TestCase):
    """No answer is whole by the end of a connection on which its request was not sent whole."""

    @in_virtual_time
    async def test_every_share_and_end(self) -> None:
        """Guards against a part that counts as a whole answer, since the send has taken the reset of the connection."""
        for framing, sent, share, fails, kind in product(
            FRAMINGS, (PART, len(BODY)), SENT_SHARES, (False, True), KINDS
        ):
            with self.subTest(framing=framing, sent=sent, share=share, fails=fails, kind=kind):
                response = ScriptedResponse(framing, ReadEnd.closed, BODY, sent)
                end = await _read(ScriptedUpload(response, share, fails=fails), kind)
                if framing is Framing.until_close:
                    self.assertIsInstance(end, Unmarked if share == 1 else BrokenOff)
                else:
                    self.assertIsInstance(end, Complete if sent == len(BODY) else BrokenOff)

    def test_reset_during_upload(self) -> None:
        """Guards against the same on real sockets, whose system reports a reset to one call only."""
        found = [trio.run(_upload_to_early_answer) for _ in range(ATTEMPTS)]
        self.assertEqual([end for end in found if not isinstance(end, BrokenOff)], [])


async def _read(transport: ScriptedUpload | SocketTransport, kind: BodyKind = BodyKind.plain) -> BodyEnd:
    conn = ClientConn(transport)
    length = str(len(UPLOAD)).encode()
    wire = conn.start_request(RequestHead(b'POST', b'/', ((b'host', b'x'), (b'content-length', length))), UPLOAD)
    async with trio.open_nursery() as nursery:
        rest = wire[conn.send_now(wire) :]
        if rest:
            nursery.start_soon(conn.send_ignoring_errors, rest)
            await wait_all_tasks_blocked()
        await conn.read_head(accept_any)
        body = await conn.read_body()
        nursery.cancel_scope.cancel()
    return decide_end(BodyFacts(kind, body.framing, body.read_end))


async def _upload_to_early_answer() -> BodyEnd | None:
    """Upload to a server that answers at once without a length, sends a part, and resets the connection."""
    with trio.fail_after(LIMIT_S):
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(partial(trio.serve_tcp, host='127.0.0.1'), _answer_early, 0)
            stream = await open_stream_to_socket_listener(listeners[0])
            try:
                return await _read(SocketTransport(stream))
            except ConnBrokenError:
                # The head itself was lost.
                return BrokenOff(BodyFacts(BodyKind.plain, Framing.until_close, ReadEnd.reset), BreakCause.connection)
            finally:
                nursery.cancel_scope.cancel()


async def _answer_early(stream: trio.SocketStream) -> None:
    await stream.receive_some(65_536)
    await stream.send_all(EARLY_HEAD + BODY[:PART])
    await trio.sleep(0.01)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    stream.socket.close()
