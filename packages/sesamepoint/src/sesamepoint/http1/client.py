"""The client's side of one HTTP/1.1 connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from sesamepoint.http1.messages import ConnBrokenError, RequestHead, ResponseHead, header

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.http1.transport import Transport

    OnHead = Callable[[ResponseHead, float], None]

RECEIVE_BYTES = 65536
# Runners' heads are a few hundred bytes; a longer one is no sane answer.
MAX_HEAD_BYTES = 65536


class ClientConn:
    """Carries one request at a time; never shared between requests."""

    def __init__(self, transport: Transport, on_head: OnHead | None = None) -> None:
        """Use ``transport``, which this object then owns.

        ``on_head`` is called with the head of each response that is taken, and
        the moment on trio's clock at which its request was begun.
        """
        self.idle_since: float = 0
        self._on_head = on_head
        self._begun_at: float = 0
        self.keep_s: float | None = None
        # Called before anything of a request goes out; raises if it may not.
        self.admit: Callable[[], None] | None = None
        self._transport = transport
        self._state = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._sent_whole = True
        self._framed = True

    def begin(self, head: RequestHead, body: bytes) -> bytes:
        """Take up a request; returns the bytes for :meth:`send`.

        ``head`` must carry the length of ``body``. Raises what ``admit`` raises; then the
        connection is as it was.
        """
        if self.admit is not None:
            self.admit()
        self._sent_whole = False
        self._begun_at = trio.current_time()
        self._request = h11.Request(method=head.method, target=head.target, headers=list(head.headers))
        wire = self._state.send(self._request) or b''
        self._finish_sending(body)
        return wire + body

    async def send(self, wire: bytes) -> None:
        """Send what :meth:`begin` returned.

        Raises
        ------
        ConnBrokenError
            If the connection broke on the way.
        """
        try:
            await self._transport.send_all(wire)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnBrokenError(repr(exc)) from exc
        self._sent_whole = True

    async def send_quietly(self, wire: bytes) -> None:
        """Send beside a task that reads the answer.

        If the connection breaks, the reader notices; an answer that came
        before is still good.
        """
        try:
            await self.send(wire)
        except ConnBrokenError:
            return

    async def head(self, accept: Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the head of the first response that ``accept`` takes.

        A faulty server may send an answer twice, or late, and the next
        request on the connection would take it for its own. What ``accept``
        turns down is read to its end and dropped.

        Raises
        ------
        ConnBrokenError
            If the connection ended first.
        """
        while True:
            event = await self._event()
            if not isinstance(event, h11.Response):
                continue
            found = ResponseHead(event.status_code, tuple(event.headers))
            if accept(found):
                self._framed = found.framed
                self._note_keep_alive(found)
                if self._on_head is not None:
                    self._on_head(found, self._begun_at)
                return found
            await self._skip_answer()

    async def chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its end.

        Raises
        ------
        ConnBrokenError
            If the connection ended before the body did.
        """
        while True:
            event = await self._event()
            if isinstance(event, h11.Data) and event.data:
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return b''

    async def rest(self) -> bytes:
        """Return the body from here to its end.

        Raises
        ------
        ConnBrokenError
            If the connection ended before the body did.
        """
        parts = []
        while chunk := await self.chunk():
            parts.append(chunk)
        return b''.join(parts)

    async def ask(self, head: RequestHead, body: bytes = b'') -> tuple[ResponseHead, bytes]:
        """Send a request that any answer may answer, and return the whole answer.

        Raises
        ------
        ConnBrokenError
            If the connection ended first.
        """
        await self.send(self.begin(head, body))
        return await self.head(any_answer), await self.rest()

    def recycle(self) -> bool:
        """Get ready for the next request; False if that cannot be."""
        if self._state.our_state is h11.IDLE:
            return True
        clean = self._sent_whole and self._framed and not self._state.trailing_data[0]
        if not clean or self._state.our_state is not h11.DONE or self._state.their_state is not h11.DONE:
            return False
        self._state.start_next_cycle()
        self.idle_since = trio.current_time()
        return True

    def quiet(self) -> bool:
        """Tell whether the idle connection is open and has no bytes waiting.

        Bytes that nobody asked for belong to no request: such a connection
        must not be used again.
        """
        return self._transport.quiet()

    def close(self) -> None:
        """Close at once; the far end sees it and stops its work."""
        self._transport.close()

    def _note_keep_alive(self, found: ResponseHead) -> None:
        text = header(found.headers, b'keep-alive')
        if text and text.startswith(b'timeout=') and text[len(b'timeout=') :].isdigit():
            self.keep_s = float(text[len(b'timeout=') :])

    async def _skip_answer(self) -> None:
        await self.rest()
        rest, _ = self._state.trailing_data
        self._state = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        if self._request is not None:
            self._state.send(self._request)
            self._finish_sending(b'')
        if rest:
            self._state.receive_data(rest)

    def _finish_sending(self, body: bytes) -> None:
        """Tell the parser that the request is out; its bytes go apart."""
        request = self._request
        if request is None:
            return
        length = int(header(tuple(request.headers), b'content-length') or 0)
        if length:
            self._state.send(h11.Data(data=body or bytes(length)))
        self._state.send(h11.EndOfMessage())

    async def _event(self) -> object:
        while True:
            event = self._next_event()
            if isinstance(event, h11.ConnectionClosed):
                raise ConnBrokenError('closed before an answer')
            if event is not h11.NEED_DATA:
                return event
            self._feed(await self._receive())

    def _next_event(self) -> object:
        try:
            return self._state.next_event()
        except h11.RemoteProtocolError as exc:
            raise ConnBrokenError(repr(exc)) from exc

    def _feed(self, received: bytes) -> None:
        try:
            self._state.receive_data(received)
        except (h11.RemoteProtocolError, RuntimeError) as exc:
            raise ConnBrokenError(repr(exc)) from exc

    async def _receive(self) -> bytes:
        try:
            return await self._transport.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnBrokenError(repr(exc)) from exc


def any_answer(_: ResponseHead) -> bool:
    """Accept whatever comes, where only one request is ever under way."""
    return True


__all__ = ('ClientConn', 'any_answer')
