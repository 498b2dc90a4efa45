"""Subset of the runners of a large fleet that one instance uses."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

WHOLE_FLEET = 16
SUBSET = 6
CRC_BITS = 32
# Number of hash values.
_HASHES = 1 << CRC_BITS


def subset(entry: str, runners: Sequence[str]) -> tuple[str, ...]:
    """Return the runners of one fleet that the instance ``entry`` uses.

    Of a small fleet, all are used. Of a large one, an instance uses the few
    runners with the lowest hashes of both names (rendezvous hashing). Each
    runner is then used by its share of the instances, and a runner that is
    added or removed doesn't change the choice among the others. To use all of
    600 runners would cost an instance about a hundred times its share of
    processor time and network (docs/CAPACITY.md).
    """
    if len(runners) <= WHOLE_FLEET:
        return tuple(runners)
    return tuple(sorted(runners, key=lambda runner: zlib.crc32(f'{entry} {runner}'.encode()))[:SUBSET])


def is_known(entry: str, runner: str, fleet_size: int, known: int) -> bool:
    """Tell whether the instance ``entry`` uses ``runner``.

    Of a fleet of up to ``known`` runners, all are used; of a larger one, about
    ``known``. Unlike :func:`subset` this needs no list of the fleet, so each
    instance can compute it for any peer.
    """
    if fleet_size <= known:
        return True
    return zlib.crc32(f'{entry} {runner}'.encode()) * fleet_size < known * _HASHES


__all__ = ('SUBSET', 'WHOLE_FLEET', 'is_known', 'subset')
