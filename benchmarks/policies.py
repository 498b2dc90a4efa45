"""Comparison of the planning policies on all shipped scenarios. Run: ``make policies FIRST=1 LAST=3``."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from sesamectl.commands.experiment import SHIPPED_DEPLOYMENTS, build_trial
from sesamectl.experiment.scenario import shipped_scenarios
from sesamectl.experiment.trial import run_trial
from sesamectl.experiment.trial_figures import Figures, compute_figures

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

WORKERS = 5
POLICIES = ('default', 'fixed')
TABLE_HEADER = (
    '| user | scenario | policy | goodput/ideal median | worst | role changes | first token p95 s | inter-token p95 s |'
)


class TrialKey(NamedTuple):
    """The key of a trial."""

    user: str
    scenario: str
    policy: str
    seed: int


def measure(run: TrialKey) -> Figures:
    """Run one trial and return its figures."""
    trial = build_trial(*run)
    return compute_figures(trial, run_trial(trial))


def main(first: int, last: int) -> int:
    """Run all trials of the seeds and print the table."""
    cases = [(user, scenario) for user in SHIPPED_DEPLOYMENTS for scenario in shipped_scenarios(user)]
    runs = [TrialKey(*case, policy, seed) for case, policy, seed in product(cases, POLICIES, range(first, last + 1))]
    with ProcessPoolExecutor(WORKERS) as workers:
        measured = dict(zip(runs, workers.map(measure, runs), strict=True))
    for line in format_table(measured):
        sys.stdout.write(f'{line}\n')
    return 0


def format_table(found: dict[TrialKey, Figures]) -> Iterator[str]:
    """Yield the rows, then the number of duplicated and cut-off answers, which must be 0."""
    yield TABLE_HEADER
    yield '|---|---|---|---|---|---|---|---|'
    for name in dict.fromkeys(run[:3] for run in found):
        yield format_row(name, [figure for run, figure in found.items() if run[:3] == name])
    broken = sum(figure.duplicates + figure.cut_off for figure in found.values())
    yield f'\n{len(found)} runs; duplicates and cut-off answers in all of them: {broken}'


def format_row(name: tuple[str, str, str], runs: Sequence[Figures]) -> str:
    """Return one row of the table."""
    shares = [run.goodput / run.ideal_goodput for run in runs]
    cells = [
        *name,
        f'{median(shares):.3f}',
        f'{min(shares):.3f}',
        f'{median(run.role_changes for run in runs):.0f}',
        f'{median(run.first_token_p95_s for run in runs):.2f}',
        f'{median(run.inter_token_p95_s for run in runs):.3f}',
    ]
    return f'| {" | ".join(cells)} |'


if __name__ == '__main__':
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
