"""Answers of a stand-in for a runner: their framing, and where they break off."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint.http1.framing import has_no_body
from sesamepoint.http1.response_writer import CallerGoneError

if TYPE_CHECKING:
    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.server import ServerConn
    from sesamepoint.http1.transport import Transport


class Cut(NamedTuple):
    """Break-off of an answer.

    Parameters
    ----------
    at_byte
        Number of bytes of the body that are sent.
    read_end
        What its reader sees. With ``last_byte`` the framing says that the answer is complete.
    delay_s
        Time from the last byte to a close or reset, in seconds.
    """

    at_byte: int
    read_end: ReadEnd
    delay_s: float = 0


class FramedAnswer:
    """One answer, framed by its length, in chunks or by the end of its connection."""

    def __init__(self, conn: ServerConn, transport: Transport, framing: Framing, cut: Cut | None = None) -> None:
        """Answer the request on ``conn``, whose bytes ``transport`` carries."""
        self._conn = conn
        self._transport = transport
        self._framing = framing
        self._cut = cut
        self._sent = 0

    async def send(self, method: bytes, status: int, headers: Headers, body: bytes) -> bool:
        """Send an answer to a request with this method; return False if it was broken off."""
        if has_no_body(method, status):
            length = ((b'content-length', str(len(body)).encode()),) if method == b'HEAD' else ()
            await self._conn.send_whole(status, (*headers, *length), b'')
            return True
        await self.begin(status, headers, len(body))
        whole = await self.write(body)
        if whole:
            await self.end()
        return whole

    async def begin(self, status: int, headers: Headers, body_bytes: int) -> None:
        """Send the head of an answer whose whole body has ``body_bytes`` bytes."""
        if self._framing is Framing.until_close:
            return await self._send_raw(_head_bytes(status, headers))
        if self._framing is Framing.length:
            framed_as_whole = self._cut is not None and self._cut.read_end is ReadEnd.last_byte
            size = min(self._cut.at_byte, body_bytes) if self._cut and framed_as_whole else body_bytes
            headers = (*headers, (b'content-length', str(size).encode()))
        return await self._conn.begin(status, headers)

    async def write(self, part: bytes) -> bool:
        """Send a part of the body; return False if the answer was broken off in it."""
        left = len(part) if self._cut is None else self._cut.at_byte - self._sent
        self._sent += len(part)
        if part[:left]:
            await self._send(part[:left])
        if left >= len(part):
            return True
        await self._break_off()
        return False

    async def end(self) -> None:
        """End the answer as complete."""
        if self._framing is Framing.until_close:
            self._transport.close()
        else:
            await self._conn.end()

    async def _send(self, part: bytes) -> None:
        if self._framing is Framing.until_close:
            await self._send_raw(part)
        else:
            await self._conn.send_part(part)

    async def _send_raw(self, payload: bytes) -> None:
        try:
            await self._transport.send_all(payload)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerGoneError from exc

    async def _break_off(self) -> None:
        cut = self._cut
        if cut is None or cut.read_end is ReadEnd.last_byte:
            return await self.end()
        await trio.sleep(cut.delay_s)
        if cut.read_end is ReadEnd.closed:
            return self._transport.close()
        return self._transport.reset()


def _head_bytes(status: int, headers: Headers) -> bytes:
    """Return the head of a response without any framing."""
    lines = [b'HTTP/1.1 %d -' % status, *(b'%b: %b' % pair for pair in headers), b'connection: close']
    return b'\r\n'.join((*lines, b'', b''))


__all__ = ('Cut', 'FramedAnswer')
