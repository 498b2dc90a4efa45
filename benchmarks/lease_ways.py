"""Ways to hand a duty over while all instances are stopped and started in turn, on the same seeds.

Run by hand: python -m benchmarks.lease_ways SEEDS
"""

from __future__ import annotations

import sys
from collections.abc import Mapping
from itertools import groupby, product
from random import Random
from statistics import median
from types import MappingProxyType
from typing import NamedTuple

from sesamepoint_core.duty.lease import ClaimAnswer, ClaimState, Lease
from tests.core.duty_model import STEP_S, DutyModel, Way

LEASES_S = (1.0, 3.0, 10.0)
FLEETS = (3, 30)
ROLLS = 3
GAP_S = 1.0
RESTART_SHARE = 0.2
CALM_S = (20, 40)


class _FreeOnceReleased(Lease):
    """Any instance claims a released lease at once, as before issue 57."""

    def may_claim(self, read_began_at: float) -> ClaimAnswer:
        left_s = self._times.return_s - (read_began_at - self._unchanged_since)
        if self.released or left_s <= 0:
            return ClaimAnswer(ClaimState.free)
        return ClaimAnswer(ClaimState.held, left_s)


class _WaitAfterRelease(Lease):
    """Nobody claims before the lease time has passed, released or not."""

    def may_claim(self, read_began_at: float) -> ClaimAnswer:
        left_s = self._times.return_s - (read_began_at - self._unchanged_since)
        return ClaimAnswer(ClaimState.held, left_s) if left_s > 0 else ClaimAnswer(ClaimState.free)


class _OwnMemory(Lease):
    """A process that has started within the lease time waits, since no record says who acted."""

    _recent = None


WAYS: Mapping[str, Way] = MappingProxyType(
    {
        'as before': Way(_FreeOnceReleased, stopping_seeks=True, notes_reports=False),
        'wait after each release': Way(_WaitAfterRelease),
        'own memory': Way(_OwnMemory),
        'names in the record': Way(),
    }
)


class Sums(NamedTuple):
    """Sums over all seeds; times without a holder in seconds."""

    turns: int
    late_windows: int
    repeats: int
    calls: int
    gap_median_s: float
    gap_worst_s: float


def play(seed: int, lease_s: float, instances: int, way: Way) -> DutyModel:
    """Roll all instances some times."""
    rng = Random(seed)
    model = DutyModel(rng, lease_s, way, loss=0.05)
    machines = [f'i{number}' for number in range(instances)]
    for machine in machines:
        model.start(machine)
    model.run(12)
    for _ in range(ROLLS):
        rng.shuffle(machines)
        for machine in machines:
            model.stop(machine)
            _run_and_restart(model, GAP_S)
        _run_and_restart(model, 6)
        model.run(rng.uniform(*CALM_S))
    return model


def _run_and_restart(model: DutyModel, for_s: float) -> None:
    for _ in range(round(for_s / STEP_S)):
        model.run(STEP_S)
        for machine, process in list(model.processes.items()):
            if process is None and model.rng.random() < RESTART_SHARE:
                model.start(machine)


def measure(seeds: int, lease_s: float, instances: int, way: Way) -> Sums:
    """Play all seeds with one way."""
    models = [play(seed, lease_s, instances, way) for seed in range(1, seeds + 1)]
    gaps = [
        sum(1 for _ in group) * STEP_S for model in models for held, group in groupby(model.held_at_steps) if not held
    ]
    return Sums(
        sum(len(model.turns()) for model in models),
        sum(model.late_windows() for model in models),
        sum(model.repeats() for model in models),
        sum(model.calls for model in models),
        round(median(gaps), 1),
        round(max(gaps), 1),
    )


def main() -> None:
    """Print the sums of each way, lease time and number of instances."""
    for lease_s, instances in product(LEASES_S, FLEETS):
        for name, way in WAYS.items():
            sums = measure(int(sys.argv[1]), lease_s, instances, way)
            sys.stdout.write(f'lease {lease_s} s, {instances} instances, {name}: {sums}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
