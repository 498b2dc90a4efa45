"""Stand-in for runners: plain services, and engines for prefill or decode."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from sesamepoint_core.serving.kv_cache import CacheModel
from sesamepoint_core.serving.prompt import Part
from sesamepoint.http1.messages import RejectedMessageError, header
from sesamepoint.http1.server import CallerGoneError, Message, ServerConn, ServerLimits
from sesamepoint.platform import names
from sesamepoint.single_error import single_error
from sesamepoint_standins.platform.network import MemoryTransport

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.transport import Transport

STATUS_OK = 200
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
EXTRA_ANSWER = (
    b'HTTP/1.1 200 OK\r\nsesamepoint-request-id: %b\r\nsesamepoint-server-stamp: x\r\ncontent-length: 2\r\n\r\nno'
)


class EngineSpeed(NamedTuple):
    """Performance of an engine.

    The defaults are the figures of the smaller deployment's sheet. Rates are in
    tokens/s; an event of a stream takes ``stride`` steps of ``step_s`` seconds,
    plus ``step_slot_s`` for each running request.
    """

    tokens_s: float = 112_000.0
    overhead_s: float = 0.031
    step_s: float = 0.0034
    step_slot_s: float = 0.0001
    stride: int = 10
    # Transfer of prefix blocks from another engine: 370 Gbit/s, 18 KB a token.
    fetch_s: float = 0.025
    fetch_tokens_s: float = 2_500_000.0
    kv_tokens: int = 548_319
    slots: int = 24


@dataclass
class Run:
    """Run of one request at a runner."""

    request_id: str
    message: Message
    started: float
    ended: float | None = None
    whole: bool = False
    prefill: bool = False


class Told(NamedTuple):
    """Status that a runner reported in an answer to the host ``sender``.

    ``rest_s`` is the requested back-off in seconds, 0 without one.
    """

    at: float
    sender: str
    leaving: bool
    rest_s: float
    request: str = ''


@dataclass
class Faults:
    """Current faults of a runner."""

    rejects: bool = False
    fails: bool = False
    hangs: bool = False
    breaks_at_event: int | None = None
    breaks_before_answer: bool = False
    # Share of the requests that run but whose connection is reset before the answer.
    loses: float = 0
    answers_twice: bool = False
    unsigned: bool = False


@dataclass
class RunnerStandIn:
    """Stand-in for a runner; ``stage`` is None for a plain service."""

    key: str
    service: str
    address: Address
    zone: str
    stage: str | None = None
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    work_s: float = 0.03
    faults: Faults = field(default_factory=Faults)
    leaving: bool = False
    tells_kept: bool = True
    born_ms: int = 0
    # Runners from which this one can fetch prefix blocks, by address.
    others: dict[str, RunnerStandIn] = field(default_factory=dict)
    # Values of the rate limit headers in its answers.
    names_limit: tuple[bytes, ...] = ()
    # Values of the draining headers in its answers.
    says_leaving: tuple[bytes, ...] = ()
    # Values of the back-off headers in answers that reject a request.
    asks_rest: tuple[bytes, ...] = ()
    # Host whose requests the fault ``rejects`` applies to; empty for all hosts.
    rejects_from: str = ''
    # Reports of draining or back-off that were sent.
    told: list[Told] = field(default_factory=list)
    # Arrival times of all requests, including inventory calls and releases of KV handles.
    arrivals: list[float] = field(default_factory=list)
    # Their ids, empty for requests that no caller sent.
    requests: list[str] = field(default_factory=list)
    # Their sending hosts.
    senders: list[str] = field(default_factory=list)
    # Arrival times of requests that were rejected as meant for another incarnation.
    misdirected_at: set[float] = field(default_factory=set)
    # Arrival times of inventory calls and releases of KV handles that no caller sent.
    besides_at: set[float] = field(default_factory=set)
    # A request whose body contains these bytes crashes the runner when it starts to run.
    ends_on: bytes = b''
    # Called when such a request starts to run.
    on_end: Callable[[RunnerStandIn], None] | None = None
    runs: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start without requests."""
        self.cache = CacheModel(self.speed.kv_tokens)
        self.running = 0
        self.misdirected = 0
        self.listings = 0
        self._reading = trio.Lock()
        self._places = trio.Semaphore(self.speed.slots)
        self._read_s: float = 0
        self._handles: dict[str, str] = {}
        self._rng = Random(self.key)

    @property
    def record(self) -> dict[str, object]:
        """Return its registration, as stored in the platform's store."""
        found: dict[str, object] = {
            'service': self.service,
            'address': str(self.address),
            'zone': self.zone,
            'version': 'v1',
            'slots': self.speed.slots,
            'state': 'draining' if self.leaving else 'ready',
            'cold_remaining_ms': 0,
            'sequence': 0,
        }
        if self.born_ms:
            found['born'] = self.born_ms
        return {**found, 'stage': self.stage, 'models': [{'name': 'm', 'version': 1}]} if self.stage else found

    def arrived(self, since: float, until: float) -> int:
        """Return how many requests arrived from ``since`` until before ``until``."""
        return bisect_left(self.arrivals, until) - bisect_left(self.arrivals, since)

    def start_again(self, born_ms: int) -> None:
        """Restart under the same key, with an empty cache and no KV handles."""
        self.born_ms = born_ms
        self.cache = CacheModel(self.speed.kv_tokens)
        self._handles = {}

    async def serve(self, transport: Transport) -> None:
        """Serve one connection."""
        conn = ServerConn(transport, ServerLimits())
        try:
            while await conn.first_byte():
                await self._serve_request(conn, await conn.request(), transport)
                if not conn.reusable:
                    return
                conn.next_cycle()
        except (CallerGoneError, RejectedMessageError):
            return
        finally:
            transport.close()

    async def _serve_request(self, conn: ServerConn, message: Message, transport: Transport) -> None:
        self._note_arrival(message, transport)
        if message.head.method == b'DELETE':
            self._handles.pop(message.head.target.decode().rpartition('/')[2], None)
            await conn.whole(STATUS_OK, self._words(transport), b'')
            return
        if message.head.target == names.KV_LIST_PATH.encode():
            self.listings += 1
            held = [['', part.key, part.tokens, 'm'] for part in self.cache.kept]
            inventory = {'epoch': 1, 'next_token': 0, 'held': held}
            body = msgspec.json.encode({**inventory, 'born': self.born_ms} if self.born_ms else inventory)
            status = STATUS_OK if self.tells_kept and not self.faults.rejects else STATUS_UNAVAILABLE
            await conn.whole(status, self._words(transport, status), body)
            return
        with single_error():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_gone, conn, nursery.cancel_scope)
                await self._run(conn, message, transport)
                nursery.cancel_scope.cancel()

    def _note_arrival(self, message: Message, transport: Transport) -> None:
        self.arrivals.append(trio.current_time())
        self.senders.append(transport.peer)
        self.requests.append((header(message.head.headers, names.REQUEST_ID) or b'').decode())
        if not self.requests[-1]:
            self.besides_at.add(self.arrivals[-1])

    async def _run(self, conn: ServerConn, message: Message, transport: Transport) -> None:
        headers = message.head.headers
        expected = header(headers, names.EXPECT_INCARNATION)
        if expected is not None and expected.decode() != self.key:
            self.misdirected += 1
            self.misdirected_at.add(self.arrivals[-1])
            own = (names.INCARNATION, self.key.encode())
            return await conn.whole(STATUS_MISDIRECTED, (*self._echo(message, transport), own), b'')
        if self.faults.rejects and self.rejects_from in {'', transport.peer}:
            echo = self._echo(message, transport, STATUS_UNAVAILABLE)
            return await conn.whole(STATUS_UNAVAILABLE, (*echo, (names.NOT_RUN, b'1')), b'')
        run = Run((header(headers, names.REQUEST_ID) or b'').decode(), message, trio.current_time())
        run.prefill = header(headers, names.STAGE) == b'prefill'
        self.runs.append(run)
        self.running += 1
        try:
            return await self._work(conn, run, transport)
        finally:
            self.running -= 1
            run.ended = trio.current_time()

    async def _work(self, conn: ServerConn, run: Run, transport: Transport) -> None:
        if self.faults.hangs:
            await trio.sleep_forever()
        if self.faults.breaks_before_answer:
            return _reset(transport)
        if self.faults.loses > self._rng.random():
            await trio.sleep(self.work_s)
            return _reset(transport)
        if header(run.message.head.headers, names.TOKEN_COUNTS) is None:
            return await self._answer_plain(conn, run, transport)
        return await self._answer_prompt(conn, run, transport)

    async def _end_if_harmful(self, run: Run) -> None:
        """Crash this runner with all its requests if ``run`` is a poison request."""
        if self.ends_on and self.ends_on in run.message.body and self.on_end is not None:
            self.on_end(self)
            await trio.sleep_forever()

    async def _answer_plain(self, conn: ServerConn, run: Run, transport: Transport) -> None:
        await self._end_if_harmful(run)
        await trio.sleep(self.work_s)
        status = 500 if self.faults.fails else STATUS_OK
        await conn.whole(status, self._signed(run.message, transport), body_of(run.request_id))
        run.whole = True
        if self.faults.answers_twice:
            await transport.send_all(EXTRA_ANSWER % run.request_id.encode())

    async def _answer_prompt(self, conn: ServerConn, run: Run, transport: Transport) -> None:
        headers = run.message.head.headers
        source = (header(headers, names.KV_SOURCE) or b'').decode()
        parts, output = _prompt(run.message)
        if run.prefill:
            return await self._answer_prefill(conn, run, parts, transport)
        async with self._places:
            if not source:
                await self._fetch(run.message, parts)
                await self._read(parts)
            self.cache.touch(parts)
            await self._end_if_harmful(run)
            await self._stream(conn, run, output, transport)

    async def _answer_prefill(self, conn: ServerConn, run: Run, parts: list[Part], transport: Transport) -> None:
        await self._fetch(run.message, parts)
        await self._read(parts)
        self.cache.touch(parts)
        kv_handle = f'h{len(self.runs)}'
        self._handles[kv_handle] = run.request_id
        body = msgspec.json.encode({'kv_handle': kv_handle, 'tokens': 1, 'version': 1})
        await conn.whole(STATUS_OK, self._echo(run.message, transport), body)

    async def _fetch(self, message: Message, parts: list[Part]) -> None:
        """Fetch the prefix blocks that another engine has cached and this one has not."""
        address = header(message.head.headers, names.KV_FETCH)
        source = self.others.get(address.decode()) if address else None
        if source is None:
            return
        cached_tokens = source.cache.cached(parts)
        fetched_tokens = cached_tokens - self.cache.cached(parts)
        if fetched_tokens <= 0:
            return
        await trio.sleep(self.speed.fetch_s + fetched_tokens / self.speed.fetch_tokens_s)
        self.cache.touch(_head_of(parts, cached_tokens))

    async def _read(self, parts: list[Part]) -> None:
        slowdown = 2 if self.stage == 'decode' else 1
        async with self._reading:
            uncached_tokens = sum(part.tokens for part in parts) - self.cache.cached(parts)
            prefill_s = slowdown * uncached_tokens / self.speed.tokens_s
            await trio.sleep(prefill_s)
            self._read_s += prefill_s
        await trio.sleep(self.speed.overhead_s)

    async def _stream(self, conn: ServerConn, run: Run, output: int, transport: Transport) -> None:
        after = int(header(run.message.head.headers, names.LAST_EVENT) or 0)
        event_type = (b'content-type', b'text/event-stream')
        await conn.begin(STATUS_OK, (*self._signed(run.message, transport), event_type))
        for number in range(after + 1, output + 1):
            if after == 0 and number == self.faults.breaks_at_event:
                await conn.part(b'id: 99\nda')
                return _reset(transport)
            await self._steps()
            await conn.part(event_of(run.request_id, number))
        await conn.end()
        run.whole = True
        return None

    async def _steps(self) -> None:
        """Generate the tokens of one event; concurrent prefill delays them by its duration."""
        earlier_prefill_s = self._read_s
        await trio.sleep(self.speed.stride * (self.speed.step_s + self.speed.step_slot_s * self.running))
        await trio.sleep(self._read_s - earlier_prefill_s)

    def _echo(self, message: Message, transport: Transport, status: int = STATUS_OK) -> Headers:
        request_id = header(message.head.headers, names.REQUEST_ID) or b''
        return ((names.REQUEST_ID, request_id), *self._words(transport, status, request_id.decode()))

    def _words(self, transport: Transport, status: int = STATUS_OK, request: str = '') -> Headers:
        """Return the status headers of an answer, and record a report of draining or back-off."""
        back_off = self.asks_rest if status == STATUS_UNAVAILABLE else ()
        if self.says_leaving or back_off:
            self.told.append(
                Told(trio.current_time(), transport.peer, bool(self.says_leaving), _longest(back_off), request)
            )
        return (
            *((names.RUNNER_LIMIT, text) for text in self.names_limit),
            *((names.RUNNER_LEAVING, text) for text in self.says_leaving),
            *((names.RETRY_AFTER, text) for text in back_off),
        )

    def _signed(self, message: Message, transport: Transport) -> Headers:
        if self.faults.unsigned:
            return self._echo(message, transport)
        return (*self._echo(message, transport), (names.SIGNATURE, self.key.encode()))


