"""What a runner's memory probably holds, from what was sent to it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.serving.prompt import Part

# Running requests share the memory with cached parts. With the figures of
# today's deployments they take under a tenth of it; a fifth is left free so
# that the model forgets a part rather sooner than the runner does.
SHARE_FOR_PARTS = 0.8


class CacheModel:
    """Shared prompt parts in one runner's memory, least recently used first.

    A part counts only if all parts before it are held too: an engine can
    skip a head of the prompt, not its middle.
    """

    def __init__(self, kv_tokens: int) -> None:
        """Size the model by the memory of the runner, in tokens."""
        self._room = int(kv_tokens * SHARE_FOR_PARTS)
        self._held: dict[str, int] = {}
        self._used = 0

    def __contains__(self, key: str) -> bool:
        """Tell whether the part named ``key`` is held."""
        return key in self._held

    def cached(self, parts: Sequence[Part]) -> int:
        """Return the tokens at the head of ``parts`` that are held."""
        total = 0
        for part in parts:
            if part.key not in self._held:
                break
            total += part.tokens
        return total

    def touch(self, parts: Sequence[Part]) -> None:
        """Note that the runner has just read or used ``parts``."""
        for part in parts:
            self._used += part.tokens - self._held.pop(part.key, 0)
            self._held[part.key] = part.tokens
        while self._used > self._room and self._held:
            oldest = next(iter(self._held))
            self._used -= self._held.pop(oldest)

    def clear(self) -> None:
        """Forget all: the runner has restarted or lost its memory."""
        self._held.clear()
        self._used = 0


__all__ = ('CacheModel',)
