"""The attempts an agent knows, running and ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.control.signal import Signal
from sesamepoint.link.messages import End, Frame, FrameKind

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterator

BEAT_S = 5.0
GRACE_S = 30.0


class Attempt:
    """One attempt: its chunks so far, and its end.

    It belongs to no connection. Any number of streams may listen, come late
    and leave; the run goes on, so a broken connection costs nothing but
    the chunks in flight, and those are still here.
    """

    def __init__(self, timeout_s: float) -> None:
        """Start without chunks."""
        self.chunks: list[bytes] = []
        self.end: Frame | None = None
        self.scope = trio.CancelScope()
        self.deadline = trio.current_time() + timeout_s
        self.listeners = 0
        self.changed = Signal()

    def add(self, chunk: bytes) -> None:
        """Keep the next chunk."""
        self.chunks.append(chunk)
        self.changed.set_off()

    def finish(self, end: End, code: str = '') -> None:
        """Settle how it ended; the first word stands."""
        if self.end is None:
            self.end = Frame(FrameKind.end, len(self.chunks), b'', end, code)
        self.changed.set_off()

    async def frames(self, from_chunk: int) -> AsyncGenerator[Frame, None]:
        """Yield frames from ``from_chunk`` to the end, beats in between."""
        number = from_chunk
        while True:
            while number < len(self.chunks):
                yield Frame(FrameKind.chunk, number, self.chunks[number])
                number += 1
            if self.end is not None:
                yield self.end
                return
            if not await self.changed.wait_at_most(BEAT_S):
                yield Frame(FrameKind.beat, number)


class AttemptTable:
    """Attempts by identity, forgotten some time after their deadline.

    An entry never resumes after the caller's deadline. Whatever is missing
    here before that time has truly not been seen by this incarnation.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._attempts: dict[str, Attempt] = {}

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over all attempts."""
        return iter(self._attempts.values())

    @property
    def running(self) -> int:
        """How many have not ended or still have a listener."""
        return sum(found.end is None or bool(found.listeners) for found in self)

    def get(self, name: str) -> Attempt | None:
        """Look an attempt up."""
        return self._attempts.get(name)

    def create(self, name: str, timeout_s: float) -> Attempt:
        """Add a new attempt."""
        self._attempts[name] = Attempt(timeout_s)
        return self._attempts[name]

    def prune(self) -> None:
        """Forget ended attempts whose deadline is long past."""
        horizon = trio.current_time() - GRACE_S
        old = [name for name, found in self._attempts.items() if found.end and found.deadline < horizon]
        for name in old:
            self._attempts.pop(name)


__all__ = ('Attempt', 'AttemptTable')
