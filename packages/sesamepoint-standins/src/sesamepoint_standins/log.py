"""A stand-in for the platform's log."""

from __future__ import annotations

from typing import NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.control.signal import Signal
from sesamepoint.platform.messages import Instance, LogPage, LogRecord

PAGE_RECORDS = 1000
APPEND_LIMIT = 300
APPEND_S = 0.002


class LogFaults:
    """What is wrong with the log now; tests and the demo set it.

    ``away`` refuses all calls, ``lose_replies`` is how many appends take
    effect and then seem to fail, ``slow_s`` is added to each call.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.away = False
        self.lose_replies = 0
        self.slow_s: float = 0


class MemoryLog:
    """Streams with offsets, an append limit, retention, and faults.

    Parameters
    ----------
    append_s
        Seconds that an append takes.
    append_limit
        Appends a second over all streams; more than that fail.
    """

    def __init__(self, append_s: float = APPEND_S, append_limit: int = APPEND_LIMIT) -> None:
        """Start with empty streams."""
        self.faults = LogFaults()
        self.appends = 0
        self._streams: dict[str, _Stream] = {}
        self._append_s = append_s
        self._append_limit = append_limit
        self._second = 0
        self._in_second = 0

    async def append(self, stream: str, payload: bytes) -> int:
        """Append and return the offset."""
        await self._enter(self._append_s)
        self._count_append()
        kept = self._stream(stream)
        offset = kept.append(payload)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise PlatformUnavailableError('log', 'the reply was lost')
        return offset

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return records from ``start`` on, waiting for the first."""
        await self._enter(0)
        kept = self._stream(stream)
        if kept.end <= start and wait_s > 0:
            await kept.grown.wait_at_most(wait_s)
            await self._enter(0)
        return kept.page(start)

    def trim(self, stream: str, before: int) -> None:
        """Forget the records of ``stream`` before an offset."""
        self._stream(stream).trim(before)

    async def _enter(self, seconds: float) -> None:
        await trio.sleep(seconds + self.faults.slow_s)
        if self.faults.away:
            raise PlatformUnavailableError('log', 'outage')

    def _count_append(self) -> None:
        self.appends += 1
        second = int(trio.current_time())
        self._in_second = self._in_second + 1 if second == self._second else 1
        self._second = second
        if self._in_second > self._append_limit:
            raise PlatformUnavailableError('log', 'append limit')

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())


class _Stream:
    """One stream's records and its first offset kept."""

    def __init__(self) -> None:
        self.grown = Signal()
        self._records: list[bytes] = []
        self._earliest = 0

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self._earliest + len(self._records)

    def append(self, payload: bytes) -> int:
        """Add a record."""
        self._records.append(payload)
        self.grown.set_off()
        return self.end - 1

    def page(self, start: int) -> LogPage:
        """Return the records from ``start`` on."""
        first = max(start - self._earliest, 0)
        found = self._records[first : first + PAGE_RECORDS]
        offsets = range(self._earliest + first, self.end)
        records = tuple(LogRecord(offset, payload) for offset, payload in zip(offsets, found, strict=False))
        return LogPage(records, self._earliest, self.end)

    def trim(self, before: int) -> None:
        """Drop records before an offset."""
        gone = min(max(before - self._earliest, 0), len(self._records))
        self._records = self._records[gone:]
        self._earliest += gone


class Listed(NamedTuple):
    """An instance and when its row changed."""

    leaving: bool
    since: float


class MemoryInstances:
    """The lagging list: a change shows ``lag_s`` after it was made."""

    def __init__(self, lag_s: float = 2.0) -> None:
        """Start empty."""
        self.away = False
        self._lag_s = lag_s
        self._rows: dict[str, Listed] = {}

    def put(self, address: str, *, leaving: bool) -> None:
        """Record a change."""
        self._rows[address] = Listed(leaving, trio.current_time())

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the list as it was ``lag_s`` ago."""
        await trio.lowlevel.checkpoint()
        if self.away:
            raise PlatformUnavailableError('instance list', 'outage')
        horizon = trio.current_time() - self._lag_s
        rows = self._rows.items()
        return tuple(Instance(address, row.leaving) for address, row in rows if row.since <= horizon)


__all__ = ('LogFaults', 'MemoryInstances', 'MemoryLog')
