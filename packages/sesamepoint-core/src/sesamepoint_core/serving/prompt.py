"""A prompt as its caller describes it: parts that others may share."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec


class Part(NamedTuple):
    """A run of prompt tokens; the same key means the same tokens."""

    key: str
    # Checked where parts come from other processes.
    tokens: Annotated[int, msgspec.Meta(ge=0)]


class Prompt(NamedTuple):
    """The parts of a prompt in order, and the answer's size in tokens.

    The last part is the request's own; those before it may be shared.
    """

    model: str
    parts: tuple[Part, ...]
    tokens: int
    max_output: int


__all__ = ('Part', 'Prompt')
