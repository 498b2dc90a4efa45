"""Subset of the runners of a large fleet that one instance uses."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_WHOLE_FLEET = 16
SUBSET_SIZE = 6
CRC_BITS = 32
# Number of hash values.
_HASH_COUNT = 1 << CRC_BITS


def choose_subset(instance: str, runners: Sequence[str]) -> tuple[str, ...]:
    """Return the runners of one fleet that the instance ``instance`` uses.

    Of a small fleet, all are used. Of a large one, an instance uses the few
    runners with the lowest hashes of both names (rendezvous hashing). Each
    runner is then used by its share of the instances, and a runner that is
    added or removed doesn't change the choice among the others. To use all of
    600 runners would cost an instance about a hundred times its share of
    processor time and network (docs/CAPACITY.md).
    """
    if len(runners) <= MAX_WHOLE_FLEET:
        return tuple(runners)
    return tuple(sorted(runners, key=lambda runner: zlib.crc32(f'{instance} {runner}'.encode()))[:SUBSET_SIZE])


def in_subset(instance: str, runner: str, fleet_size: int, subset_size: int) -> bool:
    """Tell whether the instance ``instance`` uses ``runner``.

    Of a fleet of up to ``subset_size`` runners, all are used; of a larger one, about
    ``subset_size``. Unlike :func:`choose_subset` this needs no list of the fleet, so each
    instance can compute it for any peer.
    """
    if fleet_size <= subset_size:
        return True
    return zlib.crc32(f'{instance} {runner}'.encode()) * fleet_size < subset_size * _HASH_COUNT


__all__ = ('MAX_WHOLE_FLEET', 'SUBSET_SIZE', 'choose_subset', 'in_subset')
