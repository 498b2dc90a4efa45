"""Simulated faults of a process: paused, or cut off from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.control.signal import Signal

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job
    from sesamepoint.platform.messages import Instance, LogPage
    from sesamepoint.upstream.base import UpstreamLoad
    from sesamepoint_standins.log import MemoryInstances, MemoryLog
    from sesamepoint_standins.memory_engine import MemoryEngine

CALL_TIMEOUT_S = 2.0


class Gate:
    """Fault state of one process; blocks its calls while it is paused.

    A stopped process does nothing, and continues with its old state when it is
    resumed. Blocking its calls has the same effect.
    """

    def __init__(self) -> None:
        """Start without faults."""
        self.paused = False
        self.cut_from_log = False
        self._opened = Signal()

    def resume(self) -> None:
        """Resume the process and release its blocked calls."""
        self.paused = False
        self._opened.set_off()

    async def enter(self) -> None:
        """Wait while the process is paused."""
        while self.paused:
            await self._opened.wait()


class GatedLog:
    """Client of the log that obeys the faults of its process."""

    def __init__(self, log: MemoryLog, gate: Gate) -> None:
        """Apply the faults of one process to its calls."""
        self._log = log
        self._gate = gate

    async def append(self, stream: str, payload: bytes) -> int:
        """Append unless the process is paused or cut off from the log."""
        await self._reach()
        offset = await self._log.append(stream, payload)
        await self._reach()
        return offset

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Read unless the process is paused or cut off from the log."""
        await self._reach()
        page = await self._log.read(stream, start, wait_s)
        await self._reach()
        return page

    async def _reach(self) -> None:
        await self._gate.enter()
        if self._gate.cut_from_log:
            await trio.sleep(CALL_TIMEOUT_S)
            raise PlatformUnavailableError('log', 'timeout')


class GatedInstances:
    """Client of the list of instances that obeys the faults of its process."""

    def __init__(self, instances: MemoryInstances, gate: Gate) -> None:
        """Apply the faults of one process to its calls."""
        self._instances = instances
        self._gate = gate

    async def fetch(self) -> tuple[Instance, ...]:
        """Fetch the list once the process is not paused."""
        await self._gate.enter()
        return await self._instances.fetch()


class GatedUpstream:
    """Client of an engine that obeys the faults of the agent."""

    def __init__(self, upstream: MemoryEngine, gate: Gate) -> None:
        """Apply the faults of one process to its calls."""
        self._upstream = upstream
        self._gate = gate

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run a job and yield its chunks."""
        await self._gate.enter()
        async for chunk in self._upstream.start(attempt, job):
            await self._gate.enter()
            yield chunk

    async def cancel(self, attempt: str) -> None:
        """Cancel a job."""
        await self._gate.enter()
        await self._upstream.cancel(attempt)

    async def load(self) -> UpstreamLoad:
        """Return the load report."""
        await self._gate.enter()
        return await self._upstream.load()

    async def order(self, role: str, fence: int) -> None:
        """Order the engine to change its role."""
        await self._gate.enter()
        await self._upstream.order(role, fence)


__all__ = ('Gate', 'GatedInstances', 'GatedLog', 'GatedUpstream')
