"""Ways to pay for repeats, by what all instances grant together: python -m benchmarks.repeat_payment_ways SEEDS."""

from __future__ import annotations

import sys
from collections.abc import Callable
from functools import partial
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING

from sesamepoint_core.admit.window_budget import WindowBudget
from tests.core.admit.earning_model import Budget, EarningModel, Load, SlidingEarnings

if TYPE_CHECKING:
    from collections.abc import Mapping

NewBudget = Callable[[float, float, float, Callable[[], float]], Budget]
# Instances and requests a second of one service.
LOADS = (Load(1, 60), Load(5, 20), Load(5, 120), Load(30, 240), Load(350, 700))
# By name: what part of the bound's ratio is used, and by which budget.
WAYS: Mapping[str, tuple[float, NewBudget]] = MappingProxyType(
    {
        'last window, 0.8': (0.8, SlidingEarnings),
        'last window, 0.5': (0.5, SlidingEarnings),
        'credit only': (1, partial(WindowBudget, credit_share=1)),
        'half held': (1, partial(WindowBudget, credit_share=0.5)),
        'held only': (1, partial(WindowBudget, credit_share=0)),
    }
)


def main(seeds: int) -> None:
    """Print a row for each way and load."""
    sys.stdout.write(
        '| way | instances | a second | worst excess | usable of the bound, calm | granted while moved |\n'
    )
    sys.stdout.write('| --- | --- | --- | --- | --- | --- |\n')
    for name, (share, new_budget) in WAYS.items():
        for load in LOADS:
            sys.stdout.write(f'| {name} | {_row(load, partial(_with_share, share, new_budget), seeds)} |\n')


def _with_share(
    share: float, new_budget: NewBudget, ratio: float, reserve: float, window_s: float, clock: Callable[[], float]
) -> Budget:
    return new_budget(share * ratio, reserve, window_s, clock)


def _row(load: Load, new_budget: Callable[..., Budget], seeds: int) -> str:
    moved = [EarningModel(Random(seed), load, new_budget) for seed in range(1, seeds + 1)]
    excess = max(model.run(disturbed=True).excess for model in moved)
    granted = sum(len(model.repeated_at) for model in moved) / seeds
    calm = EarningModel(Random(1), load, new_budget)
    calm.run(disturbed=False)
    return f'{load.instances} | {load.requests_per_s:g} | {excess:.0f} | {calm.usable_share():.2f} | {granted:.0f}'


if __name__ == '__main__':
    main(int(sys.argv[1]))