def _longest(texts: tuple[bytes, ...]) -> float:
    """Return the longest back-off that the header values request, in seconds."""
    return max((float(text) for text in texts if text.isdigit()), default=0)


def body_of(request_id: str) -> bytes:
    """Return the body of the answer of any plain runner."""
    return f'answer to {request_id}'.encode()


def event_of(request_id: str, number: int) -> bytes:
    """Return one event of the stream of an answer."""
    return f'id: {number}\ndata: {request_id} {number}\n\n'.encode()


def _prompt(message: Message) -> tuple[list[Part], int]:
    counts = header(message.head.headers, names.TOKEN_COUNTS) or b'0,0'
    encoded = (header(message.head.headers, names.PROMPT_PARTS) or b'').decode()
    blocks = [block.partition(':') for block in encoded.split(',') if block]
    return [Part(key, int(tokens)) for key, _, tokens in blocks], int(counts.split(b',')[1])


def _head_of(parts: list[Part], tokens: int) -> list[Part]:
    """Return the leading prefix blocks that ``tokens`` tokens cover completely."""
    ends = accumulate(part.tokens for part in parts)
    return [part for part, end in zip(parts, ends, strict=True) if end <= tokens]


def _reset(transport: Transport) -> None:
    """Reset the connection if it is in memory."""
    if isinstance(transport, MemoryTransport):
        transport.reset()


async def _cancel_when_gone(conn: ServerConn, scope: trio.CancelScope) -> None:
    await conn.watch()
    scope.cancel()


__all__ = ('EngineSpeed', 'Faults', 'Run', 'RunnerStandIn', 'Told', 'body_of', 'event_of')
