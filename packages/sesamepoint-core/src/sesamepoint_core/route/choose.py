"""Registered ways to pick a runner among candidates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sesamepoint_core.registry import Registry
from sesamepoint_core.route.candidate import Choice
from sesamepoint_core.route.estimate import cached_tokens, estimate

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sesamepoint_core.route.candidate import Candidate, Estimate, Need

SAMPLE = 4


class Chooser(Protocol):
    """Picks one of at least one candidates."""

    def __call__(self, candidates: Sequence[Candidate], need: Need, rng: Random) -> Choice:
        """Return the choice and what it was weighed against."""


CHOOSERS: Registry[Chooser] = Registry('routing policy')


@CHOOSERS.register('soonest')
def soonest_of_sample(candidates: Sequence[Candidate], need: Need, rng: Random) -> Choice:
    """Pick the soonest to finish among a few drawn at random.

    Reports are stale and all entries read the same ones. If each took the
    best of all, they would herd onto one runner until its report caught up;
    drawing a few first keeps them apart.
    """
    drawn = rng.sample(candidates, min(SAMPLE, len(candidates)))
    estimates = {found.runner: estimate(found, need) for found in drawn}
    best = min(estimates, key=lambda runner: estimates[runner].finish_s)
    others = tuple((name, guess.finish_s) for name, guess in estimates.items() if name != best)
    return Choice(best, estimates[best], others)


@CHOOSERS.register('least-delay')
def least_delay_of_sample(candidates: Sequence[Candidate], need: Need, rng: Random) -> Choice:
    """Pick the least delay to all: to this answer and to those it joins.

    Drawn at random first, for the reason given above. A long prompt goes
    where few answers run, and a long answer where few prompts wait, without
    a rule that names roles. Some that hold the prompt's prefix are looked at
    as well; they save its work, unless the queue there costs more. If none
    of those would be in time, all are looked at before the request is
    refused.
    """
    drawn = rng.sample(candidates, min(SAMPLE, len(candidates)))
    holders = [found for found in candidates if found not in drawn and cached_tokens(found.load, need)]
    choice = _least_delay([*drawn, *holders[:SAMPLE]], need)
    if choice.estimate.finish_s <= need.timeout_s:
        return choice
    return _least_delay(candidates, need)


def _least_delay(candidates: Sequence[Candidate], need: Need) -> Choice:
    estimates = {found.runner: estimate(found, need) for found in candidates}
    in_time = [runner for runner, guess in estimates.items() if guess.finish_s <= need.timeout_s]
    best = min(in_time or estimates, key=lambda runner: _cost(estimates[runner]))
    others = tuple((name, _cost(guess)) for name, guess in estimates.items() if name != best)
    return Choice(best, estimates[best], others)


def _cost(guess: Estimate) -> float:
    return guess.finish_s + guess.delay_s


@CHOOSERS.register('random')
def any_of_all(candidates: Sequence[Candidate], need: Need, rng: Random) -> Choice:
    """Pick at random: the baseline that knows nothing."""
    found = rng.choice(candidates)
    return Choice(found.runner, estimate(found, need), ())


__all__ = ('CHOOSERS', 'Chooser')
