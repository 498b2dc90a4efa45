"""``sesamectl experiment``: trials of policies on scenarios, in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from sesamepoint_core.config.check import parse_configuration
from sesamepoint_core.policy import POLICIES
from sesamectl.commands.base import COMMANDS, Arguments
from sesamectl.commands.check import load_configuration
from sesamectl.experiment.scenario import find_scenario, load_scenario, shipped_scenarios
from sesamectl.experiment.trial import Trial, run_trial
from sesamectl.experiment.trial_figures import Figures, compute_figures

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamectl.experiment.trial import FinishedTrial

DEPLOYMENTS_DIR = Path(__file__).parents[1] / 'experiment' / 'deployments'
SHIPPED_DEPLOYMENTS = ('himal', 'qalin')
COLUMN_WIDTH = 18


@COMMANDS.register('experiment')
def experiment(arguments: Arguments) -> str:
    """Run one policy, or several on the same arrivals."""
    if arguments['--list']:
        return '\n'.join(_listing())
    names = (arguments['--compare'] or arguments['--policy']).split(',')
    trials = {name: _run_policy(arguments, name) for name in names}
    if arguments['--json']:
        columns = {name: trial[0]._asdict() for name, trial in trials.items()}
        return msgspec.json.encode(columns if arguments['--compare'] else columns[names[0]]).decode()
    return '\n'.join(_table({name: trial[0] for name, trial in trials.items()}))


def build_trial(deployment: str, scenario: str, policy: str, seed: int) -> Trial:
    """Return the trial of a scenario on a deployment, under a policy and a seed."""
    path = DEPLOYMENTS_DIR / f'{deployment}.json' if deployment in SHIPPED_DEPLOYMENTS else Path(deployment)
    _, document = load_configuration(path)
    POLICIES.get(policy)
    loaded_scenario = load_scenario(find_scenario(deployment, scenario))
    return Trial(parse_configuration(document), loaded_scenario, policy, seed)


def _run_policy(arguments: Arguments, policy: str) -> tuple[Figures, FinishedTrial]:
    trial = build_trial(arguments['--deployment'], arguments['--scenario'], policy, int(arguments['--seed']))
    finished = run_trial(trial)
    return compute_figures(trial, finished), finished


def _listing() -> Iterator[str]:
    yield f'policies: {", ".join(POLICIES)}'
    for user in SHIPPED_DEPLOYMENTS:
        yield f'scenarios of {user}: {", ".join(shipped_scenarios(user))}'


def _table(columns: dict[str, Figures]) -> Iterator[str]:
    yield ''.join([f'{"":{COLUMN_WIDTH}}', *(f'{name:>{COLUMN_WIDTH}}' for name in columns)])
    for field in Figures._fields:
        cells = (f'{getattr(figures_of_policy, field):>{COLUMN_WIDTH}}' for figures_of_policy in columns.values())
        yield ''.join([f'{field:{COLUMN_WIDTH}}', *cells])


__all__ = ('build_trial', 'experiment')
