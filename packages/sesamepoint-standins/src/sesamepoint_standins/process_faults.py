"""Simulated faults of a process: paused, or cut off from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.control.notifier import Notifier

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job
    from sesamepoint.platform.service_interfaces import Instance, LogPage
    from sesamepoint.upstream.base import UpstreamLoad
    from sesamepoint_standins.memory_engine import MemoryEngine
    from sesamepoint_standins.memory_platform import MemoryInstances, MemoryLog

LOG_TIMEOUT_S = 2.0


class ProcessFaults:
    """Fault state of one process; blocks its calls while it is paused.

    A stopped process does nothing, and continues with its old state when it is
    resumed. Blocking its calls has the same effect.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.paused = False
        self.cut_from_log = False
        self._resumed = Notifier()

    def resume(self) -> None:
        """Resume the process and release its blocked calls."""
        self.paused = False
        self._resumed.notify_all()

    async def wait_while_paused(self) -> None:
        """Wait while the process is paused."""
        while self.paused:
            await self._resumed.wait()


class PausableLog:
    """Client of the log that obeys the faults of its process."""

    def __init__(self, log: MemoryLog, faults: ProcessFaults) -> None:
        """Apply the faults of one process to its calls."""
        self._log = log
        self._faults = faults

    async def append(self, stream: str, payload: bytes) -> int:
        """Append unless the process is paused or cut off from the log."""
        await self._wait_for_access()
        offset = await self._log.append(stream, payload)
        await self._wait_for_access()
        return offset

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Read unless the process is paused or cut off from the log."""
        await self._wait_for_access()
        page = await self._log.read(stream, start, wait_s)
        await self._wait_for_access()
        return page

    async def _wait_for_access(self) -> None:
        await self._faults.wait_while_paused()
        if self._faults.cut_from_log:
            await trio.sleep(LOG_TIMEOUT_S)
            raise PlatformUnavailableError('log', 'timeout')


class PausableInstances:
    """Client of the list of instances that obeys the faults of its process."""

    def __init__(self, instances: MemoryInstances, faults: ProcessFaults) -> None:
        """Apply the faults of one process to its calls."""
        self._instances = instances
        self._faults = faults

    async def fetch(self) -> tuple[Instance, ...]:
        """Fetch the list once the process is not paused."""
        await self._faults.wait_while_paused()
        return await self._instances.fetch()


class PausableUpstream:
    """Client of an engine that obeys the faults of the agent."""

    def __init__(self, upstream: MemoryEngine, faults: ProcessFaults) -> None:
        """Apply the faults of one process to its calls."""
        self._upstream = upstream
        self._faults = faults

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run a job and yield its chunks."""
        await self._faults.wait_while_paused()
        async for chunk in self._upstream.start(attempt, job):
            await self._faults.wait_while_paused()
            yield chunk

    async def cancel(self, attempt: str) -> None:
        """Cancel a job."""
        await self._faults.wait_while_paused()
        await self._upstream.cancel(attempt)

    async def load(self) -> UpstreamLoad:
        """Return the load report."""
        await self._faults.wait_while_paused()
        return await self._upstream.load()

    async def order(self, role: str, fence: int) -> None:
        """Order the engine to change its role."""
        await self._faults.wait_while_paused()
        await self._upstream.order(role, fence)


__all__ = ('PausableInstances', 'PausableLog', 'PausableUpstream', 'ProcessFaults')
