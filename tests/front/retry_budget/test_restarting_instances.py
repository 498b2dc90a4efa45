"""The retry budget of all instances together, while instances restart and runners fail."""

from __future__ import annotations

from unittest import TestCase

from tests.front.retry_budget.restarting_instances import run_restarts, two_rolls
from tests.virtual_time import in_virtual_time

SEED = 1


class RestartingInstancesTest(TestCase):
    """Repeats in the worst window against the bound that the operator of the runners states."""

    @in_virtual_time
    async def test_repeats_two_rolls(self) -> None:
        """Guards against a reserve that each life of a process spends again while a service fails."""
        window = await run_restarts(SEED, two_rolls)
        self.assertLessEqual(window.repeats, window.allowed)
