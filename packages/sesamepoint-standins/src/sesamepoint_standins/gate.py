"""Where a process of the bed meets the world: paused, killed or cut off."""

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
    """Holds all that a paused process sends and receives.

    A stopped process does nothing; on waking it goes on where it was, with
    what it believed before. Holding its calls at the border amounts to that.
    """

    def __init__(self) -> None:
        """Start open."""
        self.paused = False
        self.cut_from_log = False
        self._opened = Signal()

    def resume(self) -> None:
        """Let everything through again."""
        self.paused = False
        self._opened.set_off()

    async def enter(self) -> None:
        """Wait while the process is paused."""
        while self.paused:
            await self._opened.wait()


class GatedLog:
    """The log as one process reaches it."""

    def __init__(self, log: MemoryLog, gate: Gate) -> None:
        """Pass calls through ``gate``."""
        self._log = log
        self._gate = gate

    async def append(self, stream: str, payload: bytes) -> int:
        """Append, if the process can."""
        await self._reach()
        offset = await self._log.append(stream, payload)
        await self._reach()
        return offset

    async def read(self, stream: str, start: int, wait_s: float) -> LogPage:
        """Read, if the process can."""
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
    """The list of instances as one process reaches it."""

    def __init__(self, instances: MemoryInstances, gate: Gate) -> None:
        """Pass calls through ``gate``."""
        self._instances = instances
        self._gate = gate

    async def fetch(self) -> tuple[Instance, ...]:
        """Fetch, if the process can."""
        await self._gate.enter()
        return await self._instances.fetch()


class GatedUpstream:
    """An engine as its agent reaches it."""

    def __init__(self, upstream: MemoryEngine, gate: Gate) -> None:
        """Pass calls through ``gate``."""
        self._upstream = upstream
        self._gate = gate

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run a job."""
        await self._gate.enter()
        async for chunk in self._upstream.start(attempt, job):
            await self._gate.enter()
            yield chunk

    async def cancel(self, attempt: str) -> None:
        """Stop a job."""
        await self._gate.enter()
        await self._upstream.cancel(attempt)

    async def load(self) -> UpstreamLoad:
        """Ask for the load."""
        await self._gate.enter()
        return await self._upstream.load()

    async def order(self, role: str, fence: int) -> None:
        """Give an order."""
        await self._gate.enter()
        await self._upstream.order(role, fence)


__all__ = ('Gate', 'GatedInstances', 'GatedLog', 'GatedUpstream')
