"""Responses on a server connection, and how it is closed after them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from sesamepoint_core.body_end.body_facts import Framing
from sesamepoint_core.body_end.response_end import ResponseEnd, response_end
from sesamepoint.http1.framing import framing_of, has_no_body
from sesamepoint.http1.messages import ResponseHead
from sesamepoint.http1.outbox import Outbox

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.outbox import HeldAccount
    from sesamepoint.http1.transport import Transport

# Longest wait in seconds for a caller to receive what was sent before its connection is reset, and the pause between
# two checks.
MAX_RECEIVE_S = 1.0
RECEIVE_CHECK_S = 0.005


class CallerGoneError(Exception):
    """The caller closed the connection."""


class ResponseWriter:
    """Writes responses one after the other."""

    def __init__(
        self, transport: Transport, state: h11.Connection, should_close: Callable[[], bool], held: HeldAccount
    ) -> None:
        """Write to ``transport``; the other parameters are as in ``ServerConn``."""
        self.closing = False
        self.outbox = Outbox(transport, held)
        # Counts what is held for the caller besides.
        self.held = held
        # Of the latest request.
        self._method = b''
        self._framing = Framing.empty
        self._response_ended = True
        self._should_close = should_close
        self._transport = transport
        self._state = state

    async def begin(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Send the head of a response with the first part of its body, if given; the rest and :meth:`end` follow."""
        self._response_ended = False
        wire = self._head_bytes(status, headers)
        if body:
            wire += self._state.send(h11.Data(data=body)) or b''
        await self._send(wire)

    async def send_part(self, body: bytes) -> None:
        """Send a part of the response's body."""
        await self._send(self._state.send(h11.Data(data=body)) or b'')

    async def end(self) -> None:
        """End a response that :meth:`begin` started."""
        self._response_ended = True
        await self._send(self._state.send(h11.EndOfMessage()) or b'')
        await self.flush()

    async def flush(self) -> None:
        """Wait until the caller has taken all that was sent."""
        try:
            await self.outbox.flush()
        except trio.BrokenResourceError as exc:
            raise CallerGoneError from exc

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response at once; its body is left out if the request or the status allows none."""
        bodiless = has_no_body(self._method, status)
        framed = headers if bodiless else (*headers, (b'content-length', str(len(body)).encode()))
        wire = self._head_bytes(status, framed)
        if body and not bodiless:
            wire += self._state.send(h11.Data(data=body)) or b''
        wire += self._state.send(h11.EndOfMessage()) or b''
        await self._send(wire)
        await self.flush()

    async def wait_until_received(self) -> None:
        """Wait until the caller has received the parts of a response that is broken off by a reset, which drops others.

        Other responses are not waited for: a close delivers what was sent.
        """
        if self._end_of_connection() is ResponseEnd.reset:
            with trio.move_on_after(MAX_RECEIVE_S):
                while self._transport.unsent_bytes():
                    await trio.sleep(RECEIVE_CHECK_S)

    def close(self) -> None:
        """Close the connection so that the caller can tell whether its response is whole."""
        if self._end_of_connection() is ResponseEnd.reset:
            self._transport.reset()
        else:
            self._transport.close()

    def check_caller(self) -> None:
        """Check without waiting whether the caller is still connected.

        Raises
        ------
        CallerGoneError
            If the caller has closed the connection. A task that waits for the
            close notices it too, but only once it is scheduled, which may take
            half a second in a busy process.
        """
        if self._transport.peer_closed():
            raise CallerGoneError

    def _end_of_connection(self) -> ResponseEnd:
        return response_end(self._framing, complete=self._response_ended and self.outbox.empty)

    def _head_bytes(self, status: int, headers: Headers) -> bytes:
        self._framing = framing_of(self._method, ResponseHead(status, headers))
        if self._framing is Framing.until_close and self._state.their_http_version == b'1.1':
            # The parser adds chunks for all callers that know them.
            self._framing = Framing.chunked
        sent = list(headers)
        self.closing = self.closing or self._should_close()
        if self.closing:
            sent.append((b'connection', b'close'))
        return self._state.send(h11.Response(status_code=status, headers=sent)) or b''

    async def _send(self, wire: bytes) -> None:
        try:
            await self.outbox.send(wire)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise CallerGoneError from exc


__all__ = ('CallerGoneError', 'ResponseWriter')
