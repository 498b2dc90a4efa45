"""A prompt as its caller describes it, in prefix blocks that other prompts may share."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.field_types import Tokens


class Part(NamedTuple):
    """A prefix block: a sequence of prompt tokens; the same key means the same tokens."""

    key: str
    # msgspec checks the bound where blocks are received from other processes.
    tokens: Tokens


class Prompt(NamedTuple):
    """The prefix blocks of a prompt in order, its length and the longest answer, in tokens.

    The last block belongs to this request alone; those before it may be shared.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_output: int

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """Return the blocks that other prompts may share."""
        return self.parts[:-1]


__all__ = ('Part', 'Prompt')
