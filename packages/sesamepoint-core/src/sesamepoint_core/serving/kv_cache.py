"""Model of the KV cache of one runner, from the prompts that were sent to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.serving.prompt import Part

if TYPE_CHECKING:
    from collections.abc import Container, Sequence

# Share of the memory that the model fills. Running requests occupy the same memory,
# and the order of use is known only roughly, so the model has to evict a block
# earlier rather than later than the runner does.
BLOCK_MEMORY_SHARE = 0.9


class CacheModel:
    """Prefix blocks in the KV cache of one runner, least recently used first.

    A block is of use only if all blocks before it are cached too: an engine can
    skip the beginning of a prompt, not its middle.
    """

    def __init__(self, kv_tokens: int) -> None:
        """Set the memory of the runner, in tokens."""
        self._capacity = 0
        self._token_counts: dict[str, int] = {}
        self._prefills: dict[str, str] = {}
        self._used_tokens = 0
        self.resize(kv_tokens)

    def resize(self, kv_tokens: int) -> None:
        """Change the memory of the runner, in tokens."""
        self._capacity = int(kv_tokens * BLOCK_MEMORY_SHARE)
        self._shrink()

    @property
    def blocks(self) -> tuple[Part, ...]:
        """Return all cached blocks, least recently used first."""
        return tuple(Part(key, tokens) for key, tokens in self._token_counts.items())

    def cached_tokens(self, blocks: Sequence[Part]) -> int:
        """Return the number of tokens at the start of a prompt that need no prefill here.

        Blocks whose prefill is in progress count: it ends before that of a later
        request begins.
        """
        return self._prefix_tokens(blocks, ())

    def fetchable_tokens(self, blocks: Sequence[Part]) -> int:
        """Return the number of tokens at the start of a prompt that other runners can fetch."""
        return self._prefix_tokens(blocks, self._prefills)

    def touch(self, blocks: Sequence[Part], prefill_id: str = '') -> None:
        """Note that the runner uses these blocks; a second argument names their prefill in progress."""
        for block in blocks:
            if prefill_id and block.key not in self._token_counts:
                self._prefills[block.key] = prefill_id
            self._used_tokens += block.tokens - self._token_counts.pop(block.key, 0)
            self._token_counts[block.key] = block.tokens
        self._shrink()

    def merge_reported(self, reported: Sequence[Part]) -> None:
        """Add the blocks that the runner reports; those in the model already were used later."""
        modelled = self.blocks
        self._token_counts = {}
        self._used_tokens = 0
        self.touch(reported)
        self.touch(modelled)

    def end_prefill(self, prefill_id: str) -> None:
        """Note that a prefill has ended, so that its blocks can be fetched."""
        self._prefills = {key: name for key, name in self._prefills.items() if name != prefill_id}

    def _shrink(self) -> None:
        while self._used_tokens > self._capacity and self._token_counts:
            self._evict(next(iter(self._token_counts)))

    def _evict(self, key: str) -> None:
        self._used_tokens -= self._token_counts.pop(key)
        self._prefills.pop(key, None)

    def _prefix_tokens(self, blocks: Sequence[Part], excluded: Container[str]) -> int:
        total = 0
        for block in blocks:
            if block.key not in self._token_counts or block.key in excluded:
                break
            total += block.tokens
        return total


__all__ = ('CacheModel',)
