"""Which instance probes an ejected runner on behalf of all."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.serving.poison_requests import Incarnation

# Instances beyond this place probe together with the last one before it: without messages
# no instance waits for more than this many others.
MAX_RANK = 5


def probe_rank(incarnation: Incarnation, instance: str, peers: Iterable[str]) -> int:
    """Return the place of ``instance`` among those that may probe a runner, by rendezvous hash.

    All instances compute the same order from the list of instances, and an instance
    that comes or goes does not change the order of the others.
    """
    own = _weight(incarnation, instance)
    return min(sum(_weight(incarnation, peer) < own for peer in peers), MAX_RANK)


def _weight(incarnation: Incarnation, instance: str) -> tuple[int, str]:
    text = f'{incarnation.runner} {incarnation.born_ms} {instance}'
    return zlib.crc32(text.encode()), instance


__all__ = ('MAX_RANK', 'probe_rank')
