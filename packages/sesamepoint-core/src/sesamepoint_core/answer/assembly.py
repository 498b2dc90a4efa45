"""Reassembly of an answer from numbered chunks."""

from __future__ import annotations


class Assembler:
    """Reorder chunks by number: drop duplicates and buffer chunks that are out of order.

    A resumed attempt may send chunks again, and an old connection may still
    deliver chunks after the new one does. Without numbers the caller could
    get text twice or in the wrong order; here each chunk is released exactly
    once, in order.
    """

    def __init__(self) -> None:
        """Start before the first chunk."""
        self.released = 0
        self._out_of_order: dict[int, bytes] = {}
        self._total: int | None = None

    @property
    def complete(self) -> bool:
        """Whether the number of chunks is known and all of them are released."""
        return self._total is not None and self.released >= self._total

    def push(self, number: int, payload: bytes) -> list[bytes]:
        """Add one chunk and return the chunks that can be released now, in order."""
        if number >= self.released:
            self._out_of_order.setdefault(number, payload)
        in_order = []
        while self.released in self._out_of_order:
            in_order.append(self._out_of_order.pop(self.released))
            self.released += 1
        return in_order

    def expect_total(self, total: int) -> None:
        """Set the number of chunks of the whole answer."""
        self._total = total


__all__ = ('Assembler',)
