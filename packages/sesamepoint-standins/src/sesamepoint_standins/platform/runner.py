"""Stand-in for runners: plain services, and engines for prefill or decode."""

from __future__ import annotations

import zlib
from bisect import bisect_left
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.body_end.body_facts import Framing
from sesamepoint_core.serving.kv_cache import CacheModel
from sesamepoint_core.serving.prompt import Part
from sesamepoint.http1.messages import RejectedRequestError, header
from sesamepoint.http1.server import CallerGoneError, ReceivedRequest, ServerConn, ServerLimits
from sesamepoint.platform import wire_names
from sesamepoint.single_error import single_error
from sesamepoint_standins.platform.answer_habits import AnswerHabits
from sesamepoint_standins.platform.endless_answers import ENDLESS_ANSWERS
from sesamepoint_standins.platform.runner_answers import (
    leading_parts,
    parse_prompt,
    plain_body,
    stream_events,
)
from sesamepoint_standins.platform.runner_state import (
    EngineSpeed,
    Faults,
    Run,
    RunnerObserver,
    StatusReport,
    sleep_while_frozen,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.transport import Transport

STATUS_OK = 200
HEALTH_PATH = b'/healthz'
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
REJECTION = b'no room'
# More than the delay of any link.
DELIVERY_S = 0.005
SURPLUS_ANSWER = (
    b'HTTP/1.1 200 OK\r\nsesamepoint-request-id: %b\r\nsesamepoint-server-stamp: x\r\ncontent-length: 2\r\n\r\nno'
)


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
    draining: bool = False
    # Whether it leaves without having announced that, so that only its health page shows it.
    leaving: bool = False
    # Whether its heartbeats have growing numbers; else all have the same one.
    counts_heartbeats: bool = False
    serves_inventory: bool = True
    born_ms: int = 0
    # Version of its software, which its events carry if they are marked.
    version: str = 'v1'
    marks_events: bool = False
    # What marks the end of its answers, and the line ends of its streams; drawn for each answer if None.
    framing: Framing | None = None
    line_end: bytes | None = None
    # Whether it ends a connection after its report.
    closes_after_report: bool = False
    # Runners from which this one can fetch prefix blocks, by address.
    engines_by_address: dict[str, RunnerStandIn] = field(default_factory=dict)
    # Values of the rate limit headers in its answers.
    limit_headers: tuple[bytes, ...] = ()
    # Values of the draining headers in its answers.
    draining_headers: tuple[bytes, ...] = ()
    # Values of the back-off headers in answers that reject a request.
    back_off_headers: tuple[bytes, ...] = ()
    # Host whose requests the fault ``rejects`` applies to; empty for all hosts.
    rejected_host: str = ''
    # Reports of draining or back-off that were sent.
    status_reports: list[StatusReport] = field(default_factory=list)
    # Arrival times of all requests, including inventory calls and releases of KV handles.
    arrivals: list[float] = field(default_factory=list)
    # Their ids, empty for requests that no caller sent.
    request_ids: list[str] = field(default_factory=list)
    # Their sending hosts.
    sender_hosts: list[str] = field(default_factory=list)
    # Arrival times of requests that were rejected as meant for another incarnation.
    misdirected_at: set[float] = field(default_factory=set)
    # Arrival times of inventory calls and releases of KV handles that no caller sent.
    internal_at: set[float] = field(default_factory=set)
    # A request whose body contains these bytes crashes the runner when it starts to run.
    crash_marker: bytes = b''
    # A request whose prompt has one of these parts, other than as its last one, crashes the runner when it starts to
    # write its answer. Its first event may come out before.
    crash_parts: frozenset[str] = frozenset()
    # Called when such a request starts to run.
    on_crash: Callable[[RunnerStandIn], None] | None = None
    runs: list[Run] = field(default_factory=list)
    # What records its requests and sets its faults from outside its process, if anything does.
    observer: RunnerObserver | None = None
    # Times of calls to the health page.
    health_calls: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start without requests."""
        self.cache = CacheModel(self.speed.kv_tokens)
        self.running = 0
        self.heartbeats = 0
        self.misdirected_count = 0
        self.inventory_calls = 0
        self.report_calls = 0
        self._prefill_lock = trio.Lock()
        self._slots = trio.Semaphore(self.speed.slots)
        self._prefilled_s: float = 0
        self._kv_handles: dict[str, str] = {}
        self._rng = Random(self.key)
        self.habits = AnswerHabits(self.key)
        self.habits.framing = self.framing
        self.habits.line_end = self.line_end
        self._key_word = zlib.crc32(self.key.encode())

    @property
    def registration(self) -> dict[str, object]:
        """Return its registration, as stored in the platform's store."""
        found: dict[str, object] = {
            'service': self.service,
            'address': str(self.address),
            'zone': self.zone,
            'version': self.version,
            'slots': self.speed.slots,
            'state': 'draining' if self.draining else 'ready',
            # Fields that the system has no use for, and must accept with any value.
            'cold_remaining_ms': 250 * (self._key_word % 4),
            'sequence': self._key_word % 7 + self.heartbeats,
        }
        if self.born_ms:
            found['born'] = self.born_ms
        return (
            {**found, 'stage': self.stage, 'models': [{'name': 'm', 'version': 1 + self._key_word % 3, 'adapters': []}]}
            if self.stage
            else found
        )

    @property
    def report(self) -> dict[str, object]:
        """Return what it reports of itself."""
        born = {'born': self.born_ms} if self.born_ms and not self.faults.hides_start else {}
        return {'stage': self.stage, 'running': self.running, **born}

    def count_arrivals(self, since: float, until: float) -> int:
        """Return how many requests arrived from ``since`` until before ``until``."""
        return bisect_left(self.arrivals, until) - bisect_left(self.arrivals, since)

    def restart(self, born_ms: int, version: str = 'v1') -> None:
        """Restart under the same key, with an empty cache and no KV handles."""
        self.born_ms = born_ms
        self.version = version
        self.cache = CacheModel(self.speed.kv_tokens)
        self._kv_handles = {}

    async def serve(self, transport: Transport) -> None:
        """Serve one connection."""
        conn = ServerConn(transport, ServerLimits)
        try:
            while await conn.wait_for_request():
                message = await conn.read_request()
                if self.observer is not None:
                    self.faults = self.observer.current_faults()
                await sleep_while_frozen(self.faults)
                await self._serve_request(conn, message, transport)
                if not conn.reusable:
                    return
                conn.start_next_cycle()
        except (CallerGoneError, RejectedRequestError):
            return
        finally:
            transport.close()

    async def _serve_request(self, conn: ServerConn, message: ReceivedRequest, transport: Transport) -> None:
        self._record_arrival(message, transport)
        if message.head.method == b'DELETE':
            self._kv_handles.pop(message.head.target.decode().rpartition('/')[2], None)
            return await self._answer(conn, transport, STATUS_OK, self._status_headers(transport))
        if message.head.target == HEALTH_PATH:
            self.health_calls.append(trio.current_time())
            status = _health_status(self)
            named = ((wire_names.INCARNATION, self.key.encode()),)
            return await self._answer(conn, transport, status, (*named, *self._status_headers(transport, status)))
        if message.head.target == wire_names.REPORT_PATH.encode():
            self.report_calls += 1
            conn.closing = self.closes_after_report
            report = await _report_body(self)
            return await self._answer(conn, transport, STATUS_OK, self._status_headers(transport), report)
        if message.head.target == wire_names.KV_LIST_PATH.encode():
            self.inventory_calls += 1
            held = [['', part.key, part.tokens, 'm'] for part in self.cache.blocks]
            inventory = {'epoch': 1, 'next_token': 0, 'held': held}
            body = msgspec.json.encode({**inventory, 'born': self.born_ms} if self.born_ms else inventory)
            status = STATUS_OK if self.serves_inventory and not self.faults.rejects else STATUS_UNAVAILABLE
            return await self._answer(conn, transport, status, self._status_headers(transport, status), body)
        with single_error():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_gone, conn, nursery.cancel_scope)
                await self._run(conn, message, transport)
                nursery.cancel_scope.cancel()
        return None

    def _record_arrival(self, message: ReceivedRequest, transport: Transport) -> None:
        self.arrivals.append(trio.current_time())
        self.sender_hosts.append(transport.peer)
        self.request_ids.append((header(message.head.headers, wire_names.REQUEST_ID) or b'').decode())
        if not self.request_ids[-1]:
            self.internal_at.add(self.arrivals[-1])
        if self.observer is not None:
            self.observer.note_arrival(self.request_ids[-1])

    async def _run(self, conn: ServerConn, message: ReceivedRequest, transport: Transport) -> None:
        headers = message.head.headers
        expected = header(headers, wire_names.EXPECT_INCARNATION)
        if expected is not None and expected.decode() != self.key:
            self.misdirected_count += 1
            self.misdirected_at.add(self.arrivals[-1])
            own = (wire_names.INCARNATION, self.key.encode())
            return await self._answer(conn, transport, STATUS_MISDIRECTED, (*self._echo(message, transport), own))
        if self.faults.drops:
            return transport.reset()
        if self.faults.rejects and self.rejected_host in {'', transport.peer}:
            echo = self._echo(message, transport, STATUS_UNAVAILABLE)
            headers = (*echo, (wire_names.NOT_EXECUTED, b'1'))
            return await self._answer(conn, transport, STATUS_UNAVAILABLE, headers, REJECTION)
        run = Run((header(headers, wire_names.REQUEST_ID) or b'').decode(), message, trio.current_time())
        run.prefill = header(headers, wire_names.SERVING_STAGE) == b'prefill'
        self.runs.append(run)
        if run.prefill and self.observer is not None:
            self.observer.note_prefill(run.request_id)
        self.running += 1
        try:
            await self._work(conn, run, transport)
        finally:
            self.running -= 1
            run.ended_at = trio.current_time()

    async def _work(self, conn: ServerConn, run: Run, transport: Transport) -> None:
        if self.faults.hangs:
            await trio.sleep_forever()
        if self.faults.breaks_before_answer or self.faults.closes:
            return transport.close() if self.faults.closes else transport.reset()
        if self.faults.endless:
            return await ENDLESS_ANSWERS[self.faults.endless].send(transport)
        if self.faults.loses > self._rng.random():
            await trio.sleep(self.work_s)
            return transport.reset()
        if self.faults.fails or header(run.message.head.headers, wire_names.TOKEN_COUNTS) is None:
            return await self._answer_plain(conn, run, transport)
        return await self._answer_prompt(conn, run, transport)

    async def _crash_if_poison(self, run: Run) -> None:
        """Crash this runner with all its requests if ``run`` is a poison request."""
        if self.crash_marker and self.crash_marker in run.message.body and self.on_crash is not None:
            self.on_crash(self)
            await trio.sleep_forever()

    async def _answer_plain(self, conn: ServerConn, run: Run, transport: Transport) -> None:
        await self._crash_if_poison(run)
        await trio.sleep(self.work_s)
        status = self.faults.failure_status if self.faults.fails else STATUS_OK
        headers = self._signed(run.message, transport)
        twice = self.faults.answers_twice
        answer = self.habits.next_answer(conn, transport, plain_body(run.request_id), kept_open=twice)
        run.complete = await answer.send(run.message.head.method, status, headers, plain_body(run.request_id))
        if twice and run.complete:
            await transport.send_all(SURPLUS_ANSWER % run.request_id.encode())

    async def _answer(
        self, conn: ServerConn, transport: Transport, status: int, headers: Headers, body: bytes = b''
    ) -> None:
        answer = self.habits.next_answer(conn, transport, body, kept_open=conn.closing)
        await answer.send(b'', status, headers, body)

    async def _answer_prompt(self, conn: ServerConn, run: Run, transport: Transport) -> None:
        headers = run.message.head.headers
        source = (header(headers, wire_names.KV_SOURCE) or b'').decode()
        parts, output = parse_prompt(run.message)
        if run.prefill:
            return await self._answer_prefill(conn, run, parts, transport)
        async with self._slots:
            if not source:
                await self._fetch(run.message, parts)
                await self._prefill(parts)
            self.cache.touch(parts)
            await self._crash_if_poison(run)
            crashing = self.on_crash is not None and any(part.key in self.crash_parts for part in parts[:-1])
            if crashing and self.on_crash is not None:
                self.on_crash(self)
            await self._stream(conn, run, output, transport, crashing=crashing)

    async def _answer_prefill(self, conn: ServerConn, run: Run, parts: list[Part], transport: Transport) -> None:
        await self._fetch(run.message, parts)
        await self._prefill(parts)
        self.cache.touch(parts)
        kv_handle = f'h{len(self.runs)}'
        self._kv_handles[kv_handle] = run.request_id
        body = msgspec.json.encode({'kv_handle': kv_handle, 'tokens': 1, 'version': 1})
        await self._answer(conn, transport, STATUS_OK, self._echo(run.message, transport), body)

    async def _fetch(self, message: ReceivedRequest, parts: list[Part]) -> None:
        """Fetch the prefix blocks that another engine has cached and this one has not."""
        address = header(message.head.headers, wire_names.KV_FETCH)
        source = self.engines_by_address.get(address.decode()) if address else None
        if source is None:
            return
        cached_tokens = source.cache.cached_tokens(parts)
        fetched_tokens = cached_tokens - self.cache.cached_tokens(parts)
        if fetched_tokens <= 0:
            return
        await trio.sleep(self.speed.fetch_s + fetched_tokens / self.speed.fetch_tokens_per_s)
        self.cache.touch(leading_parts(parts, cached_tokens))

    async def _prefill(self, parts: list[Part]) -> None:
        slowdown = 2 if self.stage == 'decode' else 1
        async with self._prefill_lock:
            uncached_tokens = sum(part.tokens for part in parts) - self.cache.cached_tokens(parts)
            prefill_s = self.faults.slowdown * slowdown * uncached_tokens / self.speed.prefill_tokens_per_s
            await trio.sleep(prefill_s)
            self._prefilled_s += prefill_s
        await trio.sleep(self.speed.overhead_s)

    async def _stream(
        self, conn: ServerConn, run: Run, output: int, transport: Transport, *, crashing: bool = False
    ) -> None:
        after = int(header(run.message.head.headers, wire_names.LAST_EVENT_ID) or 0)
        mark = self.version if self.marks_events else ''
        stream = stream_events(run.request_id, range(after + 1, output + 1), mark, self.habits.next_line_end())
        answer = self.habits.next_stream(conn, transport, stream, resumed=after > 0)
        headers = (*self._signed(run.message, transport), (b'content-type', b'text/event-stream'))
        await answer.begin(STATUS_OK, headers, sum(len(event) for event in stream))
        stops_after = after + self._rng.randint(0, 1) if crashing else output
        for number, event in enumerate(stream, after + 1):
            if number > stops_after:
                await trio.sleep_forever()
            if after == 0 and number == self.faults.breaks_at_event:
                await answer.write(b'id: 99\nda')
                # The events before it arrive.
                await trio.sleep(DELIVERY_S)
                return transport.reset()
            await self._decode_event()
            if not await answer.write(event):
                return None
        await answer.end()
        run.complete = True
        return None

    async def _decode_event(self) -> None:
        """Generate the tokens of one event; concurrent prefill delays them by its duration."""
        earlier_prefill_s = self._prefilled_s
        step_s = self.faults.slowdown * (self.speed.step_s + self.speed.step_s_per_slot * self.running)
        await trio.sleep(self.speed.steps_per_event * step_s)
        await trio.sleep(self._prefilled_s - earlier_prefill_s)

    def _echo(self, message: ReceivedRequest, transport: Transport, status: int = STATUS_OK) -> Headers:
        request_id = header(message.head.headers, wire_names.REQUEST_ID) or b''
        return ((wire_names.REQUEST_ID, request_id), *self._status_headers(transport, status, request_id.decode()))

    def _status_headers(self, transport: Transport, status: int = STATUS_OK, request_id: str = '') -> Headers:
        """Return the status headers of an answer, and record a report of draining or back-off."""
        back_off = self.back_off_headers if status == STATUS_UNAVAILABLE else ()
        if self.draining_headers or back_off:
            self.status_reports.append(
                StatusReport(
                    trio.current_time(), transport.peer, bool(self.draining_headers), _max_seconds(back_off), request_id
                )
            )
        return (
            *((wire_names.RUNNER_LIMIT, text) for text in self.limit_headers),
            *((wire_names.RUNNER_DRAINING, text) for text in self.draining_headers),
            *((wire_names.RETRY_AFTER, text) for text in back_off),
        )

    def _signed(self, message: ReceivedRequest, transport: Transport) -> Headers:
        if self.faults.unsigned:
            return self._echo(message, transport)
        versions = (b'sesamepoint-weight-versions', str(1 + self._key_word % 3).encode())
        return (*self._echo(message, transport), (wire_names.SIGNATURE, self.key.encode()), versions)


def _health_status(runner: RunnerStandIn) -> int:
    stops = runner.faults.unhealthy_page or runner.draining or runner.leaving
    return STATUS_UNAVAILABLE if stops else STATUS_OK


async def _report_body(runner: RunnerStandIn) -> bytes:
    if runner.faults.hides_report:
        await trio.sleep_forever()
    return msgspec.json.encode(runner.report)


def _max_seconds(texts: tuple[bytes, ...]) -> float:
    """Return the longest back-off that the header values request, in seconds."""
    return max((float(text) for text in texts if text.isdigit()), default=0)


async def _cancel_when_gone(conn: ServerConn, scope: trio.CancelScope) -> None:
    await conn.wait_for_close()
    scope.cancel()


__all__ = ('RunnerStandIn',)
