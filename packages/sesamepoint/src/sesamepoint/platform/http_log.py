"""The platform's log over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint_core.units import MS_PER_S
from sesamepoint.platform.http import HttpCaller
from sesamepoint.platform.messages import LIST_ADAPTERS, LOG_ADAPTERS, Instance, LogPage, LogRecord

if TYPE_CHECKING:
    from sesamepoint.settings.model import ServiceSettings

CALL_TIMEOUT_S = 2.0


class AppendReply(NamedTuple):
    """Reply to an append."""

    offset: int


class ReadReply(NamedTuple):
    """Reply to a read; payloads are text."""

    earliest: int
    end: int
    records: tuple[tuple[int, str], ...]


@LOG_ADAPTERS.register('http')
class HttpLog:
    """Appends by POST, reads by a GET that waits."""

    def __init__(self, caller: HttpCaller) -> None:
        """Use ``caller`` for all calls."""
        self._caller = caller

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> HttpLog:
        """Build from the settings of the log."""
        return cls(HttpCaller.from_config('log', cfg))

    async def append(self, stream: str, payload: bytes) -> int:
        """Append and return the offset."""
        reply = await self._caller.call('POST', f'/streams/{stream}', payload, CALL_TIMEOUT_S)
        return msgspec.json.decode(reply, type=AppendReply).offset

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return records from ``start`` on."""
        path = f'/streams/{stream}?from={start}&wait_ms={int(wait_s * MS_PER_S)}'
        reply = await self._caller.call('GET', path, b'', wait_s + CALL_TIMEOUT_S)
        found = msgspec.json.decode(reply, type=ReadReply)
        records = tuple(LogRecord(offset, text.encode()) for offset, text in found.records)
        return LogPage(records, found.earliest, found.end)


@LIST_ADAPTERS.register('http')
class HttpInstanceList:
    """The lagging list by GET."""

    def __init__(self, caller: HttpCaller) -> None:
        """Use ``caller`` for all calls."""
        self._caller = caller

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> HttpInstanceList:
        """Build from the settings of the list."""
        return cls(HttpCaller.from_config('instance list', cfg))

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the list as it was some time ago."""
        reply = await self._caller.call('GET', '/instances', b'', CALL_TIMEOUT_S)
        return msgspec.json.decode(reply, type=tuple[Instance, ...])


__all__ = ('AppendReply', 'HttpInstanceList', 'HttpLog', 'ReadReply')
