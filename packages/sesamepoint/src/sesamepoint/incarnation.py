"""The identity of one start of a process."""

from __future__ import annotations

import uuid

SUFFIX_CHARS = 12


def new_incarnation(name: str) -> str:
    """Return an identity that no other start of ``name`` has."""
    return f'{name}-{uuid.uuid4().hex[:SUFFIX_CHARS]}'


__all__ = ('new_incarnation',)
