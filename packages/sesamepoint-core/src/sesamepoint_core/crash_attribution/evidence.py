"""Evidence on the parts of prompts: ends of runners that had them, and whole answers to them."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.serving.poison_requests import BoundedName, Incarnation
from sesamepoint_core.serving.prompt import Part

# Longest name of a scope that is accepted from another process, in characters.
MAX_SCOPE_CHARS = 400
Scope = Annotated[str, msgspec.Meta(max_length=MAX_SCOPE_CHARS)]


class PartEnd(NamedTuple):
    """End of a runner that had a request with a part which no answer had cleared.

    Parameters
    ----------
    scope
        What ran there, as returned by :func:`scope_of`.
    alone
        Whether the request was sent as a probe, so that no other suspect was at the runner.
    """

    key: BoundedName
    tokens: Annotated[int, msgspec.Meta(ge=0)]
    incarnation: Incarnation
    scope: Scope = ''
    alone: bool = False


class PartAnswer(NamedTuple):
    """A part that was in a request with a whole answer."""

    key: BoundedName
    tokens: Annotated[int, msgspec.Meta(ge=0)]
    scope: Scope = ''

    @classmethod
    def from_part(cls, part: Part, scope: str) -> PartAnswer:
        """Return the answer of a runner of ``scope`` to a request with ``part``."""
        return cls(part.key, part.tokens, scope)


def scope_of(service: str, model: str, software_version: str | None) -> str:
    """Return the name of what runs a prompt: an answer clears its parts for the same software and model only."""
    return f'{service}/{model}/{software_version or ""}'[:MAX_SCOPE_CHARS]


__all__ = ('PartAnswer', 'PartEnd', 'Scope', 'scope_of')
