"""Compare the methods of fair shares on the same loads and seeds, in virtual time.

Usage: ``python -m benchmarks.fair_shares [seeds] [processes]``. Each line gives the mean over
the seeds: the share of requests served and the value, of the small accounts, of the worst
small account, of the large account, and of all, and how many requests were served a second
while the load lasted.
"""

from __future__ import annotations

import sys
from itertools import product, starmap
from concurrent.futures import ProcessPoolExecutor
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.fair_share.methods import share_methods
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.fair_share.account_load import (
    CALM,
    CROWD,
    FLOOD,
    IMPATIENT_FLOOD,
    LARGE,
    LEAVING_FLOOD,
    SMALL,
    SMALL_ALONE,
    AccountLoad,
    run_load,
)

LOADS = MappingProxyType(
    {
        'small alone': SMALL_ALONE,
        'calm': CALM,
        'crowd': CROWD,
        'flood': FLOOD,
        'impatient': IMPATIENT_FLOOD,
        'leaving': LEAVING_FLOOD,
    }
)


if TYPE_CHECKING:
    from collections.abc import Sequence


class Case(NamedTuple):
    """A load, a method and a seed."""

    load: str
    method: str
    seed: int


class Figures(NamedTuple):
    """Figures of one run."""

    small: float
    worst: float
    large: float
    everyone: float
    small_value: float
    worst_value: float
    total_value: float
    served_per_s: float


def run_case(case: Case) -> Figures:
    """Run one case."""
    disable_logging()
    loads: list[AccountLoad] = []

    async def run() -> None:
        loads.append(await run_load(LOADS[case.load], Random(case.seed), case.method))

    run_virtual(run)
    load = loads[0]
    everyone = (*SMALL, LARGE)
    has_large = any(one.account == LARGE for one in load.requests)
    return Figures(
        load.served_share(*SMALL),
        min(map(load.served_share, SMALL)),
        load.served_share(LARGE) if has_large else 0,
        load.served_share(*everyone),
        load.mean_worth(*SMALL),
        min(map(load.mean_worth, SMALL)),
        load.mean_worth(*everyone),
        load.served_per_s(),
    )


def main() -> None:
    """Print one line for each load and method."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    processes = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    cases = list(starmap(Case, product(LOADS, share_methods, range(1, seeds + 1))))
    with ProcessPoolExecutor(processes) as pool:
        found = dict(zip(cases, pool.map(run_case, cases), strict=True))
    _write('load', 'method', Figures._fields)
    for load in LOADS:
        for method in share_methods:
            rows = [found[Case(load, method, seed)] for seed in range(1, seeds + 1)]
            means = (sum(column) / seeds for column in zip(*rows, strict=True))
            _write(load, method, [f'{mean:.3f}' for mean in means])


def _write(load: str, method: str, cells: Sequence[str]) -> None:
    columns = ' '.join(f'{cell:>11}' for cell in cells)
    sys.stdout.write(f'{load:12} {method:21} {columns}\n')


if __name__ == '__main__':
    main()
