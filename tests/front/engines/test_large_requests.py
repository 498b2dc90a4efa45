"""Large requests under load beyond the capacity of the engines."""

from __future__ import annotations

import math
from unittest import TestCase

from tests.front.engines.overload import OverloadPlan, run_overload
from tests.front.engines.size_oracle import part_shares
from tests.virtual_time import in_virtual_time

SEEDS = (1, 2)
# Least share of the callers of the largest tenth, and of the fifth below it, that is served, as a ratio to their kind.
WANTED_RATIO = 0.8


class LargeRequestsTest(TestCase):
    """Callers of the largest prompts that were served, against all callers of their kind."""

    @in_virtual_time
    async def test_largest_served_double_load_lost_engines(self) -> None:
        """Guards against refusing the largest requests of a kind each time, whenever engines are short."""
        plan = OverloadPlan(long_per_s=14, lost=1)
        callers = [caller for seed in SEEDS for caller in (await run_overload(seed, plan)).long]
        shares = part_shares(callers, math.inf)
        self.assertGreaterEqual(shares.worst_ratio, WANTED_RATIO, shares)
