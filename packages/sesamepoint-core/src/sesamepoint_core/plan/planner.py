"""Scoring role changes in one currency: answers late or refused."""

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
    """One runner as the planner sees it.

    ``changing`` covers standing orders as well as changes under way.
    """

    name: str
    role: str
    availability_zone: str
    usable: bool
    changing: bool
    backlog: float


class FleetView(NamedTuple):
    """All that a planning decision rests on."""

    cfg: FleetConfig
    engine: EngineConfig
    preset: PresetConfig
    runners: tuple[RunnerState, ...]
    offered: Offered


class Alternative(NamedTuple):
    """One change that was weighed.

    ``saved`` and ``price`` are in answers late or refused over the time
    that the new role is expected to stay.
    """

    runner: str
    role: str
    saved: float
    price: float

    @property
    def score(self) -> float:
        """What the change is worth beyond its price."""
        return self.saved - self.price


class Plan(NamedTuple):
    """What was decided and why; ``chosen`` is None to leave all as it is."""

    chosen: Alternative | None
    alternatives: tuple[Alternative, ...]
    reason: str


class Planner(Protocol):
    """Decides on at most one change."""

    def __call__(self, view: FleetView) -> Plan:
        """Return the plan for what is seen now."""


PLANNERS: Registry[Planner] = Registry('planning policy')


@PLANNERS.register('worthwhile')
def worthwhile_change(view: FleetView) -> Plan:
    """Make the change that saves most beyond its price, if any does.

    A change must pay over both horizons: a swing shows in the short one
    only, the end of a long state in the long one only.
    """
    if sum(runner.changing for runner in view.runners) >= view.preset['max_changing']:
        return Plan(None, (), 'as many runners are changing as the preset allows')
    alternatives = tuple(sorted(_alternatives(view), key=lambda found: -found.score))
    if not alternatives:
        return Plan(None, (), 'floors and readiness leave no change open')
    best = alternatives[0]
    if best.score <= 0:
        return Plan(
            None, alternatives, f'the best change would save {best.saved:.1f} answers at a price of {best.price:.1f}'
        )
    reason = f'{best.runner} to {best.role}: saves {best.saved:.1f} answers at a price of {best.price:.1f}'
    return Plan(best, alternatives, reason)


@PLANNERS.register('never')
def no_change(view: FleetView) -> Plan:
    """Leave all roles as they are: the baseline of a fixed split."""
    return Plan(None, (), f'roles of {len(view.runners)} runners are fixed')


def role_counts(view: FleetView, without: str = '') -> Counts:
    """Count the usable runners of each role, but for one."""
    counts: Counts = dict.fromkeys(view.engine['profiles'], 0)
    for runner in view.runners:
        if runner.usable and runner.name != without and runner.role in counts:
            counts[runner.role] += 1
    return counts


def _alternatives(view: FleetView) -> Iterator[Alternative]:
    now = role_counts(view)
    for role in sorted(set(now)):
        runner = _least_missed(view, role)
        if runner is None or now[role] <= view.cfg['floors'].get(role, 0):
            continue
        for target in sorted(set(now) - {role}):
            yield _weigh(view, runner, target)


def _least_missed(view: FleetView, role: Role) -> RunnerState | None:
    fit = [runner for runner in view.runners if runner.role == role and runner.usable and not runner.changing]
    zones = [runner.availability_zone for runner in view.runners if runner.role == role]
    return min(fit, key=lambda runner: (-zones.count(runner.availability_zone), runner.backlog), default=None)


def _weigh(view: FleetView, runner: RunnerState, target: Role) -> Alternative:
    gap = role_counts(view, without=runner.name)
    after = {**gap, target: gap[target] + 1}
    saved = min(_saved(view, after, load) for load in _loads(view.offered))
    gap_s = view.engine['role_change_s'] + DRAIN_S
    missed = max(-_saved(view, gap, _loads(view.offered)[0]), 0) * gap_s
    return Alternative(runner.name, target, saved * STAY_S, missed + view.preset['role_change_weight'])


def _saved(view: FleetView, after: Counts, load: Load) -> float:
    return late_rate(view.engine, role_counts(view), load) - late_rate(view.engine, after, load)


def _loads(offered: Offered) -> tuple[Load, Load]:
    return Load(offered.main_short, offered.small_short), Load(offered.main_long, offered.small_long)


__all__ = ('PLANNERS', 'Alternative', 'FleetView', 'Plan', 'Planner', 'RunnerState', 'role_counts')
