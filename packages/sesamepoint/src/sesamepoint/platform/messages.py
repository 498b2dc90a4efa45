"""What the platform's services are asked and what they answer."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from sesamepoint_core.registry import Registry


class LogRecord(NamedTuple):
    """A record and its place on its stream."""

    offset: int
    payload: bytes


class LogPage(NamedTuple):
    """Part of a stream: ``earliest`` is the first offset still kept."""

    records: tuple[LogRecord, ...]
    earliest: int
    end: int


class Instance(NamedTuple):
    """One row of the platform's lagging list."""

    address: str
    leaving: bool


class LogService(Protocol):
    """The append-only log; calls raise ``PlatformUnavailableError``."""

    async def append(self, stream: str, payload: bytes) -> int:
        """Append and return the offset. A lost reply may hide a success."""

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Return records from ``start`` on, waiting for the first.

        A start beyond the end gives no records, only where the end is.
        """


class InstanceList(Protocol):
    """The lagging list of live and leaving instances."""

    async def fetch(self) -> tuple[Instance, ...]:
        """Return the list as it was some time ago."""


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
