"""Repeats by their arrival at real runner processes that are stopped."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

import trio

from tests.front.retry_budget.stalled_runners import run_scenario

SEED = 1
REQUESTS_PER_S = 40.0


class StalledRunnersTest(TestCase):
    """Real instances and runners, whose callers don't come back."""

    def test_repeats_read_after_stall(self) -> None:
        """Guards against repeats of two windows that stopped runners read at once when they go on."""
        with TemporaryDirectory() as folder:
            window = trio.run(run_scenario, 'stall', REQUESTS_PER_S, SEED, Path(folder))
        self.assertGreater(window.repeats, 0)
        self.assertLessEqual(window.repeats, window.allowed)
