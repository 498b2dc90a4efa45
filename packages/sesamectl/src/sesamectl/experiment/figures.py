"""Figures of a finished trial."""

from __future__ import annotations

from collections import Counter
from statistics import quantiles
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Unknown
from sesamectl.experiment.ideal import ideal_goodput

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamectl.experiment.run import Ended, Finished, Trial

PERCENTILES = 20
PLACES = 4
LATE_CODE = 'deadline_passed'


class Figures(NamedTuple):
    """Counts, shares and times of one trial; docs/EXPERIMENTS.md explains each."""

    offered: int
    answered_in_time: int
    late: int
    not_run: int
    unknown: int
    failed: int
    goodput: float
    role_changes: int
    first_token_p95_s: float
    inter_token_p95_s: float
    duplicates: int
    cut_off: int
    ideal_goodput: float


def figures(trial: Trial, finished: Finished) -> Figures:
    """Compute the figures of a finished trial."""
    tags = Counter(_tag(ended) for ended in finished.ended)
    offered = len(finished.ended)
    in_time = tags[Answered.tag]
    return Figures(
        offered=offered,
        answered_in_time=in_time,
        late=tags['late'],
        not_run=tags[NotRun.tag],
        unknown=tags[Unknown.tag],
        failed=tags[Failed.tag],
        goodput=round(in_time / max(offered, 1), PLACES),
        role_changes=finished.role_changes,
        first_token_p95_s=_p95([ended.first_s for ended in finished.ended if ended.first_s is not None]),
        inter_token_p95_s=_p95([ended.gap_s for ended in finished.ended if ended.gap_s is not None]),
        duplicates=finished.duplicates,
        cut_off=finished.cut_off,
        ideal_goodput=round(ideal_goodput(trial, [ended.arrival for ended in finished.ended]), PLACES),
    )


def _tag(ended: Ended) -> str:
    outcome = ended.outcome
    late = isinstance(outcome, Answered) and ended.took_s > ended.arrival.req.timeout_s
    if late or (isinstance(outcome, Failed) and outcome.code == LATE_CODE):
        return 'late'
    return outcome.tag


def _p95(samples: Sequence[float]) -> float:
    if len(samples) < 2:
        return 0
    return round(quantiles(samples, n=PERCENTILES)[-1], PLACES)


__all__ = ('Figures', 'figures')
