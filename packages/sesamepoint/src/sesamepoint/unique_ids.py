"""Generation of unique ids."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

ID_BITS = 128
SUFFIX_BITS = 48


def new_id(rng: Random, bits: int = ID_BITS) -> str:
    """Return a random id in hexadecimal."""
    return f'{rng.getrandbits(bits):x}'


def new_incarnation(name: str, rng: Random) -> str:
    """Return an id that differs for each start of ``name``."""
    return f'{name}-{new_id(rng, SUFFIX_BITS)}'


__all__ = ('new_id', 'new_incarnation')
