"""Bytes that this process holds for others, within its memory limit."""

from __future__ import annotations

import math
import resource
from itertools import count
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.instance_room.held_bytes import HeldBytes, Holder, HolderKind
from sesamepoint_core.instance_room.memory_bounds import MemoryBounds
from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.instance_room.limits import InstanceLimits

# Second field: resident pages.
STATM_PATH = Path('/proc/self/statm')
MEASURE_INTERVAL_S = 1.0


class MemoryRoom:
    """Held bytes by caller and runner, and the bounds on their sum."""

    def __init__(self, limits: InstanceLimits) -> None:
        """Bound the sum by the memory limit; the size of the process is measured later."""
        self.held = HeldBytes()
        self.refused = 0
        self.disconnected = 0
        self._numbers = count(1)
        self._disconnects: dict[Holder, Callable[[], None]] = {}
        self._freed = trio.Event()
        self._turns = trio.Lock()
        self._process_bytes: float = 0
        self.resize(limits)

    def resize(self, limits: InstanceLimits) -> None:
        """Apply changed limits."""
        self._limit_bytes = limits.memory_bytes
        self.bounds = MemoryBounds.from_limit(limits.memory_bytes, self._process_bytes)

    @property
    def limited(self) -> bool:
        """Return whether there is a memory limit."""
        return not math.isinf(self._limit_bytes)

    def open_account(self, address: str, disconnect: Callable[[], None]) -> CallerAccount:
        """Return the account of a new connection of a caller; ``disconnect`` must close the connection."""
        holder = Holder(HolderKind.caller, address, next(self._numbers))
        self._disconnects[holder] = disconnect
        return CallerAccount(self, holder)

    def close_account(self, holder: Holder) -> None:
        """Count the bytes of an ended connection as released."""
        self._disconnects.pop(holder, None)
        self.remove(holder, self.held.held_for(holder))

    def remove(self, holder: Holder, size: int) -> None:
        """Count bytes of ``holder`` as released."""
        self.held.remove(holder, size)
        self._freed.set()
        self._freed = trio.Event()

    async def wait_for_release(self) -> None:
        """Wait until some bytes are released."""
        await self._freed.wait()

    async def wait_for_turn(self) -> None:
        """Wait until a part of a large answer may be passed on: one in each pass of the loop.

        Runners that send without end have always something to read. When each of their answers was passed on in each
        pass, the passes took so long that nine in ten requests for another service were not served in time.
        """
        async with self._turns:
            await trio.lowlevel.checkpoint()

    def shed_largest(self) -> None:
        """Disconnect the largest slow readers until the sum is within the last bound.

        A caller with less than an equal share of the bound is kept: bodies of
        requests, or bytes for runners, take up the memory then.
        """
        while self.held.over(self.bounds.disconnect):
            holder = self.held.largest(HolderKind.caller)
            if holder not in self._disconnects or not self.held.must_pause(holder, self.bounds.disconnect):
                return
            self.disconnected += 1
            events.log_event(
                events.SLOW_READER_DISCONNECTED,
                caller=holder.address,
                held_bytes=self.held.held_for(holder),
                caller_bytes=self.held.held_at(HolderKind.caller, holder.address),
                total_bytes=self.held.total,
                bound_bytes=int(self.bounds.disconnect),
            )
            self._disconnects[holder]()
            self.close_account(holder)

    def measure(self) -> None:
        """Measure the size of the process, and set the bounds by what it leaves."""
        try:
            pages = int(STATM_PATH.read_text(encoding='ascii').split()[1])
        except (OSError, IndexError, ValueError) as exc:
            events.log_event(events.PROCESS_SIZE_UNKNOWN, cause=repr(exc))
            return
        self._process_bytes = max(pages * resource.getpagesize() - self.held.total, 0)
        self.bounds = MemoryBounds.from_limit(self._limit_bytes, self._process_bytes)

    async def run(self) -> None:
        """Measure the size of the process at an interval, while there is a limit."""
        while True:
            if self.limited:
                self.measure()
            await trio.sleep(MEASURE_INTERVAL_S)


class CallerAccount:
    """The bytes held for one connection of a caller."""

    def __init__(self, room: MemoryRoom, holder: Holder) -> None:
        """Count bytes for ``holder``."""
        self._room = room
        self._holder = holder
        self._request = holder._replace(kind=HolderKind.request)

    def admits(self, more: int) -> bool:
        """Return whether ``more`` bytes of a request may be read into memory."""
        return not self._room.held.over(self._room.bounds.refuse, more)

    def add(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self._room.held.add(self._holder, size)
        self._room.shed_largest()

    def remove(self, size: int) -> None:
        """Count bytes that are no longer held."""
        self._room.remove(self._holder, size)

    def add_body(self, size: int) -> None:
        """Count bytes of a request's body that are held from now on."""
        self._room.held.add(self._request, size)

    def remove_body(self, size: int) -> None:
        """Count bytes of a request's body that are no longer held."""
        self._room.remove(self._request, size)

    def must_pause(self) -> bool:
        """Return whether nothing more may be read for this caller."""
        return self._room.held.must_pause(self._holder, self._room.bounds.pause)

    async def wait_for_room(self) -> None:
        """Wait until some bytes of any holder have been released."""
        await self._room.wait_for_release()

    async def wait_for_turn(self) -> None:
        """Wait until a part of a large answer may be passed on to this caller."""
        await self._room.wait_for_turn()

    def close(self) -> None:
        """Count all bytes of the connection as released."""
        self._room.close_account(self._holder)
        self._room.close_account(self._request)


__all__ = ('CallerAccount', 'MemoryRoom')
