"""The retry budget of all instances together, while runners stand still and read what arrived later."""

from __future__ import annotations

from random import Random
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.runner_state import Faults
from tests.front.builders import configuration, plain_runner
from tests.front.retry_budget.moved_callers import FRONTS, PLAN
from tests.front.retry_budget.restarting_instances import RUNNERS, RestartingInstances
from tests.virtual_time import in_virtual_time

SEED = 1
FROZEN_S = 6.0


class LateArrivalsTest(TestCase):
    """Repeats by their arrival, where all runners stand still and then fail."""

    @in_virtual_time
    async def test_repeats_read_late(self) -> None:
        """Guards against repeats of two windows that arrive in one, at runners that stood still."""
        runners = [plain_runner(number) for number in range(1, RUNNERS + 1)]
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            window = await RestartingInstances(bench, Random(SEED), FRONTS, PLAN).run(_freeze_runners)
        self.assertLessEqual(window.repeats, window.allowed)


async def _freeze_runners(load: RestartingInstances) -> None:
    for runner in load.bench.runners.values():
        runner.faults = Faults(fails=True, frozen_until=trio.current_time() + FROZEN_S)
