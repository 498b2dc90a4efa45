"""Weighted rendezvous hashing: everyone agrees where a thing lives."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_CRC_BITS = 32
_HASH_SPAN = 1 << _CRC_BITS


def home_of(thing: str, weights: Iterable[tuple[str, float]]) -> str:
    """Return the member that ``thing`` belongs to; empty if there is none.

    Members get things in proportion to their weights, and one that comes or
    goes moves only its own things.
    """
    best, best_score = '', -math.inf
    for member, weight in weights:
        drawn = (zlib.crc32(f'{thing} {member}'.encode()) + 1) / (_HASH_SPAN + 1)
        score = -weight / math.log(drawn)
        if score > best_score:
            best, best_score = member, score
    return best


__all__ = ('home_of',)
