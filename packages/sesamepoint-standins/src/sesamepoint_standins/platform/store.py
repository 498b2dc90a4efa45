"""Stand-in for the platform's store: a log and the newest record of each key, by topic."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import parse_qsl

import msgspec
import trio

from sesamepoint.http1.messages import RejectedMessageError
from sesamepoint.platform.names import STORE_ERA
from sesamepoint.http1.server import CallerGoneError, Message, ServerConn, ServerLimits
from sesamepoint_core.units import MS_PER_S

if TYPE_CHECKING:
    from sesamepoint.http1.transport import Transport

ANSWER_S = 0.004
STATUS_OK = 200
STATUS_GONE = 410
STATUS_MOVED_ON = 412
STATUS_UNAVAILABLE = 503
_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')


class _Record(NamedTuple):
    key: str
    text: bytes
    at: float


class _Answer(NamedTuple):
    status: int
    body: bytes


class _Topic:
    def __init__(self) -> None:
        self.records: list[_Record] = []
        self.first = 0
        self.news = trio.Event()

    def append(self, record: _Record) -> int:
        self.records.append(record)
        self.news.set()
        self.news = trio.Event()
        return len(self.records) - 1

    def go_back(self, since: float) -> None:
        self.records = [record for record in self.records if record.at < since]
        self.first = min(self.first, len(self.records))
        self.news.set()
        self.news = trio.Event()

    def newest(self) -> dict[str, tuple[int, _Record]]:
        newest_by_key: dict[str, tuple[int, _Record]] = {}
        for offset, record in enumerate(self.records):
            newest_by_key[record.key] = (offset, record)
        return {key: pair for key, pair in newest_by_key.items() if pair[1].text}


class PlatformStore:
    """Store that serves the calls that the system makes; while ``down``, all calls get an error."""

    def __init__(self) -> None:
        """Start empty and available."""
        self.down = False
        # Delay added to each call, in seconds.
        self.slow_s: float = 0
        # Further delay of calls for some topics, in seconds.
        self.slow_topics: dict[str, float] = {}
        self.calls = 0
        self.era = 1
        # Hosts whose calls get an error.
        self.refused: set[str] = set()
        self._topics: dict[str, _Topic] = {}

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a document as an operator or a runner does; None deletes the key."""
        self.put_raw(topic, key, b'' if document is None else msgspec.json.encode(document))

    def put_raw(self, topic: str, key: str, text: bytes) -> None:
        """Write arbitrary bytes under ``key``, as a foreign writer may."""
        self._topic(topic).append(_Record(key, text, trio.current_time()))

    def go_back(self, span_s: float) -> None:
        """Start a new epoch from a backup without the records of the last ``span_s`` seconds."""
        self.era += 1
        for topic in self._topics.values():
            topic.go_back(trio.current_time() - span_s)

    def newest_of(self, topic: str) -> dict[str, bytes]:
        """Return the newest bytes of each key."""
        return {key: pair[1].text for key, pair in self._topic(topic).newest().items()}

    def compact(self, topic: str) -> None:
        """Compact ``topic``: reads from earlier offsets fail, the newest record of each key stays."""
        compacted = self._topic(topic)
        compacted.first = len(compacted.records)

    async def serve(self, transport: Transport) -> None:
        """Serve one connection."""
        conn = ServerConn(transport, ServerLimits())
        try:
            while await conn.first_byte():
                message = await conn.request()
                answer = await self._answer(message)
                headers = ((STORE_ERA, str(self.era).encode()),)
                await conn.whole(answer.status, headers, answer.body)
                conn.next_cycle()
        except (CallerGoneError, RejectedMessageError):
            return
        finally:
            transport.close()

    async def _answer(self, message: Message) -> _Answer:
        self.calls += 1
        await trio.sleep(ANSWER_S + self.slow_s)
        if self.down or message.caller in self.refused:
            return _Answer(STATUS_UNAVAILABLE, b'')
        path, _, query = message.head.target.decode().partition('?')
        fields = dict(parse_qsl(query))
        await trio.sleep(self.slow_topics.get(fields['topic'], 0))
        topic = self._topic(fields['topic'])
        if path == '/v1/log-newest':
            return _newest(topic)
        if path == '/v1/log-read':
            return await _read(topic, int(fields['source']), int(fields.get('wait_ms', '0')) / MS_PER_S)
        if int(fields.get('at', len(topic.records))) != len(topic.records):
            return _Answer(STATUS_MOVED_ON, msgspec.json.encode({'end': len(topic.records)}))
        return _append(topic, message.body)

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())


def _newest(topic: _Topic) -> _Answer:
    rows = [
        {'key': key, 'value': base64.b64encode(record.text).decode(), 'offset': offset}
        for key, (offset, record) in topic.newest().items()
    ]
    return _Answer(STATUS_OK, msgspec.json.encode({'items': rows, 'has_more': False, 'end': len(topic.records)}))


async def _read(topic: _Topic, start: int, wait_s: float) -> _Answer:
    if start < topic.first or start > len(topic.records):
        return _Answer(STATUS_GONE, msgspec.json.encode({'first': topic.first}))
    if start >= len(topic.records):
        with trio.move_on_after(wait_s):
            await topic.news.wait()
    raw = b''.join(_encode(record) for record in topic.records[start:])
    return _Answer(STATUS_OK, _OFFSETS.pack(len(topic.records), topic.first) + raw)


def _append(topic: _Topic, body: bytes) -> _Answer:
    record = body[_LENGTH.size :]
    size = record[0]
    offset = topic.append(_Record(record[1 : 1 + size].decode(), record[1 + size :], trio.current_time()))
    return _Answer(STATUS_OK, msgspec.json.encode({'offset': offset, 'end': offset + 1}))


def _encode(record: _Record) -> bytes:
    key = record.key.encode()
    raw = bytes((len(key),)) + key + record.text
    return _LENGTH.pack(len(raw)) + raw


__all__ = ('PlatformStore',)
