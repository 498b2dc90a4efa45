"""Which runners of a large fleet an entry keeps an eye on."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

WHOLE_FLEET = 16
SUBSET = 6


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


__all__ = ('SUBSET', 'WHOLE_FLEET', 'subset')
