"""A short soak of the bound on repeats on real processes, by fixed seeds."""

from __future__ import annotations

from unittest import TestCase

import trio

from tests.front.retry_budget.repeat_soak import run_seed

# Add each seed that fails, with a line on the cause.
# 5: repeats paid in two windows were read in one by runners that stood still.
SEEDS = (5,)
DURATION_S = 15.0


class RepeatSoakTest(TestCase):
    """Runners that fail, stand still and are cut off, while instances are frozen and killed."""

    def test_no_violations(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(trio.run(run_seed, seed, DURATION_S), [])
