"""The retry budget of all instances together, while instances restart and runners fail."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, plain_runner
from tests.front.retry_budget.restarting_instances import (
    no_disturbance,
    repeated_kills,
    run_restarts,
    two_rolls,
)
from tests.virtual_time import in_virtual_time

SEED = 1
# Share of the budget that must be usable when a whole service fails.
USABLE_SHARE = 0.9
# Share of the bound that instances use, the rest being a margin.
USED_SHARE = 0.95


class RestartingInstancesTest(TestCase):
    """Repeats in the worst window against the bound that the operator of the runners states."""

    @in_virtual_time
    async def test_repeats_two_rolls(self) -> None:
        """Guards against a reserve that each life of a process spends again while a service fails."""
        window = await run_restarts(SEED, two_rolls)
        self.assertLessEqual(window.repeats, window.allowed)

    @in_virtual_time
    async def test_repeats_repeated_kills(self) -> None:
        """Guards against a reserve that is spent again after each of three kills of all instances."""
        window = await run_restarts(SEED, repeated_kills)
        self.assertLessEqual(window.repeats, window.allowed)

    @in_virtual_time
    async def test_repeats_without_restarts(self) -> None:
        """Guards against a budget that is kept because it can't be used."""
        window = await run_restarts(SEED, no_disturbance)
        self.assertLessEqual(window.repeats, window.allowed)
        self.assertGreaterEqual(window.repeats, USABLE_SHARE * USED_SHARE * window.allowed)


class ListOfInstancesTest(TestCase):
    """The share in the reserve, by what an instance knows of the others."""

    @in_virtual_time
    async def test_share_store_away(self) -> None:
        """Guards against a share by a list that may be old, and one that stays away after the store is back."""
        async with open_bench(configuration(), [plain_runner(1)], fronts=2) as bench:
            budgets = bench.fronts['front-1'].dispatcher.budgets
            await trio.sleep(2)
            self.assertEqual(sum(int(each.dispatcher.budgets.share()) for each in bench.fronts.values()), 47)
            bench.store.unavailable = True
            await trio.sleep(6)
            self.assertEqual(budgets.share(), 0)
            bench.store.unavailable = False
            await trio.sleep(6)
            self.assertGreaterEqual(budgets.share(), 20)

    @in_virtual_time
    async def test_share_of_started_instance(self) -> None:
        """Guards against an instance that never gets its share after a restart, or gets it at once."""
        async with open_bench(configuration(), [plain_runner(1)], fronts=2) as bench:
            bench.kill_front('front-2')
            bench.add_front(2)
            await trio.sleep(10)
            self.assertEqual(bench.fronts['front-2'].dispatcher.budgets.share(), 0)
            self.assertGreaterEqual(bench.fronts['front-1'].dispatcher.budgets.share(), 20)
            await trio.sleep(6)
            self.assertGreaterEqual(bench.fronts['front-2'].dispatcher.budgets.share(), 20)
