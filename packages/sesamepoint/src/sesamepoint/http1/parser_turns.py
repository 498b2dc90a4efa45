"""Lets other tasks run while a parser returns many events from one receive."""

from __future__ import annotations

import trio

# Events between two checkpoints. One receive of 64 KiB may hold ten thousand chunks of a byte.
EVENTS_PER_TURN = 32


class ParserTurns:
    """Counts the events of a parser, and lets other tasks run after each few."""

    def __init__(self) -> None:
        """Start with no event."""
        self._events = 0

    async def note_event(self) -> None:
        """Count an event; it is not lost by a cancellation here."""
        self._events += 1
        if self._events >= EVENTS_PER_TURN:
            self._events = 0
            await trio.lowlevel.cancel_shielded_checkpoint()


__all__ = ('EVENTS_PER_TURN', 'ParserTurns')
