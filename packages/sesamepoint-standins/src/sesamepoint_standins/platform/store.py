"""Stand-in for the platform's store: a log and the newest record of each key, by topic."""

from __future__ import annotations

import base64
import struct
from functools import partial
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qsl

import msgspec
import trio

from sesamepoint.http1.messages import RejectedRequestError
from sesamepoint.platform.wire_names import STORE_EPOCH
from sesamepoint.http1.server import CallerGoneError, ReceivedRequest, ServerConn, ServerLimits
from sesamepoint_core.units import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.http1.transport import Transport

ANSWER_DELAY_S = 0.004
STATUS_OK = 200
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
STATUS_UNAVAILABLE = 503
_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')


class _Record(NamedTuple):
    key: str
    payload: bytes
    written_at: float


class _Response(NamedTuple):
    status: int
    body: bytes


class _Topic:
    def __init__(self) -> None:
        self.records: list[_Record] = []
        self.first_offset = 0
        self.appended = trio.Event()

    def append(self, record: _Record) -> int:
        self.records.append(record)
        self.appended.set()
        self.appended = trio.Event()
        return len(self.records) - 1

    def roll_back(self, before: float) -> None:
        self.records = [record for record in self.records if record.written_at < before]
        self.first_offset = min(self.first_offset, len(self.records))
        self.appended.set()
        self.appended = trio.Event()

    def newest(self) -> dict[str, tuple[int, _Record]]:
        newest_by_key: dict[str, tuple[int, _Record]] = {}
        for offset, record in enumerate(self.records):
            newest_by_key[record.key] = (offset, record)
        return {key: pair for key, pair in newest_by_key.items() if pair[1].payload}


