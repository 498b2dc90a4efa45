"""Server side of an HTTP/1.1 connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import h11
import trio

from sesamepoint.http1.messages import RejectedRequestError, RequestHead, header
from sesamepoint.http1.outbox import UnboundedAccount
from sesamepoint.http1.parser_turns import ParserTurns
from sesamepoint.http1.response_writer import CallerGoneError, ResponseWriter

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.http1.outbox import HeldAccount
    from sesamepoint.http1.transport import Transport

RECEIVE_BYTES = 65536
# Bytes of pipelined requests that are buffered while a response is being sent;
# beyond them nothing more is read from the caller.
MAX_BUFFERED_BYTES = 65536
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEAD_TOO_LARGE = 431
# Colon, space and line end (CR LF) of a header field.
FIELD_OVERHEAD_BYTES = 4
DEFAULT_HEAD_BYTES = 16384
DEFAULT_BODY_BYTES = 4194304
DEFAULT_HEAD_S = 3.0
DEFAULT_IDLE_S = 15.0


class ServerLimits(NamedTuple):
    """Limits on the size of a request and on the time that it takes to arrive.

    ``idle_s`` is the time for which a connection may wait for a request.
    """

    head_bytes: int = DEFAULT_HEAD_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    head_s: float = DEFAULT_HEAD_S
    idle_s: float = DEFAULT_IDLE_S


class ReceivedRequest(NamedTuple):
    """A complete request.

    The arrival time is on trio's clock; ``caller`` is the address of the caller.
    """

    head: RequestHead
    body: bytes
    arrived_at: float
    caller: str = ''


class NoRoomError(Exception):
    """A complete request arrived, and its body was dropped because too many bytes are held."""

    def __init__(self, head: RequestHead) -> None:
        """Set the head of the request."""
        super().__init__('too many bytes are held')
        self.head = head


def _never() -> bool:
    return False


class ServerConn(ResponseWriter):
    """A server connection: reads requests and writes responses one after the other."""

    def __init__(
        self,
        transport: Transport,
        limits: Callable[[], ServerLimits],
        should_close: Callable[[], bool] = _never,
        held: HeldAccount | None = None,
    ) -> None:
        """Use ``transport``, which the creator of this object closes.

        Parameters
        ----------
        limits
            Called for each request, since a new configuration may change them; returns those of the next one.
        should_close
            Called for each response; if it returns true, the response announces
            that the connection closes after it.
        held
            Counts the bytes that are held for the caller, and bounds them.
        """
        self._held = held or UnboundedAccount()
        self._newest_limits = limits
        self._limits = limits()
        super().__init__(transport, h11.Connection(h11.SERVER, self._limits.head_bytes), should_close, self._held)
        # Returns whether the caller is connected and none of its bytes has arrived unread.
        self.is_idle = transport.is_idle
        self._turns = ParserTurns()
        self._body_size = 0
        self._buffered = b''

    @property
    def reusable(self) -> bool:
        """Return whether the connection can carry another request."""
        state = self._state
        done = state.our_state is h11.DONE and state.their_state is h11.DONE
        return done and not self.closing and self.outbox.empty

    def start_next_cycle(self) -> None:
        """Prepare for the next request."""
        self._state.start_next_cycle()
        self._apply_limits()

    async def wait_for_request(self) -> bool:
        """Wait for a request to start.

        Returns
        -------
        bool
            False if none starts in time, or the caller closes the connection.
        """
        if self._buffered:
            self._state.receive_data(self._buffered)
            self._held.remove(len(self._buffered))
            self._buffered = b''
            return True
        if self._state.trailing_data[0]:
            return True
        idle_since = trio.current_time()
        while trio.current_time() < idle_since + self._limits.idle_s:
            with trio.move_on_at(idle_since + self._limits.idle_s):
                received = await self._receive()
                self._apply_limits()
                self._state.receive_data(received)
                return bool(received)
            self._apply_limits()
        return False

    async def read_request(self) -> ReceivedRequest:
        """Read a complete request.

        Raises
        ------
        RejectedRequestError
            If the request is invalid, too large or too slow; with the status of the response.
        CallerGoneError
            If the caller closed the connection before the request was complete.
        NoRoomError
            If too many bytes are held to keep the body.
        """
        arrived = trio.current_time()
        with trio.move_on_after(self._limits.head_s):
            head = await self._read_head()
            return ReceivedRequest(head, await self._read_body(head), arrived, self._transport.peer)
        raise RejectedRequestError(REQUEST_TIMEOUT, 'the request took too long to arrive')

    def release_request(self) -> None:
        """Count the body of the last request as no longer held."""
        self._held.remove_body(self._body_size)
        self._body_size = 0

    async def wait_for_close(self) -> None:
        """Return once the caller has closed the connection; buffer what it sends until then."""
        while True:
            received = await self._receive()
            if not received:
                return
            self._buffered += received
            self._held.add(len(received))
            if len(self._buffered) > MAX_BUFFERED_BYTES:
                await trio.sleep_forever()

    def _apply_limits(self) -> None:
        """Apply the newest limits, before anything of the next request is parsed."""
        limits = self._newest_limits()
        if limits.head_bytes != self._limits.head_bytes:
            # The parser takes its limit at its creation only.
            trailing, _ = self._state.trailing_data
            self._state = h11.Connection(h11.SERVER, limits.head_bytes)
            if trailing:
                self._state.receive_data(trailing)
        self._limits = limits

    async def _read_head(self) -> RequestHead:
        event = await self._event()
        if not isinstance(event, h11.Request):
            raise CallerGoneError
        head = RequestHead(bytes(event.method), bytes(event.target), tuple(event.headers))
        self._method = head.method
        _check_method(head)
        _check_framing(head)
        _check_size(head, self._limits.head_bytes)
        if self._state.they_are_waiting_for_100_continue:
            await self._send(self._state.send(h11.InformationalResponse(status_code=100, headers=[])) or b'')
        return head

    async def _read_body(self, head: RequestHead) -> bytes:
        parts: list[bytes] = []
        size = 0
        keep = self._held.admits(int(header(head.headers, b'content-length') or 0))
        while part := await self._body_part():
            size += len(part)
            if size > self._limits.body_bytes:
                raise RejectedRequestError(BODY_TOO_LARGE, f'the body is over {self._limits.body_bytes} bytes')
            keep = keep and self._keep_part(parts, part)
        if not keep:
            raise NoRoomError(head)
        return b''.join(parts)

    async def _body_part(self) -> bytes:
        """Return the next part of the body; empty at its end."""
        while True:
            event = await self._event()
            if isinstance(event, h11.EndOfMessage):
                return b''
            if not isinstance(event, h11.Data):
                raise CallerGoneError
            if event.data:
                return bytes(event.data)

    def _keep_part(self, parts: list[bytes], part: bytes) -> bool:
        """Keep a part of a body; return False, and drop those before it, if too many bytes are held."""
        if self._held.admits(len(part)):
            parts.append(part)
            self._body_size += len(part)
            self._held.add_body(len(part))
            return True
        parts.clear()
        self.release_request()
        return False

    async def _event(self) -> object:
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                await self._turns.note_event()
                return event
            received = await self._receive()
            if not received:
                raise CallerGoneError
            self._state.receive_data(received)

    def _next_event(self) -> object:
        try:
            return self._state.next_event()
        except h11.RemoteProtocolError as exc:
            status = HEAD_TOO_LARGE if exc.error_status_hint == HEAD_TOO_LARGE else BAD_REQUEST
            raise RejectedRequestError(status, str(exc)) from exc

    async def _receive(self) -> bytes:
        try:
            return await self._transport.receive_some(RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b''


def _check_method(head: RequestHead) -> None:
    """Reject a request for a tunnel, which names no path and whose answer would no longer be HTTP."""
    if head.method == b'CONNECT':
        raise RejectedRequestError(BAD_REQUEST, 'CONNECT is not served')


def _check_framing(head: RequestHead) -> None:
    """Reject a request with more than one framing header.

    This guards against request smuggling: with two framings, a runner might
    take a part of the body for a separate request.
    """
    names = [name for name, _ in head.headers if name in {b'content-length', b'transfer-encoding'}]
    if len(names) > 1:
        raise RejectedRequestError(BAD_REQUEST, 'more than one length')


def _check_size(head: RequestHead, limit: int) -> None:
    """Reject a head above the limit that arrived in one piece.

    The parser checks the size only while a head is incomplete.
    """
    fields = sum(len(name) + len(text) + FIELD_OVERHEAD_BYTES for name, text in head.headers)
    if len(head.method) + len(head.target) + fields > limit:
        raise RejectedRequestError(HEAD_TOO_LARGE, f'the head is over {limit} bytes')


__all__ = ('CallerGoneError', 'NoRoomError', 'ReceivedRequest', 'ServerConn', 'ServerLimits')
