"""Table of an agent's attempts, running and ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.control.notifier import Notifier
from sesamepoint.link.messages import AttemptOutcome, Frame, FrameKind

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Iterator

HEARTBEAT_INTERVAL_S = 5.0
RETENTION_S = 30.0


class Attempt:
    """One attempt: its chunks so far and its end frame.

    It is not bound to a connection. Any number of streams may listen, and may
    start and stop at any time; the run continues. A broken connection loses
    only the chunks in flight, which are still stored here.
    """

    def __init__(self, timeout_s: float) -> None:
        """Start without chunks."""
        self.chunks: list[bytes] = []
        self.end_frame: Frame | None = None
        self.scope = trio.CancelScope()
        self.deadline = trio.current_time() + timeout_s
        self.listeners = 0
        self.changed = Notifier()

    def add_chunk(self, chunk: bytes) -> None:
        """Append the next chunk."""
        self.chunks.append(chunk)
        self.changed.notify_all()

    def finish(self, outcome: AttemptOutcome, code: str = '') -> None:
        """Record how it ended; the first outcome is kept."""
        if self.end_frame is None:
            self.end_frame = Frame(FrameKind.end, len(self.chunks), b'', outcome, code)
        self.changed.notify_all()

    async def frames(self, from_chunk: int) -> AsyncGenerator[Frame, None]:
        """Yield frames from ``from_chunk`` to the end frame, with heartbeats while no chunk arrives."""
        number = from_chunk
        while True:
            while number < len(self.chunks):
                yield Frame(FrameKind.chunk, number, self.chunks[number])
                number += 1
            if self.end_frame is not None:
                yield self.end_frame
                return
            if not await self.changed.wait_with_timeout(HEARTBEAT_INTERVAL_S):
                yield Frame(FrameKind.heartbeat, number)


class AttemptTable:
    """Attempts by identity, removed some time after their deadline.

    An instance never resumes an attempt after the caller's deadline. An
    attempt that is missing here before its deadline was never received by this
    incarnation.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._attempts: dict[str, Attempt] = {}

    def __iter__(self) -> Iterator[Attempt]:
        """Iterate over all attempts."""
        return iter(self._attempts.values())

    @property
    def active_count(self) -> int:
        """Number of attempts that have not ended or still have a listener."""
        return sum(attempt.end_frame is None or bool(attempt.listeners) for attempt in self)

    def get(self, name: str) -> Attempt | None:
        """Return an attempt, or None if it is not in the table."""
        return self._attempts.get(name)

    def create(self, name: str, timeout_s: float) -> Attempt:
        """Add a new attempt."""
        self._attempts[name] = Attempt(timeout_s)
        return self._attempts[name]

    def prune(self) -> None:
        """Remove ended attempts some time after their deadline."""
        horizon = trio.current_time() - RETENTION_S
        expired = [name for name, attempt in self._attempts.items() if attempt.end_frame and attempt.deadline < horizon]
        for name in expired:
            self._attempts.pop(name)


__all__ = ('Attempt', 'AttemptTable')
