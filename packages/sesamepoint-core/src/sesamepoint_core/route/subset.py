"""Which runners of a large fleet an entry keeps an eye on."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

WHOLE_FLEET = 16
SUBSET = 6
CRC_BITS = 32
# One more than the largest hash.
_HASHES = 1 << CRC_BITS


def subset(entry: str, runners: Sequence[str]) -> tuple[str, ...]:
    """Return the runners of one fleet that ``entry`` knows.

    A small fleet is known whole. Of a large one each entry ranks all runners
    by a hash of both names and takes the first few: every runner is then
    known to its share of the entries, and one that comes or goes moves no
    other. Known in full, 600 runners would cost an entry some hundred times
    its share of processor and network (docs/CAPACITY.md).
    """
    if len(runners) <= WHOLE_FLEET:
        return tuple(runners)
    return tuple(sorted(runners, key=lambda runner: zlib.crc32(f'{entry} {runner}'.encode()))[:SUBSET])


def is_known(entry: str, runner: str, fleet_size: int, known: int) -> bool:
    """Tell whether ``entry`` knows ``runner``: all of a fleet of ``known``, else about so many.

    Unlike :func:`subset` this needs no list of the fleet, so that each entry
    can tell of any other what it knows.
    """
    if fleet_size <= known:
        return True
    return zlib.crc32(f'{entry} {runner}'.encode()) * fleet_size < known * _HASHES


__all__ = ('SUBSET', 'WHOLE_FLEET', 'is_known', 'subset')
