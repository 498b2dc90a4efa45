"""Model of the KV cache of one runner, from the prompts that were sent to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.serving.prompt import Part

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

# Share of the memory that the model fills. Running requests occupy the same memory,
# and the order of use is known only roughly, so the model has to evict a block
# earlier rather than later than the runner does.
SHARE_FOR_PARTS = 0.9


class CacheModel:
    """Prefix blocks in the KV cache of one runner, least recently used first.

    A block is of use only if all blocks before it are cached too: an engine can
    skip the beginning of a prompt, not its middle.
    """

    def __init__(self, kv_tokens: int) -> None:
        """Set the memory of the runner, in tokens."""
        self._room = 0
        self._held: dict[str, int] = {}
        self._reading: dict[str, str] = {}
        self._used = 0
        self.resize(kv_tokens)

    def resize(self, kv_tokens: int) -> None:
        """Change the memory of the runner, in tokens."""
        self._room = int(kv_tokens * SHARE_FOR_PARTS)
        self._shrink()

    @property
    def kept(self) -> tuple[Part, ...]:
        """Return all cached blocks, least recently used first."""
        return tuple(Part(key, tokens) for key, tokens in self._held.items())

    def cached(self, parts: Sequence[Part]) -> int:
        """Return the number of tokens at the start of a prompt that need no prefill here.

        Blocks whose prefill is in progress count: it ends before that of a later
        request begins.
        """
        return self._head_tokens(parts, ())

    def readable(self, parts: Sequence[Part]) -> int:
        """Return the number of tokens at the start of a prompt that other runners can fetch."""
        return self._head_tokens(parts, self._reading)

    def touch(self, parts: Sequence[Part], reader: str = '') -> None:
        """Note that the runner uses these blocks; a second argument names their prefill in progress."""
        for part in parts:
            if reader and part.key not in self._held:
                self._reading[part.key] = reader
            self._used += part.tokens - self._held.pop(part.key, 0)
            self._held[part.key] = part.tokens
        self._shrink()

    def recall(self, parts: Sequence[Part]) -> None:
        """Add the blocks that the runner reports; those in the model already were used later."""
        known = self.kept
        self._held = {}
        self._used = 0
        self.touch(parts)
        self.touch(known)

    def read(self, reader: str) -> None:
        """Note that a prefill has ended, so that its blocks can be fetched."""
        self._reading = {key: name for key, name in self._reading.items() if name != reader}

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
