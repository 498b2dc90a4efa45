"""Registered ways to pick a runner among candidates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sesamepoint_core.registry import Registry
from sesamepoint_core.route.candidate import Choice
from sesamepoint_core.route.estimate import estimate

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sesamepoint_core.route.candidate import Candidate, Need

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


@CHOOSERS.register('random')
def any_of_all(candidates: Sequence[Candidate], need: Need, rng: Random) -> Choice:
    """Pick at random: the baseline that knows nothing."""
    found = rng.choice(candidates)
    return Choice(found.runner, estimate(found, need), ())


__all__ = ('CHOOSERS', 'Chooser')
