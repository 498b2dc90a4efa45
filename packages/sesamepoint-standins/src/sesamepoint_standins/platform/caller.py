"""Stand-in for callers of a front, with their requests and answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.http1.client import ClientConn, any_answer
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError, RequestHead, header
from sesamepoint.platform import names
from sesamepoint_core.units import MS_PER_S
from sesamepoint_standins.platform.runner import body_of, event_of

if TYPE_CHECKING:
    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.transport import Network
    from sesamepoint_core.serving.address import Address

CONNECT_S = 1.0


class Asked(NamedTuple):
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

    @property
    def head(self) -> RequestHead:
        """Return the head of the HTTP request."""
        headers = [
            (b'host', self.host.encode()),
            (names.REQUEST_ID, self.request_id.encode()),
            (names.DEADLINE_MS, str(int(self.deadline_s * MS_PER_S)).encode()),
            (b'content-length', str(len(self.body)).encode()),
        ]
        if self.parts:
            encoded = ','.join(f'{key}:{tokens}' for key, tokens in self.parts)
            tokens = sum(tokens for _, tokens in self.parts)
            headers.append((names.PROMPT_PARTS, encoded.encode()))
            headers.append((names.TOKEN_COUNTS, f'{tokens},{self.output}'.encode()))
            headers.append((names.MODEL, b'm'))
        return RequestHead(self.method.encode(), self.path.encode(), (*headers, *self.extra))

    @property
    def expected(self) -> bytes:
        """Return the body of a correct answer."""
        if not self.parts:
            return body_of(self.request_id)
        return b''.join(event_of(self.request_id, number) for number in range(1, self.output + 1))


class Seen(NamedTuple):
    """Answer as the caller received it; ``status`` is 0 if there was none.

    ``first_s`` is the time from the request to the first bytes of the body,
    ``pause_s`` the longest gap between its chunks, both in seconds. ``signed``
    tells whether the answer has a runner's signature.
    """

    status: int
    body: bytes
    whole: bool
    took_s: float
    first_s: float = 0
    pause_s: float = 0
    retry_after_s: float | None = None
    signed: bool = False


class Caller:
    """Caller with one connection that is kept open."""

    def __init__(self, network: Network, front: Address) -> None:
        """Call the front at this address."""
        self._network = network
        self._front = front
        self._conn: ClientConn | None = None

    async def ask(self, asked: Asked) -> Seen:
        """Send a request and return its answer; disconnect at the time limits of the request."""
        started = trio.current_time()
        answer = _Answer(started)
        with trio.move_on_after(asked.deadline_s), answer.patience:
            answer.patience.deadline = started + asked.first_limit_s
            await self._ask(asked, answer)
        if not answer.whole:
            self.leave()
        return answer.seen()

    def leave(self) -> None:
        """Close the connection, even during a request."""
        if self._conn:
            self._conn.close()
        self._conn = None

    async def _ask(self, asked: Asked, answer: _Answer) -> None:
        try:
            conn = await self._connected()
            await conn.send(conn.begin(asked.head, asked.body))
            reply = await conn.head(any_answer)
            answer.begin(reply.status, reply.headers)
            while chunk := await conn.chunk():
                answer.add(chunk)
        except (ConnBrokenError, ConnectFailedError):
            return
        answer.whole = True
        if not conn.recycle():
            self.leave()

    async def _connected(self) -> ClientConn:
        if self._conn is None or not self._conn.quiet():
            self._conn = ClientConn(await self._network.connect(self._front, CONNECT_S))
        return self._conn


class _Answer:
    def __init__(self, started: float) -> None:
        self.whole = False
        self.patience = trio.CancelScope()
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
        self.patience.deadline = math.inf

    def seen(self) -> Seen:
        pauses = [after - before for before, after in zip(self._times, self._times[1:], strict=False)]
        retry_after = header(self._headers, names.RETRY_AFTER)
        return Seen(
            status=self._status,
            body=self._body,
            whole=self.whole,
            took_s=trio.current_time() - self._started,
            first_s=self._times[0] - self._started if self._times else 0,
            pause_s=max(pauses, default=0),
            retry_after_s=float(retry_after) if retry_after else None,
            signed=header(self._headers, names.SIGNATURE) is not None,
        )


__all__ = ('Asked', 'Caller', 'Seen')
