"""Stand-in for callers of a front, with their requests and answers."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint.http1.client import ClientConn, accept_any
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError, RequestHead, header
from sesamepoint.platform import wire_names
from sesamepoint_core.units import MS_PER_S
from sesamepoint_standins.platform.runner_answers import plain_body, stream_event

if TYPE_CHECKING:
    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.transport import Network
    from sesamepoint_core.serving.address import Address

CONNECT_TIMEOUT_S = 1.0
EVENT_STREAM = b'text/event-stream'
_LINE_END = re.compile(rb'\r\n|\r')


class RequestSpec(NamedTuple):
    """Request of a caller.

    The caller disconnects at ``deadline_s``, or after ``first_limit_s`` without
    any bytes of the answer's body, both in seconds from the start.
    """

    request_id: str
    host: str
    path: str
    deadline_s: float
    method: str = 'POST'
    parts: tuple[tuple[str, int], ...] = ()
    output: int = 0
    body: bytes = b'{}'
    extra: Headers = ()
    first_limit_s: float = math.inf
    # A caller that speaks HTTP/1.0 takes the end of the connection for the end of an answer without a length.
    http10: bool = False

    @property
    def head(self) -> RequestHead:
        """Return the head of the HTTP request."""
        headers = [
            (b'host', self.host.encode()),
            (wire_names.REQUEST_ID, self.request_id.encode()),
            (wire_names.DEADLINE_MS, str(int(self.deadline_s * MS_PER_S)).encode()),
            (b'content-length', str(len(self.body)).encode()),
        ]
        if self.parts:
            encoded = ','.join(f'{key}:{tokens}' for key, tokens in self.parts)
            tokens = sum(tokens for _, tokens in self.parts)
            headers.append((wire_names.PROMPT_PREFIX, encoded.encode()))
            headers.append((wire_names.TOKEN_COUNTS, f'{tokens},{self.output}'.encode()))
            headers.append((wire_names.MODEL, b'm'))
            # An estimate, off by a half or more at times.
            headers.append((b'sesamepoint-length-hint', str(self.output // 2 + 1).encode()))
        return RequestHead(self.method.encode(), self.path.encode(), (*headers, *self.extra))

    @property
    def expected_body(self) -> bytes:
        """Return the body of a correct answer."""
        if not self.parts:
            return plain_body(self.request_id)
        return b''.join(stream_event(self.request_id, number) for number in range(1, self.output + 1))


class CallerAnswer(NamedTuple):
    """Answer as the caller received it; ``status`` is 0 if there was none.

    The line ends of an event stream are LF in ``body``; ``raw`` has them as they came.

    ``first_byte_s`` is the time from the request to the first bytes of the body,
    ``max_gap_s`` the longest gap between its chunks, both in seconds. ``has_signature``
    tells whether the answer has a runner's signature.
    """

    status: int
    body: bytes
    complete: bool
    took_s: float
    first_byte_s: float = 0
    max_gap_s: float = 0
    retry_after_s: float | None = None
    has_signature: bool = False
    # Its content length; None without one.
    length: int | None = None
    raw: bytes = b''

    @property
    def half_event(self) -> bytes:
        """Return the bytes after the last whole event of a stream."""
        return self.body.rpartition(b'\n\n')[2]


class Caller:
    """Caller with one connection that is kept open."""

    def __init__(self, network: Network, front: Address) -> None:
        """Call the front at this address."""
        self._network = network
        self._front = front
        self._conn: ClientConn | None = None

    async def send(self, spec: RequestSpec) -> CallerAnswer:
        """Send a request and return its answer; disconnect at the time limits of the request."""
        started = trio.current_time()
        answer = _AnswerRecorder(started)
        with trio.move_on_after(spec.deadline_s), answer.first_byte_scope:
            answer.first_byte_scope.deadline = started + spec.first_limit_s
            await self._exchange(spec, answer)
        if not answer.complete:
            self.disconnect()
        return answer.summary()

    def disconnect(self) -> None:
        """Close the connection, even during a request."""
        if self._conn:
            self._conn.close()
        self._conn = None

    async def _exchange(self, spec: RequestSpec, answer: _AnswerRecorder) -> None:
        try:
            conn = await self._open_connection()
            await conn.send(_on_wire(spec, conn.start_request(spec.head, spec.body)))
            reply = await conn.read_head(accept_any)
            answer.begin(reply.status, reply.headers)
            part = await conn.read_part()
            while isinstance(part, bytes):
                answer.add(part)
                part = await conn.read_part()
        except (ConnBrokenError, ConnectFailedError):
            return
        answer.complete = seems_whole(conn.framing, part)
        if not conn.recycle():
            self.disconnect()

    async def _open_connection(self) -> ClientConn:
        if self._conn is None or not self._conn.is_idle():
            self._conn = ClientConn(await self._network.connect(self._front, CONNECT_TIMEOUT_S))
        return self._conn


def with_lf(stream: bytes) -> bytes:
    """Return an event stream with LF line ends."""
    return _LINE_END.sub(b'\n', stream)


def seems_whole(framing: Framing, read_end: ReadEnd) -> bool:
    """Tell whether a client takes an answer that ended like this for whole.

    It takes a close for the end of an answer with neither a length nor chunks.
    """
    return read_end is ReadEnd.last_byte or (framing is Framing.until_close and read_end is ReadEnd.closed)


def _on_wire(spec: RequestSpec, request_bytes: bytes) -> bytes:
    return request_bytes.replace(b' HTTP/1.1\r\n', b' HTTP/1.0\r\n', 1) if spec.http10 else request_bytes


class _AnswerRecorder:
    def __init__(self, started: float) -> None:
        self.complete = False
        self.first_byte_scope = trio.CancelScope()
        self._started = started
        self._status = 0
        self._headers: Headers = ()
        self._body = b''
        self._times: list[float] = []

    def begin(self, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers

    def add(self, chunk: bytes) -> None:
        self._body += chunk
        self._times.append(trio.current_time())
        self.first_byte_scope.deadline = math.inf

    def summary(self) -> CallerAnswer:
        pauses = [after - before for before, after in zip(self._times, self._times[1:], strict=False)]
        retry_after = header(self._headers, wire_names.RETRY_AFTER)
        length = header(self._headers, b'content-length')
        streamed = header(self._headers, b'content-type') == EVENT_STREAM
        return CallerAnswer(
            status=self._status,
            body=with_lf(self._body) if streamed else self._body,
            raw=self._body,
            complete=self.complete,
            took_s=trio.current_time() - self._started,
            first_byte_s=self._times[0] - self._started if self._times else 0,
            max_gap_s=max(pauses, default=0),
            retry_after_s=float(retry_after) if retry_after else None,
            has_signature=header(self._headers, wire_names.SIGNATURE) is not None,
            length=int(length) if length else None,
        )


__all__ = ('Caller', 'CallerAnswer', 'RequestSpec', 'seems_whole', 'with_lf')
