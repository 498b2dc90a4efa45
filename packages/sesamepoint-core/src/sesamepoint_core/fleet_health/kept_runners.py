"""Which failing runners stay in use because the others can't carry the load."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

# Share of their slots that the remaining runners may be loaded to: with more, requests that
# arrive at random wait for a slot.
MAX_OCCUPIED_SHARE = 0.8


class RunnerLoad(NamedTuple):
    """Load and failures of one runner.

    Parameters
    ----------
    slots
        Requests that it runs at once; 0 if that is unknown.
    in_flight
        Requests of all instances in flight there, as far as known.
    failure_share
        Share of its recent requests that failed.
    answers
        Whether it answers any requests.
    """

    runner: str
    slots: int
    in_flight: float
    failure_share: float = 0
    answers: bool = True


def kept_runners(healthy: Sequence[RunnerLoad], failing: Sequence[RunnerLoad]) -> list[str]:
    """Return the keys of the failing runners that stay in use, the least failing ones first.

    A failing runner stays in use while the others can't carry the load of all; one
    that answers nothing does not help. If all fail, the least failing one is used,
    even if it answers nothing: a bad runner is better than none.
    """
    demand = sum(one.in_flight for one in (*healthy, *failing))
    carried = sum(map(_capacity, healthy))
    by_failures = sorted(failing, key=_by_failures)
    kept = [] if healthy else by_failures[:1]
    carried += sum(map(_capacity, kept))
    for load in by_failures[len(kept) :]:
        if load.answers and carried < demand:
            kept.append(load)
            carried += _capacity(load)
    return [one.runner for one in kept]


def _capacity(load: RunnerLoad) -> float:
    return MAX_OCCUPIED_SHARE * load.slots if load.slots else math.inf


def _by_failures(load: RunnerLoad) -> tuple[bool, float]:
    return not load.answers, load.failure_share


__all__ = ('RunnerLoad', 'kept_runners')
