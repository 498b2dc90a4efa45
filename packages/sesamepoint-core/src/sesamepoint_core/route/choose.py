"""Routing policies: each chooses a runner for a request from the candidates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sesamepoint_core.registry import Registry
from sesamepoint_core.route.candidate import Choice
from sesamepoint_core.route.estimate import cached_tokens, estimate

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sesamepoint_core.route.candidate import Candidate, Estimate, RequestSpec

SAMPLE_SIZE = 4


class Chooser(Protocol):
    """Routing policy; there is at least one candidate."""

    def __call__(self, candidates: Sequence[Candidate], request: RequestSpec, rng: Random) -> Choice:
        """Return the chosen runner and the alternatives."""


CHOOSERS: Registry[Chooser] = Registry('routing policy')


@CHOOSERS.register('soonest')
def soonest_of_sample(candidates: Sequence[Candidate], request: RequestSpec, rng: Random) -> Choice:
    """Choose the runner that would finish first, from a random sample.

    Load reports are stale, and all instances see the same ones. If each chose
    from all runners, they would all send to the same one until its report
    showed the load. A random sample spreads them.
    """
    sampled = rng.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
    estimates = {candidate.runner: estimate(candidate, request) for candidate in sampled}
    best = min(estimates, key=lambda runner: estimates[runner].finish_s)
    others = tuple((name, expected.finish_s) for name, expected in estimates.items() if name != best)
    return Choice(best, estimates[best], others)


@CHOOSERS.register('least-delay')
def least_delay_of_sample(candidates: Sequence[Candidate], request: RequestSpec, rng: Random) -> Choice:
    """Choose the runner with the least total delay, for this answer and those that run there.

    A random sample is used so that instances don't all choose the same runner.
    A long prompt goes to a runner with few running answers, and a long answer
    to one with few waiting prompts, without a rule for roles. The sample is
    extended by some runners that have the prompt's prefix in their cache: they
    skip its prefill, which may outweigh a longer queue. If none of these
    would meet the deadline, all candidates are considered before the request
    is refused.
    """
    sampled = rng.sample(candidates, min(SAMPLE_SIZE, len(candidates)))
    prefix_holders = [one for one in candidates if one not in sampled and cached_tokens(one.load, request)]
    choice = _least_delay([*sampled, *prefix_holders[:SAMPLE_SIZE]], request)
    if choice.estimate.finish_s <= request.timeout_s:
        return choice
    return _least_delay(candidates, request)


def _least_delay(candidates: Sequence[Candidate], request: RequestSpec) -> Choice:
    estimates = {candidate.runner: estimate(candidate, request) for candidate in candidates}
    in_time = [runner for runner, expected in estimates.items() if expected.finish_s <= request.timeout_s]
    best = min(in_time or estimates, key=lambda runner: _cost(estimates[runner]))
    others = tuple((name, _cost(expected)) for name, expected in estimates.items() if name != best)
    return Choice(best, estimates[best], others)


def _cost(expected: Estimate) -> float:
    return expected.finish_s + expected.delay_s


@CHOOSERS.register('random')
def random_choice(candidates: Sequence[Candidate], request: RequestSpec, rng: Random) -> Choice:
    """Choose at random, whatever the load is: the baseline for comparisons."""
    chosen = rng.choice(candidates)
    return Choice(chosen.runner, estimate(chosen, request), ())


__all__ = ('CHOOSERS', 'Chooser')
