"""Comparison of the planning policies on all shipped scenarios. Run: ``make policies FIRST=1 LAST=3``."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from sesamectl.commands.experiment import USERS, trial_of
from sesamectl.experiment.figures import Figures, figures
from sesamectl.experiment.run import run_trial
from sesamectl.experiment.scenario import shipped_scenarios

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

WORKERS = 5
POLICIES = ('default', 'fixed')
HEAD = (
    '| user | scenario | policy | goodput/ideal median | worst | role changes | first token p95 s | inter-token p95 s |'
)


class Run(NamedTuple):
    """The key of a trial."""

    user: str
    scenario: str
    policy: str
    seed: int


def measure(run: Run) -> Figures:
    """Run one trial and return its figures."""
    trial = trial_of(*run)
    return figures(trial, run_trial(trial))


def main(first: int, last: int) -> int:
    """Run all trials of the seeds and print the table."""
    cases = [(user, scenario) for user in USERS for scenario in shipped_scenarios(user)]
    runs = [Run(*case, policy, seed) for case, policy, seed in product(cases, POLICIES, range(first, last + 1))]
    with ProcessPoolExecutor(WORKERS) as workers:
        measured = dict(zip(runs, workers.map(measure, runs), strict=True))
    for line in table(measured):
        sys.stdout.write(f'{line}\n')
    return 0


def table(found: dict[Run, Figures]) -> Iterator[str]:
    """Yield the rows, then the number of duplicated and cut-off answers, which must be 0."""
    yield HEAD
    yield '|---|---|---|---|---|---|---|---|'
    for name in dict.fromkeys(run[:3] for run in found):
        yield row(name, [figure for run, figure in found.items() if run[:3] == name])
    broken = sum(figure.duplicates + figure.cut_off for figure in found.values())
    yield f'\n{len(found)} runs; duplicates and cut-off answers in all of them: {broken}'


def row(name: tuple[str, str, str], runs: Sequence[Figures]) -> str:
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
