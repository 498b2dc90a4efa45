"""Client side of an HTTP/1.1 connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

import h11
import trio

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint.http1.framing import end_of, framing_of
from sesamepoint.http1.limited_receiver import LimitedReceiver
from sesamepoint.http1.parser_turns import ParserTurns
from sesamepoint.http1.messages import ConnBrokenError, ReceivedBody, RequestHead, ResponseHead, header

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.http1.transport import Transport

    OnHead = Callable[[ResponseHead, float], None]

# Response heads of runners are a few hundred bytes; a longer one is rejected. The parser applies this also to the
# lines between chunks and to trailers.
MAX_HEAD_BYTES = 65536
# Most bytes before the head of the wanted response: informational responses, and responses to no request.
MAX_BYTES_BEFORE_HEAD = 1_048_576
# Most responses before the wanted one. Servers send a few; each costs as much to parse as the wanted one.
MAX_HEADS_BEFORE_HEAD = 64
# The parser has refused statuses below 100; those up to 199 are no final responses.
LAST_STATUS = 599
# Most bytes of a body that is read as a whole, framing included: failures, and replies of a few fields.
MAX_BODY_BYTES = 65536
# The same for lists: pages of the store, inventories of engines, configurations.
MAX_LIST_BYTES = 8_388_608
# Seconds for which a body that is read as a whole may take beyond its head.
BODY_LIMIT_S = 10.0


class ClientConn:
    """A client connection that carries one request at a time."""

    def __init__(self, transport: Transport, on_head: OnHead | None = None) -> None:
        """Take ownership of ``transport``.

        ``on_head`` is called with the head of each accepted response, and the
        time on trio's clock at which its request was started.
        """
        self.idle_since: float = 0
        # Set once the process at the other end is known to be the one that is meant.
        self.incarnation_checked = False
        self._on_head = on_head
        self._started_at: float = 0
        self.keep_alive_s: float | None = None
        # Called before any byte of a request is sent; raises if it may not be sent.
        self.admit: Callable[[], None] | None = None
        self._transport = transport
        self.receiver = LimitedReceiver(transport)
        self._state = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._turns = ParserTurns()
        self._request: h11.Request | None = None
        self._request_sent = True
        # Of the response that was read last.
        self.framing = Framing.empty
        self._sender_closed = False

    def start_request(self, head: RequestHead, body: bytes) -> bytes:
        """Start a request and return its bytes for :meth:`send`.

        ``head`` must contain the length of ``body``. If ``admit`` raises, its
        error is passed on and the connection is unchanged.
        """
        if self.admit is not None:
            self.admit()
        self._request_sent = False
        self._started_at = trio.current_time()
        self._request = h11.Request(method=head.method, target=head.target, headers=list(head.headers))
        wire = self._state.send(self._request) or b''
        self._finish_sending(body)
        return wire + body

    async def send(self, wire: bytes) -> None:
        """Send the bytes of a started request.

        Raises
        ------
        ConnBrokenError
            If the connection broke before all were sent.
        """
        try:
            await self._transport.send_all(wire)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnBrokenError(repr(exc)) from exc
        self._request_sent = True

    def send_now(self, wire: bytes) -> int:
        """Send what fits of the bytes of a started request without waiting, and return its size."""
        sent = self._transport.send_now(wire)
        self._request_sent = sent == len(wire)
        return sent

    async def send_ignoring_errors(self, wire: bytes) -> None:
        """Send while another task reads the response.

        A broken connection is ignored here: a response that arrived before is still valid if its framing marks its
        end, and no other is whole without the whole request.
        """
        try:
            await self.send(wire)
        except ConnBrokenError:
            return

    async def read_head(self, accept: Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the head of the first response that ``accept`` accepts.

        Other responses are read to their end and dropped: a faulty server may
        send a response twice, or late, and it would be taken for that of the
        next request on the connection.

        Raises
        ------
        ConnBrokenError
            If the connection ended first, or too many other bytes came before.
        """
        with self.receiver.limited('head', MAX_BYTES_BEFORE_HEAD):
            return await self._read_head(accept)

    async def read_part(self) -> bytes | ReadEnd:
        """Return the next bytes of the body, or how its reading ended.

        The end says nothing about whether the body is whole; see :mod:`sesamepoint_core.body_end.decision`.
        """
        while True:
            try:
                event = await self._event()
            except ConnBrokenError as exc:
                return exc.read_end
            if isinstance(event, h11.EndOfMessage):
                return end_of(self.framing, request_sent=self._request_sent)
            if isinstance(event, h11.Data) and event.data:
                return bytes(event.data)

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES, limit_s: float = BODY_LIMIT_S) -> ReceivedBody:
        """Read the rest of the body; it is given up if it exceeds ``max_bytes`` or takes longer than ``limit_s``."""
        parts: list[bytes] = []
        read_end = ReadEnd.given_up
        with self.receiver.limited('body', max_bytes, limit_s):
            read_end = await self._read_parts(parts.append)
        return ReceivedBody(b''.join(parts), self.framing, read_end)

    async def skip_body(self, limit_s: float) -> None:
        """Read the rest of the body, which nobody needs, so that the connection can be used again.

        If it takes longer than ``limit_s`` seconds, the connection can't be. The wait is not cancelled from
        outside: what the head says must not be lost.
        """
        with trio.move_on_after(limit_s, shield=True), self.receiver.limited('skipped body', MAX_BODY_BYTES):
            await self._read_parts()

    async def exchange(
        self, head: RequestHead, body: bytes = b'', max_bytes: int = MAX_BODY_BYTES
    ) -> tuple[ResponseHead, ReceivedBody]:
        """Send a request and return the head and the body of its response, which is given up beyond ``max_bytes``.

        The response is not checked to belong to the request.

        Raises
        ------
        ConnBrokenError
            If the connection ended before the head.
        """
        await self.send(self.start_request(head, body))
        return await self.read_head(accept_any), await self.read_body(max_bytes)

    def recycle(self) -> bool:
        """Prepare for the next request; return False if the connection can't be reused."""
        if self._state.our_state is h11.IDLE:
            return True
        clean = self._request_sent and self.framing is not Framing.until_close and not self._state.trailing_data[0]
        if not clean or self._state.our_state is not h11.DONE or self._state.their_state is not h11.DONE:
            return False
        self._state.start_next_cycle()
        self.idle_since = trio.current_time()
        return True

    def is_idle(self) -> bool:
        """Return whether the idle connection is open and has no unread bytes.

        Unread bytes belong to no request, so that such a connection must not
        be reused.
        """
        return self._transport.is_idle()

    def close(self) -> None:
        """Close at once; the server notices and cancels the request."""
        self._transport.close()

    async def _read_head(self, accept: Callable[[ResponseHead], bool]) -> ResponseHead:
        for _ in range(MAX_HEADS_BEFORE_HEAD + 1):
            event = await self._event()
            if not isinstance(event, h11.Response):
                continue
            response = ResponseHead(_valid_status(event), tuple(event.headers))
            if accept(response):
                self._begin_body(response)
                return response
            await self._skip_answer()
        raise self.receiver.given_up(f'{MAX_HEADS_BEFORE_HEAD} other responses before the wanted one')

    async def _read_parts(self, keep: Callable[[bytes], None] | None = None) -> ReadEnd:
        """Read the rest of the body, and pass its parts to ``keep``."""
        part = await self.read_part()
        while isinstance(part, bytes):
            if keep is not None:
                keep(part)
            part = await self.read_part()
        return part

    def _begin_body(self, response: ResponseHead) -> None:
        method = b'' if self._request is None else bytes(self._request.method)
        self.framing = framing_of(method, response)
        self._store_keep_alive(response)
        if self._on_head is not None:
            self._on_head(response, self._started_at)

    def _store_keep_alive(self, response: ResponseHead) -> None:
        text = header(response.headers, b'keep-alive')
        if text and text.startswith(b'timeout=') and text[len(b'timeout=') :].isdigit():
            self.keep_alive_s = float(text[len(b'timeout=') :])

    async def _skip_answer(self) -> None:
        await self._read_parts()
        unparsed, _ = self._state.trailing_data
        self._state = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        if self._request is not None:
            self._state.send(self._request)
            self._finish_sending(b'')
        if unparsed:
            self._state.receive_data(unparsed)

    def _finish_sending(self, body: bytes) -> None:
        """Mark the request as sent in the parser; its body is sent outside the parser."""
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
                raise ConnBrokenError('closed before a response', ReadEnd.closed)
            if event is h11.PAUSED:
                # The parser says the same each time it is asked: the answer has switched the connection to another
                # protocol. Asking on without waiting took the whole process.
                raise ConnBrokenError('the connection no longer carries HTTP', ReadEnd.malformed)
            if event is not h11.NEED_DATA:
                await self._turns.note_event()
                return event
            self._feed(await self.receiver.receive())

    def _next_event(self) -> object:
        try:
            return self._state.next_event()
        except h11.RemoteProtocolError as exc:
            read_end = ReadEnd.closed if self._sender_closed else ReadEnd.malformed
            raise ConnBrokenError(repr(exc), read_end) from exc

    def _feed(self, received: bytes) -> None:
        self._sender_closed = not received
        try:
            self._state.receive_data(received)
        except (h11.RemoteProtocolError, RuntimeError) as exc:
            raise ConnBrokenError(repr(exc), ReadEnd.malformed) from exc


def _valid_status(response: h11.Response) -> int:
    """Return the status of a final response; one out of range is malformed (RFC 9110, section 15)."""
    if response.status_code > LAST_STATUS:
        raise ConnBrokenError(f'status {response.status_code} is out of range', ReadEnd.malformed)
    return response.status_code


def accept_any(_: ResponseHead) -> bool:
    """Accept any response, on a connection that never has more than one request."""
    return True


__all__ = ('MAX_LIST_BYTES', 'ClientConn', 'accept_any')
