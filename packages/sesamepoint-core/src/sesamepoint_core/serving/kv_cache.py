"""What a runner's memory probably holds, from what was sent to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.serving.prompt import Part

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

# Running requests share the memory with cached parts, and the order of use
# is known only nearly. The model forgets a part rather sooner than its runner.
SHARE_FOR_PARTS = 0.9


class CacheModel:
    """Prompt parts in one runner's memory, least recently used first.

    A part counts only if all parts before it are held too: an engine can
    skip a head of the prompt, not its middle.
    """

    def __init__(self, kv_tokens: int) -> None:
        """Size the model by the memory of the runner, in tokens."""
        self._room = 0
        self._held: dict[str, int] = {}
        self._reading: dict[str, str] = {}
        self._used = 0
        self.resize(kv_tokens)

    def resize(self, kv_tokens: int) -> None:
        """Take another size of the runner's memory."""
        self._room = int(kv_tokens * SHARE_FOR_PARTS)
        self._shrink()

    @property
    def kept(self) -> tuple[Part, ...]:
        """Return all parts, least recently used first."""
        return tuple(Part(key, tokens) for key, tokens in self._held.items())

    def cached(self, parts: Sequence[Part]) -> int:
        """Return the tokens at the head of ``parts`` that need no reading here.

        What is still being read counts: whoever comes after it here finds it.
        """
        return self._head_tokens(parts, ())

    def readable(self, parts: Sequence[Part]) -> int:
        """Return the tokens at the head of ``parts`` that others could fetch."""
        return self._head_tokens(parts, self._reading)

    def touch(self, parts: Sequence[Part], reader: str = '') -> None:
        """Note that the runner uses ``parts``; ``reader`` is still at it."""
        for part in parts:
            if reader and part.key not in self._held:
                self._reading[part.key] = reader
            self._used += part.tokens - self._held.pop(part.key, 0)
            self._held[part.key] = part.tokens
        self._shrink()

    def recall(self, parts: Sequence[Part]) -> None:
        """Note what the runner says it keeps; what is known here already is newer."""
        newer = self.kept
        self._held = {}
        self._used = 0
        self.touch(parts)
        self.touch(newer)

    def read(self, reader: str) -> None:
        """Note that ``reader`` has read its parts."""
        self._reading = {key: by for key, by in self._reading.items() if by != reader}

    def _shrink(self) -> None:
        while self._used > self._room and self._held:
            self._evict(next(iter(self._held)))

    def _evict(self, key: str) -> None:
        self._used -= self._held.pop(key)
        self._reading.pop(key, None)

    def _head_tokens(self, parts: Sequence[Part], unread: Container[str]) -> int:
        total = 0
        for part in parts:
            if part.key not in self._held or part.key in unread:
                break
            total += part.tokens
        return total


__all__ = ('CacheModel',)
