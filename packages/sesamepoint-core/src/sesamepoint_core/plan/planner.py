"""Planning policies: choose role changes by the number of late or refused answers they save."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sesamepoint_core.plan.capacity import ClassDemands, late_rate
from sesamepoint_core.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_core.config.model import EngineConfig, FleetConfig, PresetConfig, Role
    from sesamepoint_core.plan.capacity import RoleCounts
    from sesamepoint_core.plan.demand import OfferedDemand

EXPECTED_STAY_S = 300.0
DRAIN_S = 4.0


class RunnerState(NamedTuple):
    """State of one runner, as input of the planner.

    Parameters
    ----------
    name, role, availability_zone
        Name of the runner, its present role and its zone.
    eligible
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
    eligible: bool
    changing: bool
    backlog: float


class FleetView(NamedTuple):
    """Input of a planning decision for one fleet."""

    cfg: FleetConfig
    engine: EngineConfig
    preset: PresetConfig
    runners: tuple[RunnerState, ...]
    offered: OfferedDemand


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
        return Plan(None, (), 'as many runners are changing as the preset allows')
    alternatives = tuple(sorted(_alternatives(view), key=lambda alternative: -alternative.score))
    if not alternatives:
        return Plan(
            None,
            (),
            'floors and readiness leave no change open',
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


def role_counts(view: FleetView, excluded: str = '') -> RoleCounts:
    """Return the number of eligible runners of each role, not counting the runner ``excluded``."""
    counts: RoleCounts = dict.fromkeys(view.engine['profiles'], 0)
    for runner in view.runners:
        if runner.eligible and runner.name != excluded and runner.role in counts:
            counts[runner.role] += 1
    return counts


def _alternatives(view: FleetView) -> Iterator[Alternative]:
    counts = role_counts(view)
    for role in sorted(set(counts)):
        runner = _cheapest_to_change(view, role)
        if runner is None or counts[role] <= view.cfg['floors'].get(role, 0):
            continue
        for target in sorted(set(counts) - {role}):
            yield _evaluate(view, runner, target)


def _cheapest_to_change(view: FleetView, role: Role) -> RunnerState | None:
    eligible = [runner for runner in view.runners if runner.role == role and runner.eligible and not runner.changing]
    zones = [runner.availability_zone for runner in view.runners if runner.role == role]
    return min(eligible, key=lambda runner: (-zones.count(runner.availability_zone), runner.backlog), default=None)


def _evaluate(view: FleetView, runner: RunnerState, target: Role) -> Alternative:
    during = role_counts(view, excluded=runner.name)
    after = {**during, target: during[target] + 1}
    saved = min(_saved_rate(view, after, load) for load in _demands_by_horizon(view.offered))
    change_s = view.engine['role_change_s'] + DRAIN_S
    late = max(-_saved_rate(view, during, _demands_by_horizon(view.offered)[0]), 0) * change_s
    return Alternative(runner.name, target, saved * EXPECTED_STAY_S, late + view.preset['role_change_weight'])


def _saved_rate(view: FleetView, after: RoleCounts, demands: ClassDemands) -> float:
    return late_rate(view.engine, role_counts(view), demands) - late_rate(view.engine, after, demands)


def _demands_by_horizon(offered: OfferedDemand) -> tuple[ClassDemands, ClassDemands]:
    return ClassDemands(offered.main_short, offered.small_short), ClassDemands(offered.main_long, offered.small_long)


__all__ = ('PLANNERS', 'Alternative', 'FleetView', 'Plan', 'Planner', 'RunnerState', 'role_counts')
