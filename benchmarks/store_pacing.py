"""Calls to the store during its faults, by method of pacing failed calls, in virtual time.

Usage: python -m benchmarks.store_pacing [INSTANCES ...]
"""

from __future__ import annotations

import sys
from functools import partial
from typing import TYPE_CHECKING

from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.store.outage_simulation import BACKOFF, FAULTS, FIXED, SHARED, measure_fault, measure_outage

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.front.store.outage_simulation import Figures, Method

    Measure = Callable[[int, Method], Awaitable[Figures]]

METHODS = (('fixed pauses', FIXED), ('backoff', BACKOFF), ('shared probes', SHARED))


def main(counts: list[int]) -> None:
    """Print a row for each number of instances, fault and method."""
    disable_logging()
    runs: dict[str, Measure] = {
        'down, refusing': measure_outage,
        'down, silent': partial(measure_outage, silent=True),
        **{fault.__name__: partial(measure_fault, fault=fault) for fault in FAULTS},
    }
    for count in counts:
        for fault, measure in runs.items():
            for name, method in METHODS:
                figures = run_virtual(measure, count, method)
                sys.stdout.write(
                    f'| {count} | {fault} | {name} | {figures.calls_per_s:.1f} '
                    f'| {figures.datagrams_per_s:.0f} | {figures.latest_s:.2f} |\n'
                )


if __name__ == '__main__':
    main([int(number) for number in sys.argv[1:]] or [5, 30, 300])

__all__ = ('main',)
