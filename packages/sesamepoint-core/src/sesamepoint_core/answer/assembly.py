"""Putting an answer together from numbered chunks."""

from __future__ import annotations


class Assembler:
    """Order chunks by number; drop repeats, hold back what came too early.

    A resumed attempt may send chunks again, and an old connection may still
    deliver some after the new one. Without numbers the caller would see text
    twice or torn; with them every chunk is released exactly once, in order.
    """

    def __init__(self) -> None:
        """Start before the first chunk."""
        self.released = 0
        self._early: dict[int, bytes] = {}
        self._total: int | None = None

    @property
    def complete(self) -> bool:
        """Whether the counted end is known and all before it is released."""
        return self._total is not None and self.released >= self._total

    def push(self, number: int, payload: bytes) -> list[bytes]:
        """Take one chunk and return those that are now in order."""
        if number >= self.released:
            self._early.setdefault(number, payload)
        ready = []
        while self.released in self._early:
            ready.append(self._early.pop(self.released))
            self.released += 1
        return ready

    def finish(self, total: int) -> None:
        """Learn how many chunks the whole answer has."""
        self._total = total


__all__ = ('Assembler',)
