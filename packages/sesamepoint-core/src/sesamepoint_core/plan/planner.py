"""Planning policies: choose role changes by the number of late or refused answers they save."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sesamepoint_core.plan.capacity import Load, late_rate
from sesamepoint_core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_core.config.model import EngineConfig, FleetConfig, PresetConfig, Role
    from sesamepoint_core.plan.capacity import Counts
    from sesamepoint_core.plan.demand import Offered

STAY_S = 300.0
DRAIN_S = 4.0


class RunnerState(NamedTuple):
    """State of one runner, as input of the planner.

    Parameters
    ----------
    name, role, availability_zone
        Name of the runner, its present role and its zone.
    usable
        Whether the runner is eligible for requests.
    changing
        Whether a role change is ordered or in progress.
    backlog
        Prompt tokens that wait at the runner; of runners in equally large
        zones the one with the smallest backlog is changed.
    """

    name: str
    role: str
    availability_zone: str
    usable: bool
    changing: bool
    backlog: float


class FleetView(NamedTuple):
    """Input of a planning decision for one fleet."""

    cfg: FleetConfig
    engine: EngineConfig
    preset: PresetConfig
    runners: tuple[RunnerState, ...]
    offered: Offered


class Alternative(NamedTuple):
    """A possible role change and its score.

    Parameters
    ----------
    runner, role
        Runner to change and its new role.
    saved
        Late or refused answers that the change avoids while the new role is
        expected to stay.
    price
        Late or refused answers during the change, plus the preset's weight of
        a role change.
    """

    runner: str
    role: str
    saved: float
    price: float

    @property
    def score(self) -> float:
        """Saved answers less the price."""
        return self.saved - self.price


class Plan(NamedTuple):
    """Decision and its reason; ``chosen`` is None if no role changes."""

    chosen: Alternative | None
    alternatives: tuple[Alternative, ...]
    reason: str


class Planner(Protocol):
    """Planning policy that decides on at most one role change."""

    def __call__(self, view: FleetView) -> Plan:
        """Return the plan for one fleet."""


PLANNERS: Registry[Planner] = Registry('planning policy')


@PLANNERS.register('worthwhile')
def worthwhile_change(view: FleetView) -> Plan:
    """Choose the change with the highest score, if that is above zero.

    ``saved`` is the lower value of the two horizons, so that a change must be
    worth its price in both. A brief swing shows in the short horizon only;
    when a long phase has ended, the long horizon alone still shows it.
    """
    if sum(runner.changing for runner in view.runners) >= view.preset['max_changing']:
        return Plan(None, (), 'the preset allows no more role changes at once')
    alternatives = tuple(sorted(_alternatives(view), key=lambda alternative: -alternative.score))
    if not alternatives:
        return Plan(
            None,
            (),
            'no role change is possible: roles are at their floors, or runners are not ready or already changing',
        )
    best = alternatives[0]
    if best.score <= 0:
        return Plan(
            None, alternatives, f'the best change would save {best.saved:.1f} answers at a price of {best.price:.1f}'
        )
    reason = f'{best.runner} to {best.role}: saves {best.saved:.1f} answers at a price of {best.price:.1f}'
    return Plan(best, alternatives, reason)


@PLANNERS.register('never')
def no_change(view: FleetView) -> Plan:
    """Change no role: the baseline for experiments."""
    return Plan(None, (), f'roles of {len(view.runners)} runners are fixed')


def role_counts(view: FleetView, without: str = '') -> Counts:
    """Return the number of eligible runners of each role, not counting the runner ``without``."""
    counts: Counts = dict.fromkeys(view.engine['profiles'], 0)
    for runner in view.runners:
        if runner.usable and runner.name != without and runner.role in counts:
            counts[runner.role] += 1
    return counts


def _alternatives(view: FleetView) -> Iterator[Alternative]:
    counts = role_counts(view)
    for role in sorted(set(counts)):
        runner = _least_missed(view, role)
        if runner is None or counts[role] <= view.cfg['floors'].get(role, 0):
            continue
        for target in sorted(set(counts) - {role}):
            yield _weigh(view, runner, target)


def _least_missed(view: FleetView, role: Role) -> RunnerState | None:
    eligible = [runner for runner in view.runners if runner.role == role and runner.usable and not runner.changing]
    zones = [runner.availability_zone for runner in view.runners if runner.role == role]
    return min(eligible, key=lambda runner: (-zones.count(runner.availability_zone), runner.backlog), default=None)


def _weigh(view: FleetView, runner: RunnerState, target: Role) -> Alternative:
    during = role_counts(view, without=runner.name)
    after = {**during, target: during[target] + 1}
    saved = min(_saved(view, after, load) for load in _loads(view.offered))
    change_s = view.engine['role_change_s'] + DRAIN_S
    late = max(-_saved(view, during, _loads(view.offered)[0]), 0) * change_s
    return Alternative(runner.name, target, saved * STAY_S, late + view.preset['role_change_weight'])


def _saved(view: FleetView, after: Counts, load: Load) -> float:
    return late_rate(view.engine, role_counts(view), load) - late_rate(view.engine, after, load)


def _loads(offered: Offered) -> tuple[Load, Load]:
    return Load(offered.main_short, offered.small_short), Load(offered.main_long, offered.small_long)


__all__ = ('PLANNERS', 'Alternative', 'FleetView', 'Plan', 'Planner', 'RunnerState', 'role_counts')
