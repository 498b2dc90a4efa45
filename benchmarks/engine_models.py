"""Answers on time with engines of speeds 0.6, 1.0 and 1.6, by how the speeds are learned, in virtual time.

Run: python -m benchmarks.engine_models [seed ...]

Each method gets the same requests at the same times for each seed. The load is that of
:mod:`tests.front.engine_model.unequal_engines`.
"""

from __future__ import annotations

import sys

from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.engine_model.unequal_engines import EQUAL_SPEEDS, SPEEDS, Method, Outcome, run_load


def main() -> None:
    """Print what was on time for each method and seed."""
    seeds = [int(argument) for argument in sys.argv[1:]] or [1, 2, 3]
    for label, speeds in (('equal', EQUAL_SPEEDS), ('unequal', SPEEDS)):
        for method in Method:
            outcomes = [_run(speeds, seed, method) for seed in seeds]
            _print_line(f'{label} engines, {method.value}', outcomes)


def _run(speeds: tuple[float, ...], seed: int, method: Method) -> Outcome:
    outcomes: list[Outcome] = []

    async def run() -> None:
        outcomes.append(await run_load(speeds, seed, method))

    run_virtual(run)
    return outcomes[0]


def _print_line(label: str, outcomes: list[Outcome]) -> None:
    mean = Outcome(*(sum(column) / len(outcomes) for column in zip(*outcomes, strict=True)))
    each = ' '.join(f'{one.long:.3f}' for one in outcomes)
    sys.stdout.write(f'{label}: long {mean.long:.3f} ({each}), short {mean.short:.3f}, overall {mean.overall:.3f}\n')


if __name__ == '__main__':
    disable_logging()
    main()
