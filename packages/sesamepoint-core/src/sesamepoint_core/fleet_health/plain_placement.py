"""Methods that choose a plain runner by its load and its failures."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from sesamepoint_core.fleet_health.kept_runners import RunnerLoad, kept_runners
from sesamepoint_core.registry import Registry

# Assumed slots of a runner whose registration names none.
DEFAULT_SLOTS = 1
# Response time that is assumed before any was measured, in seconds.
DEFAULT_RESPONSE_S = 0.05
# Runners that are drawn at random, of which the better one is chosen. Reports of load are up to
# some seconds old; if all instances chose the best runner by them, it would get all requests
# until the next reports, so they only set the odds.
CHOICES = 2


class PlainCandidate(NamedTuple):
    """A plain runner that a request may be sent to.

    Parameters
    ----------
    slots
        Requests that it runs at once; 0 if that is unknown.
    own_in_flight
        Requests of this instance in flight there, with a penalty for another zone.
    peers_in_flight
        Requests of the peers in flight there, by their reports.
    failure_share
        Share of its requests that are expected to fail.
    response_s
        Mean response time in seconds; 0 if it is unknown.
    """

    runner: str
    slots: int
    own_in_flight: float
    peers_in_flight: float = 0
    failure_share: float = 0
    response_s: float = 0


PlacementMethod = Callable[[Sequence[PlainCandidate], float, Random], PlainCandidate]

PLACEMENT_METHODS: Registry[PlacementMethod] = Registry('method to choose a plain runner')


@PLACEMENT_METHODS.register('own')
def least_own(candidates: Sequence[PlainCandidate], lost_cost_s: float, rng: Random) -> PlainCandidate:
    """Choose the runner with the fewest requests of this instance in flight."""
    return min(candidates, key=_own_in_flight)


@PLACEMENT_METHODS.register('shared')
def least_cost(candidates: Sequence[PlainCandidate], lost_cost_s: float, rng: Random) -> PlainCandidate:
    """Choose by expected cost, from the load and the failures that all instances report.

    A runner is avoided if the loss expected there, above that at the best one, costs
    more than a response takes, as long as the others can carry the load. Of the rest,
    two are drawn at random, in proportion to the slots that the peers leave free, and
    the one with fewer requests of this instance is chosen.

    Parameters
    ----------
    lost_cost_s
        Cost of a lost answer, in seconds of waiting.
    """
    least = min(one.failure_share for one in candidates)
    usable = [one for one in candidates if (one.failure_share - least) * lost_cost_s <= _response_s(one)]
    avoided = [one for one in candidates if one not in usable]
    kept = kept_runners([_load(one) for one in usable], [_load(one) for one in avoided]) if avoided else ()
    usable.extend(one for one in avoided if one.runner in kept)
    free = [max(_slots(one) - one.peers_in_flight, 0) for one in usable]
    drawn = rng.choices(usable, free if any(free) else None, k=CHOICES)
    return min(drawn, key=_own_in_flight)


def _own_in_flight(one: PlainCandidate) -> float:
    return one.own_in_flight


def _load(one: PlainCandidate) -> RunnerLoad:
    return RunnerLoad(one.runner, one.slots, one.own_in_flight + one.peers_in_flight, one.failure_share)


def _response_s(one: PlainCandidate) -> float:
    return one.response_s or DEFAULT_RESPONSE_S


def _slots(one: PlainCandidate) -> int:
    return one.slots or DEFAULT_SLOTS


__all__ = ('PLACEMENT_METHODS', 'PlacementMethod', 'PlainCandidate', 'least_cost', 'least_own')
