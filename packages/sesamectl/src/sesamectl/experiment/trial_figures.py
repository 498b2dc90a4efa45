"""Figures of a finished trial."""

from __future__ import annotations

from collections import Counter
from statistics import quantiles
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Unknown
from sesamectl.experiment.goodput_bound import ideal_goodput

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamectl.experiment.trial import FinishedTrial, RequestEnd, Trial

QUANTILE_COUNT = 20
DECIMALS = 4
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


def compute_figures(trial: Trial, finished: FinishedTrial) -> Figures:
    """Compute the figures of a finished trial."""
    tags = Counter(_outcome_tag(ended) for ended in finished.ended)
    offered = len(finished.ended)
    in_time = tags[Answered.tag]
    return Figures(
        offered=offered,
        answered_in_time=in_time,
        late=tags['late'],
        not_run=tags[NotRun.tag],
        unknown=tags[Unknown.tag],
        failed=tags[Failed.tag],
        goodput=round(in_time / max(offered, 1), DECIMALS),
        role_changes=finished.role_changes,
        first_token_p95_s=_p95([ended.first_token_s for ended in finished.ended if ended.first_token_s is not None]),
        inter_token_p95_s=_p95([ended.mean_gap_s for ended in finished.ended if ended.mean_gap_s is not None]),
        duplicates=finished.duplicates,
        cut_off=finished.cut_off,
        ideal_goodput=round(ideal_goodput(trial, [ended.arrival for ended in finished.ended]), DECIMALS),
    )


def _outcome_tag(ended: RequestEnd) -> str:
    outcome = ended.outcome
    late = isinstance(outcome, Answered) and ended.took_s > ended.arrival.request.timeout_s
    if late or (isinstance(outcome, Failed) and outcome.code == LATE_CODE):
        return 'late'
    return outcome.tag


def _p95(samples: Sequence[float]) -> float:
    if len(samples) < 2:
        return 0
    return round(quantiles(samples, n=QUANTILE_COUNT)[-1], DECIMALS)


__all__ = ('Figures', 'compute_figures')
