"""Interfaces and records of the platform's log and instance list."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from sesamepoint_core.registry import Registry


class LogRecord(NamedTuple):
    """A record and its offset in its stream."""

    offset: int
    payload: bytes


class LogPage(NamedTuple):
    """Consecutive records of a stream.

    ``earliest`` is the first offset that the log still keeps, ``end`` the
    offset after the last record.
    """

    records: tuple[LogRecord, ...]
    earliest: int
    end: int


class Instance(NamedTuple):
    """One row of the platform's list of instances."""

    address: str
    draining: bool


class LogService(Protocol):
    """The append-only log; failed calls raise ``PlatformUnavailableError``."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record and return its offset.

        If the reply is lost, the record may have been appended nevertheless.
        """

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return the records from ``start`` on; wait up to ``wait_s`` for the first.

        If ``start`` is beyond the end, the page has no records, only the end.
        """


class InstanceList(Protocol):
    """The list of live and draining instances; it lags behind."""

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the list, which may be out of date."""


LOG_ADAPTERS: Registry[Any] = Registry('log adapter')
LIST_ADAPTERS: Registry[Any] = Registry('instance list adapter')

__all__ = (
    'LIST_ADAPTERS',
    'LOG_ADAPTERS',
    'Instance',
    'InstanceList',
    'LogPage',
    'LogRecord',
    'LogService',
)
