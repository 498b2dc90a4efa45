"""Client of the platform's store: the newest of each key, a log to follow."""

from __future__ import annotations

import base64
import struct
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import urlencode

import msgspec
import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.units import MS_PER_S
from sesamepoint import events
from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError, RequestHead

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint_core.serving.address import Address

    from sesamepoint.http1.transport import Network
    from sesamepoint.platform.store_era import StoreEra

STATUS_OK = 200
STATUS_GONE = 410
STATUS_MOVED_ON = 412
CONNECT_S = 0.5
# The store answers in milliseconds; when slow, in a quarter of a second.
CALL_S = 1.0
_TWO_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class KeyedRecord(NamedTuple):
    """A record of a keyed topic; without text the key was dropped."""

    key: str
    text: bytes


class Newest(NamedTuple):
    """The newest record of each key, and the offset to follow from.

    Offsets are of the history that the store is in its ``era``.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int = 0


class HistoryGoneError(Exception):
    """The records asked for were deleted, or never were; read the newest of each key."""


class Appended(NamedTuple):
    """Where the log ends after a record was appended."""

    end: int
    era: int


class StoreAnswer(NamedTuple):
    """An answer of the store, and its era."""

    status: int
    text: bytes
    era: int


class _Entry(msgspec.Struct, rename={'encoded': 'value'}):
    key: str
    # Without the key that stands before it on the log.
    encoded: str


class _NewestReply(msgspec.Struct, rename={'entries': 'items'}):
    entries: list[_Entry]
    has_more: bool
    end: int


class StoreClient:
    """Keeps one connection; calls of one client run one at a time."""

    def __init__(self, address: Address, network: Network, era: StoreEra) -> None:
        """Aim at ``address`` over ``network``; all clients of a process share ``era``."""
        self.era = era
        self._address = address
        self._network = network
        self._conn: ClientConn | None = None
        self._lock = trio.Lock()

    async def newest(self, topic: str, call_s: float = CALL_S) -> Newest:
        """Return the newest record of each key of ``topic``, with ``call_s`` for each page.

        Raises
        ------
        PlatformUnavailableError
            If the store did not answer.
        """
        records: list[KeyedRecord] = []
        query = {'topic': topic, 'part': '0'}
        end: int | None = None
        era: int | None = None
        while True:
            answer = await self._call('GET', '/v1/log-newest', query, call_s - CALL_S)
            page = _page(answer.text)
            if era not in {None, answer.era}:
                raise PlatformUnavailableError('store', 'it went back between two pages')
            era = answer.era
            records.extend(_keyed(found) for found in page.entries)
            # Pages are read one after the other: what changes meanwhile is
            # on the log after the end that the first page tells.
            end = page.end if end is None else end
            if not page.has_more or not records:
                return Newest(tuple(records), end, era)
            query['after'] = records[-1].key

    async def follow(self, topic: str, start: int, wait_s: float) -> Newest:
        """Return the records from ``start`` on, waiting for the first.

        Raises
        ------
        HistoryGoneError
            If the records at ``start`` were deleted.
        PlatformUnavailableError
            If the store did not answer.
        """
        query = {'topic': topic, 'part': '0', 'source': str(start), 'wait_ms': str(int(wait_s * MS_PER_S))}
        answer = await self._call('GET', '/v1/log-read', query, wait_s)
        text = answer.text
        if len(text) < _TWO_OFFSETS.size:
            raise PlatformUnavailableError('store', 'a reply without offsets')
        if _TWO_OFFSETS.unpack_from(text)[0] < start:
            # The log ends before what was read of it: this is another history,
            # or somebody told of an offset that there never was. To wait for
            # it would be to hear nothing any more.
            raise HistoryGoneError
        records = _split(text[_TWO_OFFSETS.size :])
        readable = (_keyed_record(topic, found) for found in records)
        return Newest(tuple(found for found in readable if found), start + len(records), answer.era)

    async def put(self, topic: str, key: str, text: bytes) -> None:
        """Append the newest record of ``key``; empty text drops the key.

        Raises
        ------
        PlatformUnavailableError
            If the store did not answer; the record may be there all the same.
        """
        await self._call('POST', '/v1/log-append', {'topic': topic, 'part': '0'}, body=_encoded(key, text))

    async def put_at(self, topic: str, key: str, text: bytes, end: int) -> Appended | None:
        """Append the newest record of ``key`` if the log still ends at ``end``.

        Returns
        -------
            Where the log ends then, and in which era; None if it has moved on.

        Raises
        ------
        PlatformUnavailableError
            If the store did not answer; the record may be there all the same,
            or come to be there seconds later if the log still ends at ``end``.
        """
        query = {'topic': topic, 'part': '0', 'at': str(end)}
        answer = await self._call('POST', '/v1/log-append', query, body=_encoded(key, text), allowed=STATUS_MOVED_ON)
        return None if answer.status == STATUS_MOVED_ON else Appended(end + 1, answer.era)

    def close(self) -> None:
        """Drop the connection."""
        if self._conn:
            self._conn.close()
        self._conn = None

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        wait_s: float = 0,
        body: bytes = b'',
        allowed: int = STATUS_OK,
    ) -> StoreAnswer:
        async with self._lock:
            try:
                with trio.fail_after(wait_s + CALL_S):
                    answer = await self._exchange(method, f'{path}?{urlencode(query)}', body)
            except (ConnBrokenError, ConnectFailedError, trio.TooSlowError) as exc:
                raise PlatformUnavailableError('store', repr(exc)) from exc
        if answer.status == STATUS_GONE:
            raise HistoryGoneError
        if answer.status not in {STATUS_OK, allowed}:
            raise PlatformUnavailableError('store', f'status {answer.status}')
        return answer

    async def _exchange(self, method: str, target: str, body: bytes) -> StoreAnswer:
        conn = self._conn if self._conn and self._conn.quiet() else None
        if conn is None:
            self.close()
            conn = ClientConn(await self._network.connect(self._address, CONNECT_S))
        # Until the answer is whole the connection is not kept: one on which
        # an answer got lost brings nothing more.
        self._conn = None
        head = RequestHead(method.encode(), target.encode(), self._headers(body))
        try:
            reply, text = await conn.ask(head, body)
        except BaseException:
            conn.close()
            raise
        if conn.recycle():
            self._conn = conn
        else:
            conn.close()
        return StoreAnswer(reply.status, text, self.era.take(reply.headers))

    def _headers(self, body: bytes) -> tuple[tuple[bytes, bytes], ...]:
        return ((b'host', str(self._address).encode()), (b'content-length', str(len(body)).encode()))


def _encoded(key: str, text: bytes) -> bytes:
    raw_key = key.encode()
    record = bytes((len(raw_key),)) + raw_key + text
    return _LENGTH.pack(len(record)) + record


def _page(text: bytes) -> _NewestReply:
    try:
        return msgspec.json.decode(text, type=_NewestReply)
    except msgspec.DecodeError as exc:
        raise PlatformUnavailableError('store', f'unreadable reply: {exc}') from exc


def _keyed(entry: _Entry) -> KeyedRecord:
    try:
        return KeyedRecord(entry.key, base64.b64decode(entry.encoded))
    except ValueError as exc:
        raise PlatformUnavailableError('store', f'unreadable reply: {exc}') from exc


def _split(text: bytes) -> list[bytes]:
    records = []
    at = 0
    while at < len(text):
        if at + _LENGTH.size > len(text):
            raise PlatformUnavailableError('store', 'a reply that ends within a record')
        size = _LENGTH.unpack_from(text, at)[0]
        at += _LENGTH.size
        records.append(text[at : at + size])
        at += size
    if at > len(text):
        raise PlatformUnavailableError('store', 'a reply that ends within a record')
    return records


def _keyed_record(topic: str, record: bytes) -> KeyedRecord | None:
    """Return the record, or None if another writer has put other bytes there."""
    end = 1 + record[0] if record else 1
    if end > len(record):
        events.log_event(events.RECORD_UNREADABLE, topic=topic, cause='it ends within its key')
        return None
    # No runner has a key that isn't text; a made-up name harms nothing.
    return KeyedRecord(record[1:end].decode(errors='replace'), record[end:])


__all__ = ('Appended', 'HistoryGoneError', 'KeyedRecord', 'Newest', 'StoreAnswer', 'StoreClient')
