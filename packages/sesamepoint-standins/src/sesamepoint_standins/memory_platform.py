"""In-memory stand-ins for the platform's log and its list of instances."""

from __future__ import annotations

from typing import NamedTuple

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.control.notifier import Notifier
from sesamepoint.platform.service_interfaces import Instance, LogPage, LogRecord

MAX_PAGE_RECORDS = 1000
# Appends a second over all streams.
MAX_APPENDS_PER_S = 300
APPEND_S = 0.002


class LogFaults:
    """Current faults of the log, as set by tests and the demo."""

    def __init__(self) -> None:
        """Start without faults."""
        # All calls fail.
        self.unavailable = False
        # Number of appends that take effect but report an error.
        self.replies_to_lose = 0
        # Delay added to each call, in seconds.
        self.extra_delay_s: float = 0


class MemoryLog:
    """Log of streams with offsets, an append limit, retention and faults.

    Parameters
    ----------
    append_s
        Duration of an append, in seconds.
    append_limit
        Appends a second over all streams; further appends fail.
    """

    def __init__(self, append_s: float = APPEND_S, append_limit: int = MAX_APPENDS_PER_S) -> None:
        """Start with empty streams."""
        self.faults = LogFaults()
        self.appends = 0
        self._streams: dict[str, _Stream] = {}
        self._append_s = append_s
        self._append_limit = append_limit
        self._current_second = 0
        self._appends_in_second = 0

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        Raises
        ------
        PlatformUnavailableError
            During an outage, beyond the append limit, or if the reply is lost;
            in the last case the record is stored.
        """
        await self._simulate_call(self._append_s)
        self._count_append()
        stored = self._stream(stream)
        offset = stored.append(payload)
        if self.faults.replies_to_lose > 0:
            self.faults.replies_to_lose -= 1
            raise PlatformUnavailableError('log', 'the reply was lost')
        return offset

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return records from ``start`` on; wait at most ``wait_s`` for the first."""
        await self._simulate_call(0)
        stored = self._stream(stream)
        if stored.end <= start and wait_s > 0:
            await stored.appended.wait_with_timeout(wait_s)
            await self._simulate_call(0)
        return stored.page(start)

    def trim(self, stream: str, before: int) -> None:
        """Drop the records of ``stream`` before an offset."""
        self._stream(stream).trim(before)

    async def _simulate_call(self, seconds: float) -> None:
        await trio.sleep(seconds + self.faults.extra_delay_s)
        if self.faults.unavailable:
            raise PlatformUnavailableError('log', 'outage')

    def _count_append(self) -> None:
        self.appends += 1
        second = int(trio.current_time())
        self._appends_in_second = self._appends_in_second + 1 if second == self._current_second else 1
        self._current_second = second
        if self._appends_in_second > self._append_limit:
            raise PlatformUnavailableError('log', 'append limit')

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())


class _Stream:
    """Records of one stream and the offset of the first one that is kept."""

    def __init__(self) -> None:
        self.appended = Notifier()
        self._records: list[bytes] = []
        self._earliest = 0

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self._earliest + len(self._records)

    def append(self, payload: bytes) -> int:
        """Add a record."""
        self._records.append(payload)
        self.appended.notify_all()
        return self.end - 1

    def page(self, start: int) -> LogPage:
        """Return the records from ``start`` on."""
        first = max(start - self._earliest, 0)
        payloads = self._records[first : first + MAX_PAGE_RECORDS]
        offsets = range(self._earliest + first, self.end)
        records = tuple(LogRecord(offset, payload) for offset, payload in zip(offsets, payloads, strict=False))
        return LogPage(records, self._earliest, self.end)

    def trim(self, before: int) -> None:
        """Drop records before an offset."""
        dropped = min(max(before - self._earliest, 0), len(self._records))
        self._records = self._records[dropped:]
        self._earliest += dropped


class InstanceRow(NamedTuple):
    """Row of the list of instances, and when it changed."""

    draining: bool
    changed_at: float


class MemoryInstances:
    """List of instances; a change becomes visible after ``lag_s`` seconds."""

    def __init__(self, lag_s: float = 2.0) -> None:
        """Start empty."""
        self.unavailable = False
        self._lag_s = lag_s
        self._rows: dict[str, InstanceRow] = {}

    def put(self, address: str, *, draining: bool) -> None:
        """Add or change the row of an instance."""
        self._rows[address] = InstanceRow(draining, trio.current_time())

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the rows that changed at least ``lag_s`` seconds ago."""
        await trio.lowlevel.checkpoint()
        if self.unavailable:
            raise PlatformUnavailableError('instance list', 'outage')
        horizon = trio.current_time() - self._lag_s
        rows = self._rows.items()
        return tuple(Instance(address, row.draining) for address, row in rows if row.changed_at <= horizon)


__all__ = ('LogFaults', 'MemoryInstances', 'MemoryLog')
