"""Client of the platform's store: newest record of each key, and a log to follow."""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import urlencode

import trio

from sesamepoint_core.units import MS_PER_S
from sesamepoint.http1.client import MAX_LIST_BYTES, ClientConn
from sesamepoint.http1.documents import whole_payload
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError, RequestHead
from sesamepoint.platform.store_records import (
    KeyedRecord,
    decode_entry,
    decode_page,
    decode_record,
    encode_record,
    split_records,
    unavailable,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint.http1.messages import ReceivedBody
    from sesamepoint.http1.transport import Network
    from sesamepoint.platform.store_epoch import StoreEpoch
    from sesamepoint.platform.store_location import StoreLocation

STATUS_OK = 200
STATUS_GONE = 410
STATUS_PRECONDITION_FAILED = 412
STATUS_TOO_MANY_CALLS = 429
STATUS_SERVER_ERROR = 500
# The store has no room for records, and serves reads.
STATUS_FULL = 507
CONNECT_TIMEOUT_S = 0.5
# The store normally responds in milliseconds, and in 0.25 s when it is slow.
CALL_TIMEOUT_S = 1.0
_TWO_OFFSETS = struct.Struct('>QQ')


class TopicRecords(NamedTuple):
    """Records of a topic, the offset to follow it from, and where its retained history begins, if a log says so.

    Offsets are comparable only within one epoch of the store. ``whole`` tells whether the records are the newest of all
    keys, rather than a part of the log.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    epoch: int = 0
    first: int = 0
    whole: bool = False


class HistoryGoneError(Exception):
    """The requested records were deleted or never existed; read the newest of each key."""


class AppendResult(NamedTuple):
    """End offset of the log after an append, and the store's epoch."""

    end: int
    epoch: int


class StoreResponse(NamedTuple):
    """A response of the store, and the epoch it belongs to.

    Its status holds, whatever becomes of the body.
    """

    status: int
    body: ReceivedBody
    epoch: int

    def whole_body(self) -> bytes:
        """Return the body.

        Raises
        ------
        PlatformUnavailableError
            If it is broken off.
        """
        try:
            return whole_payload(self.body)
        except ConnBrokenError as exc:
            raise unavailable(repr(exc)) from exc


class _Page(NamedTuple):
    """A part of the newest records of a topic, without unusable ones."""

    records: tuple[KeyedRecord, ...]
    has_more: bool
    end: int
    epoch: int


class StoreClient:
    """A client with one connection, which runs one call at a time."""

    def __init__(self, location: StoreLocation, network: Network) -> None:
        """Call the store at ``location``, which all clients of a process share."""
        self._location = location
        self._network = network
        self._conn: ClientConn | None = None
        # Number of changes of the address when the connection was opened.
        self._conn_moves = 0
        self._lock = trio.Lock()

    @property
    def epoch(self) -> StoreEpoch:
        """Return the newest epoch that the store has sent."""
        return self._location.epoch

    async def read_newest(self, topic: str, page_timeout_s: float = CALL_TIMEOUT_S) -> TopicRecords:
        """Return the newest record of each key of ``topic``.

        The timeout is in seconds and applies to each page.

        Raises
        ------
        PlatformUnavailableError
            If the store did not respond, or its epoch or address changed between two pages.
        """
        moves = self._location.moves
        records: list[KeyedRecord] = []
        first: TopicRecords | None = None
        after = ''
        while True:
            page = await self._read_page(topic, after, page_timeout_s)
            # Changes made while the pages are read are in the log after the end offset of the first page.
            first = first or TopicRecords((), page.end, page.epoch)
            if first.epoch != page.epoch:
                raise unavailable('its epoch changed between two pages')
            records.extend(page.records)
            self._location.check(moves)
            if not page.has_more:
                return first._replace(records=tuple(records), whole=True)
            after = _last_key(page, after)

    async def follow(self, topic: str, start: int, wait_s: float) -> TopicRecords:
        """Return the records from ``start`` on; wait up to ``wait_s`` for the first.

        Raises
        ------
        HistoryGoneError
            If the records at ``start`` were deleted or never existed.
        PlatformUnavailableError
            If the store did not respond.
        """
        query = {'topic': topic, 'part': '0', 'source': str(start), 'wait_ms': str(int(wait_s * MS_PER_S))}
        answer = await self._call('GET', '/v1/log-read', query, wait_s)
        text = answer.whole_body()
        if len(text) < _TWO_OFFSETS.size:
            raise unavailable('the reply has no offsets')
        end, first = _TWO_OFFSETS.unpack_from(text)
        if end < start:
            # The log ends before ``start``: the store was restored from an
            # older copy, or a peer announced an offset that never existed.
            # Waiting for ``start`` would miss all further updates.
            raise HistoryGoneError
        records = split_records(text[_TWO_OFFSETS.size :])
        readable = (decode_record(topic, record) for record in records)
        return TopicRecords(tuple(record for record in readable if record), start + len(records), answer.epoch, first)

    async def read_history(self, topic: str) -> tuple[KeyedRecord, ...]:
        """Return all records of ``topic`` that the store has retained, oldest first.

        Raises
        ------
        HistoryGoneError
            If the store deleted records meanwhile.
        PlatformUnavailableError
            If the store did not respond.
        """
        end = (await self.read_newest(topic)).end
        # A read at the end never fails, and returns the offset of the first retained record.
        start = (await self.follow(topic, end, 0)).first
        records: list[KeyedRecord] = []
        while start < end:
            part = await self.follow(topic, start, 0)
            if part.end == start:
                raise unavailable('a log that leads no further')
            records.extend(part.records)
            start = part.end
        return tuple(records)

    async def put(self, topic: str, key: str, text: bytes) -> None:
        """Append a record of ``key``; an empty text deletes the key.

        Raises
        ------
        PlatformUnavailableError
            If the store did not respond; the record may have been appended nevertheless.
        """
        await self._call('POST', '/v1/log-append', {'topic': topic, 'part': '0'}, body=encode_record(key, text))

    async def put_if_at(self, topic: str, key: str, text: bytes, expected_end: int) -> AppendResult | None:
        """Append a record of ``key`` if the log still ends at the given offset.

        Returns
        -------
            The new end of the log and its epoch; None if the log ends elsewhere.

        Raises
        ------
        PlatformUnavailableError
            If the store did not respond; the record may have been appended
            nevertheless, or may be appended seconds later if the log still
            ends at that offset.
        """
        query = {'topic': topic, 'part': '0', 'at': str(expected_end)}
        answer = await self._call(
            'POST', '/v1/log-append', query, body=encode_record(key, text), allowed=STATUS_PRECONDITION_FAILED
        )
        return None if answer.status == STATUS_PRECONDITION_FAILED else AppendResult(expected_end + 1, answer.epoch)

    def close(self) -> None:
        """Close the connection."""
        if self._conn:
            self._conn.close()
        self._conn = None

    async def _read_page(self, topic: str, after: str, timeout_s: float) -> _Page:
        """Read the entries after the key ``after``, or the first ones if it is empty."""
        query = {'topic': topic, 'part': '0'}
        if after:
            query['after'] = after
        answer = await self._call('GET', '/v1/log-newest', query, timeout_s - CALL_TIMEOUT_S)
        reply = decode_page(answer.whole_body())
        found = (decode_entry(topic, entry) for entry in reply.entries)
        has_more = reply.has_more and bool(reply.entries)
        return _Page(tuple(record for record in found if record), has_more, reply.end, answer.epoch)

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        wait_s: float = 0,
        body: bytes = b'',
        allowed: int = STATUS_OK,
    ) -> StoreResponse:
        async with self._lock:
            try:
                with self._location.call(), trio.fail_after(wait_s + CALL_TIMEOUT_S):
                    answer = await self._exchange(method, f'{path}?{urlencode(query)}', body)
            except (ConnBrokenError, ConnectFailedError, trio.TooSlowError) as exc:
                raise unavailable(repr(exc)) from exc
        if answer.status == STATUS_GONE:
            raise HistoryGoneError
        if answer.status not in {STATUS_OK, allowed}:
            raise unavailable(f'status {answer.status}')
        return answer

    async def _exchange(self, method: str, target: str, body: bytes) -> StoreResponse:
        moves = self._location.moves
        usable = self._conn and self._conn.is_idle() and self._conn_moves == moves
        conn = self._conn if usable else None
        if conn is None:
            self.close()
            conn = ClientConn(await self._network.connect(self._location.address, CONNECT_TIMEOUT_S))
        # The connection is kept only after a complete response: once a response
        # was lost on it, it delivers no more.
        self._conn = None
        head = RequestHead(method.encode(), target.encode(), self._headers(body))
        try:
            response, received = await conn.exchange(head, body, MAX_LIST_BYTES)
        except BaseException:
            conn.close()
            raise
        if conn.recycle():
            self._conn = conn
            self._conn_moves = moves
        else:
            conn.close()
        epoch = self.epoch.observe(response.headers)
        if _serves(response.status):
            self._location.on_answered()
        return StoreResponse(response.status, received, epoch)

    def _headers(self, body: bytes) -> tuple[tuple[bytes, bytes], ...]:
        return ((b'host', str(self._location.address).encode()), (b'content-length', str(len(body)).encode()))


def _serves(status: int) -> bool:
    """Tell whether a response shows that the store serves calls, also one that refuses this call for its contents."""
    return status == STATUS_FULL or (status < STATUS_SERVER_ERROR and status != STATUS_TOO_MANY_CALLS)


def _last_key(page: _Page, after: str) -> str:
    """Return the key to go on after; a page that leads no further would be read for ever."""
    if not page.records or page.records[-1].key == after:
        raise unavailable('a page that leads no further')
    return page.records[-1].key


__all__ = ('AppendResult', 'HistoryGoneError', 'KeyedRecord', 'StoreClient', 'StoreResponse', 'TopicRecords')
