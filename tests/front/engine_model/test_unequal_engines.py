"""Answers on time with engines of unequal speed, and decisions with equal ones.

:mod:`tests.front.engine_model.unequal_engines` has the load and the reasons for its figures.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.engine_model.unequal_engines import (
    EQUAL_SPEEDS,
    FRONTS,
    SPEEDS,
    Load,
    Method,
    learned_by,
    long_rate,
    run_load,
    two_routes,
    unequal_engines,
)
from tests.virtual_time import in_virtual_time

SEEDS = (1, 2, 3)
# The target of docs/design/2026-hard-load-parts.md.
MAX_LOSS = 0.03


Sends = list[tuple[float, bool]]


async def sends_with_equal_engines(method: Method) -> dict[str, Sends]:
    """Return when each engine got work under the load, and whether it was a remote prefill, by runner."""
    with learned_by(method):
        async with open_bench(two_routes(), unequal_engines(EQUAL_SPEEDS), fronts=FRONTS) as bench:
            await Load(bench, Random(1)).run(5, long_rate(EQUAL_SPEEDS))
            return {
                key: [(round(run.started_at, 6), run.prefill) for run in runner.runs]
                for key, runner in bench.runners.items()
            }


class UnequalEnginesTest(TestCase):
    """Engines of 0.6, 1.0 and 1.6 times the usual speed at 70% load."""

    @in_virtual_time
    async def test_on_time_against_equal_engines(self) -> None:
        """Guards against losing more than 3 in 100 long or short answers to the inequality of engines alone.

        Without models 0.92 of the long answers were on time, and 0.96 with equal
        engines of the same total speed.
        """
        equal = [await run_load(EQUAL_SPEEDS, seed) for seed in SEEDS]
        unequal = [await run_load(SPEEDS, seed) for seed in SEEDS]
        for column in ('long', 'short', 'overall'):
            lost = sum(getattr(one, column) for one in equal) - sum(getattr(one, column) for one in unequal)
            self.assertLess(lost / len(SEEDS), MAX_LOSS, column)

    def test_decisions_with_equal_engines(self) -> None:
        """Guards against models that change any decision where engines are equal and undisturbed.

        Each method has an event loop of its own, since the order of tasks in one
        depends on what ran before.
        """
        sends: list[dict[str, Sends]] = []

        async def record(method: Method) -> None:
            sends.append(await sends_with_equal_engines(method))

        run_virtual(record, Method.shared)
        run_virtual(record, Method.existing)
        self.assertEqual(*sends)

    @in_virtual_time
    async def test_slow_engine_gets_work(self) -> None:
        """Guards against a slow engine that is left idle while prompts queue for the others."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=FRONTS) as bench:
            await Load(bench, Random(1)).run(15, long_rate(SPEEDS))
            await trio.sleep(1)
            prefills = [len(bench.runners[key].runs) for key in ('i-llm1', 'i-llm2', 'i-llm3')]
        self.assertGreater(prefills[0], 0.05 * sum(prefills))
        self.assertEqual(prefills, sorted(prefills))
