"""HTTP clients of the platform's log and instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.units import MS_PER_S
from sesamepoint.platform.http_client import HttpClient
from sesamepoint.platform.service_interfaces import LIST_ADAPTERS, LOG_ADAPTERS, Instance, LogPage, LogRecord

if TYPE_CHECKING:
    from sesamepoint.settings.model import ServiceSettings

CALL_TIMEOUT_S = 2.0
ReplyType = TypeVar('ReplyType')


class AppendReply(NamedTuple):
    """Reply to an append."""

    offset: int


class ReadReply(NamedTuple):
    """Reply to a read; each record is an offset and a payload as text."""

    earliest: int
    end: int
    records: tuple[tuple[int, str], ...]


@LOG_ADAPTERS.register('http')
class HttpLog:
    """The log over HTTP: POST appends, a long-polling GET reads."""

    def __init__(self, client: HttpClient) -> None:
        """Send all requests through an HTTP client."""
        self._client = client

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> HttpLog:
        """Build a client from the settings of the log."""
        return cls(HttpClient.from_config('log', cfg))

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset."""
        reply = await self._client.request('POST', f'/streams/{stream}', payload, CALL_TIMEOUT_S)
        return _decode(reply, AppendReply).offset

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return the records from offset ``start`` on."""
        path = f'/streams/{stream}?from={start}&wait_ms={int(wait_s * MS_PER_S)}'
        reply = await self._client.request('GET', path, b'', wait_s + CALL_TIMEOUT_S)
        page = _decode(reply, ReadReply)
        records = tuple(LogRecord(offset, text.encode()) for offset, text in page.records)
        return LogPage(records, page.earliest, page.end)


@LIST_ADAPTERS.register('http')
class HttpInstanceList:
    """The list of instances over HTTP; it lags behind."""

    def __init__(self, client: HttpClient) -> None:
        """Send all requests through an HTTP client."""
        self._client = client

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> HttpInstanceList:
        """Build a client from the settings of the list."""
        return cls(HttpClient.from_config('instance list', cfg))

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the list, which may be out of date."""
        reply = await self._client.request('GET', '/instances', b'', CALL_TIMEOUT_S)
        return _decode(reply, tuple[Instance, ...])


def _decode(reply: bytes, reply_type: type[ReplyType]) -> ReplyType:
    """Decode a reply; one that ended too early, with its connection, does not decode."""
    try:
        return decode_json(reply, reply_type)
    except UndecodableError as exc:
        raise PlatformUnavailableError('platform', f'unreadable reply: {exc}') from exc


__all__ = ('AppendReply', 'HttpInstanceList', 'HttpLog', 'ReadReply')