class PlatformStore:
    """Store that serves the calls that the system makes; while ``unavailable``, all calls get an error."""

    def __init__(self) -> None:
        """Start empty and available."""
        self.unavailable = False
        # Delay added to each call, in seconds.
        self.extra_delay_s: float = 0
        # Further delay of calls for some topics, in seconds.
        self.topic_delays_s: dict[str, float] = {}
        self.call_count = 0
        self.epoch = 1
        # Whether reads that wait for new records are answered.
        self.answers_long_reads = True
        # Whether reads of the log are answered at all; lists and writes are.
        self.answers_log_reads = True
        # Calls to listeners before this one are never answered.
        self._newest_listener = 0
        # Hosts whose calls get an error.
        self.refused_hosts: set[str] = set()
        # Paths by which instances reach the store whose calls get an error.
        self.refused_paths: set[int] = set()
        # While it is away, connections are reset, new ones too; or calls stay without an answer, also after the return.
        self.away = False
        self.silent = False
        self._silences = 0
        self._returned = trio.Event()
        self._connections: set[trio.CancelScope] = set()
        self._topics: dict[str, _Topic] = {}

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a document as an operator or a runner does; None deletes the key."""
        self.put_raw(topic, key, b'' if document is None else msgspec.json.encode(document))

    def put_raw(self, topic: str, key: str, payload: bytes) -> None:
        """Write arbitrary bytes under ``key``, as a foreign writer may."""
        self._topic(topic).append(_Record(key, payload, trio.current_time()))

    def roll_back(self, span_s: float) -> None:
        """Start a new epoch from a backup without the records of the last ``span_s`` seconds."""
        self.epoch += 1
        for topic in self._topics.values():
            topic.roll_back(trio.current_time() - span_s)

    def go_away(self, *, silent: bool = False) -> None:
        """Reset all connections, and new ones until the return; or leave all calls without an answer."""
        self.away = not silent
        self.silent = silent
        self._silences += silent
        for scope in () if silent else self._connections:
            scope.cancel()

    def come_back(self, lost_s: float) -> None:
        """Serve again, in a new epoch, from a backup without the records of the last ``lost_s`` seconds."""
        self.roll_back(lost_s)
        self.away = False
        self.silent = False
        self._returned.set()
        self._returned = trio.Event()

    async def wait_until_returned(self) -> None:
        """Wait for the next return."""
        await self._returned.wait()

    def newest_payloads(self, topic: str) -> dict[str, bytes]:
        """Return the newest bytes of each key."""
        return {key: pair[1].payload for key, pair in self._topic(topic).newest().items()}

    def compact(self, topic: str) -> None:
        """Compact ``topic``: reads from earlier offsets fail, the newest record of each key stays."""
        compacted = self._topic(topic)
        compacted.first_offset = len(compacted.records)

    def trim(self, topic: str, span_s: float) -> None:
        """Delete the records of ``topic`` that are older than ``span_s`` seconds; the newest of each key stays."""
        trimmed = self._topic(topic)
        before = trio.current_time() - span_s
        trimmed.first_offset = sum(record.written_at < before for record in trimmed.records)

    def serve_elsewhere(self) -> Callable[[Transport], Awaitable[None]]:
        """Return the handler of connections to a new address; calls to the addresses before are never answered."""
        self._newest_listener += 1
        return partial(self._serve, self._newest_listener)

    async def serve(self, transport: Transport) -> None:
        """Serve one connection to the first address."""
        await self._serve(0, transport)

    def serve_path(self, path: int) -> Callable[[Transport], Awaitable[None]]:
        """Return the handler of connections to an address that only some instances use."""
        return partial(self._serve, self._newest_listener, path=path)

    async def _serve(self, listener: int, transport: Transport, path: int | None = None) -> None:
        with trio.CancelScope() as scope:
            self._connections.add(scope)
            try:
                await self._serve_calls(listener, transport, path)
            finally:
                self._connections.discard(scope)
                transport.reset() if self.away else transport.close()

    async def _serve_calls(self, listener: int, transport: Transport, path: int | None) -> None:
        conn = ServerConn(transport, ServerLimits)
        try:
            while not self.away and await conn.wait_for_request():
                message = await conn.read_request()
                silences = self._silences
                answer = (
                    _Response(STATUS_UNAVAILABLE, b'') if path in self.refused_paths else await self._respond(message)
                )
                if listener < self._newest_listener or self.silent or self._silences > silences:
                    await trio.sleep_forever()
                headers = ((STORE_EPOCH, str(self.epoch).encode()),)
                await conn.send_whole(answer.status, headers, answer.body)
                conn.start_next_cycle()
        except (CallerGoneError, RejectedRequestError):
            return

    async def _respond(self, message: ReceivedRequest) -> _Response:
        self.call_count += 1
        await trio.sleep(ANSWER_DELAY_S + self.extra_delay_s)
        if self.unavailable or message.caller in self.refused_hosts:
            return _Response(STATUS_UNAVAILABLE, b'')
        path, _, query = message.head.target.decode().partition('?')
        fields = dict(parse_qsl(query))
        await trio.sleep(self.topic_delays_s.get(fields['topic'], 0))
        topic = self._topic(fields['topic'])
        if path == '/v1/log-newest':
            return _newest(topic)
        if path == '/v1/log-read':
            return await self._read(topic, int(fields['source']), int(fields.get('wait_ms', '0')) / MS_PER_S)
        if int(fields.get('at', len(topic.records))) != len(topic.records):
            return _Response(STATUS_PRECONDITION_FAILED, msgspec.json.encode({'end': len(topic.records)}))
        return _append(topic, message.body)

    async def _read(self, topic: _Topic, start: int, wait_s: float) -> _Response:
        answer = await _read(topic, start, wait_s)
        if not self.answers_log_reads or (wait_s and not self.answers_long_reads):
            await trio.sleep_forever()
        return answer

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


def _newest(topic: _Topic) -> _Response:
    rows = [
        {'key': key, 'value': base64.b64encode(record.payload).decode(), 'offset': offset}
        for key, (offset, record) in topic.newest().items()
    ]
    return _Response(STATUS_OK, msgspec.json.encode({'items': rows, 'has_more': False, 'end': len(topic.records)}))


async def _read(topic: _Topic, start: int, wait_s: float) -> _Response:
    if start < topic.first_offset or start > len(topic.records):
        return _Response(STATUS_GONE, msgspec.json.encode({'first': topic.first_offset}))
    if start >= len(topic.records):
        with trio.move_on_after(wait_s):
            await topic.appended.wait()
    raw = b''.join(_encode(record) for record in topic.records[start:])
    return _Response(STATUS_OK, _OFFSETS.pack(len(topic.records), topic.first_offset) + raw)


def _append(topic: _Topic, body: bytes) -> _Response:
    record = body[_LENGTH.size :]
    size = record[0]
    offset = topic.append(_Record(record[1 : 1 + size].decode(), record[1 + size :], trio.current_time()))
    return _Response(STATUS_OK, msgspec.json.encode({'offset': offset, 'end': offset + 1}))


def _encode(record: _Record) -> bytes:
    key = record.key.encode()
    raw = bytes((len(key),)) + key + record.payload
    return _LENGTH.pack(len(raw)) + raw


__all__ = ('PlatformStore',)
