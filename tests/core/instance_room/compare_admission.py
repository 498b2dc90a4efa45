"""Comparison of methods of admission by lag: ``python -m tests.core.instance_room.compare_admission``."""

from __future__ import annotations

import sys
from itertools import repeat
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from tests.core.instance_room.processor_model import (
    INSTANCES,
    STEP_COSTS_S,
    LoopLagAlone,
    Model,
    NoAdmission,
    SojournAdmission,
    SojournAlone,
    Summary,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from tests.core.instance_room.processor_model import Admission

# Load alternates as in the deployments.
PHASE_S = 2.8
OFFERED_S = 28.0
RUN_S = 34.0
SMALL, LARGE = 0.12, 0.387
METHODS = (NoAdmission, LoopLagAlone, SojournAlone, SojournAdmission)


class Load(NamedTuple):
    """Shares of a core of the instances, and the load of each as a share of the capacity of the first."""

    shares: tuple[float, ...]
    calm: float
    burst: float

    def rate(self, now: float) -> float:
        """Return the calls a second at all instances together."""
        load = self.burst if int(now / PHASE_S) % 2 else self.calm
        return load * INSTANCES * self.shares[0] / sum(STEP_COSTS_S)


LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'one small instance of six is full': Load((SMALL, *repeat(LARGE, 5)), 0.4, 2),
        'two of six are full': Load((SMALL, SMALL, *repeat(LARGE, 4)), 0.4, 1.5),
        'five of six are full': Load((*repeat(SMALL, 5), LARGE), 0.4, 1.5),
        'all are full': Load(tuple(repeat(SMALL, INSTANCES)), 0.5, 1.3),
        'all at 0.4, small': Load(tuple(repeat(SMALL, INSTANCES)), 0.4, 0.4),
        'all at 0.6, small': Load(tuple(repeat(SMALL, INSTANCES)), 0.6, 0.6),
        'all at 0.6, large': Load(tuple(repeat(LARGE, INSTANCES)), 0.6, 0.6),
    }
)


def run_load(load: Load, new_admission: Callable[[], Admission], seed: int) -> Summary:
    """Run one load with one method."""
    model = Model(load.shares, new_admission, seed)
    model.offer(load.rate, OFFERED_S)
    return model.run(RUN_S)


def mean_worth(load: Load, new_admission: Callable[[], Admission], seeds: range) -> tuple[float, float]:
    """Return the mean worth of a call and the refusals per call, over some seeds."""
    runs = [run_load(load, new_admission, seed) for seed in seeds]
    calls = sum(run.calls for run in runs)
    return sum(run.worth for run in runs) / len(runs), sum(sum(run.refusals) for run in runs) / calls


def main() -> None:
    """Write a table of the mean worth and of the refusals per call, with a column for each method."""
    for name, load in LOADS.items():
        row = [mean_worth(load, method, range(1, 9)) for method in METHODS]
        cells = ' | '.join(f'{worth:.3f} ({refused:.3f})' for worth, refused in row)
        sys.stdout.write(f'| {name} | {cells} |\n')


if __name__ == '__main__':
    main()

__all__ = ('LOADS', 'Load', 'mean_worth', 'run_load')
