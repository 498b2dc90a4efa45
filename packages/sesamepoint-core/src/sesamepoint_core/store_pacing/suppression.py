"""Random delays after which one of many instances acts for all."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random


def draw_suppressing_share(instances: int, rng: Random) -> float:
    """Return a random share from 0 to 1 of the time within which one of ``instances`` is to act.

    The density grows exponentially towards 1, so that with any number of
    instances about one is first, early enough for its message to arrive before
    the next one acts. Multicast receivers suppress duplicate feedback in the
    same way.
    """
    steepness = 1 + math.log(max(instances, 1))
    return math.log1p(rng.random() * math.expm1(steepness)) / steepness


__all__ = ('draw_suppressing_share',)
