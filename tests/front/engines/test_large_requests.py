"""Large requests under load beyond the capacity of the engines."""

from __future__ import annotations

import math
from unittest import TestCase

from tests.front.engines.overload import OverloadPlan, run_overload
from tests.front.engines.size_oracle import PartShares, part_shares
from tests.virtual_time import in_virtual_time

SEEDS = (1, 2)
# Least share of the callers of the largest tenth, and of the fifth below it, that is served, as a ratio to their kind:
# the rule of the users, and what is wanted beyond it.
RULE_RATIO = 0.5
WANTED_RATIO = 0.8
DOUBLE_LOAD_PER_S = 14


async def _run(plan: OverloadPlan) -> PartShares:
    callers = [caller for seed in SEEDS for caller in (await run_overload(seed, plan)).long]
    return part_shares(callers, math.inf)


class LargeRequestsTest(TestCase):
    """Callers of the largest prompts that were served, against all callers of their kind."""

    @in_virtual_time
    async def test_largest_served_double_load_lost_engines(self) -> None:
        """Guards against refusing the largest requests of a kind each time, whenever engines are short."""
        shares = await _run(OverloadPlan(long_per_s=DOUBLE_LOAD_PER_S, lost=1))
        self.assertGreaterEqual(shares.worst_ratio, WANTED_RATIO, shares)

    @in_virtual_time
    async def test_largest_served_by_rule(self) -> None:
        """Guards against large requests that are served less than half as often as their kind, at the highest load."""
        shares = await _run(OverloadPlan(long_per_s=DOUBLE_LOAD_PER_S, lost=1, load_s=24))
        self.assertGreaterEqual(shares.worst_ratio, RULE_RATIO, shares)

    @in_virtual_time
    async def test_largest_served_double_load(self) -> None:
        """Guards against large requests that pay for a burst alone."""
        shares = await _run(OverloadPlan(long_per_s=DOUBLE_LOAD_PER_S))
        self.assertGreaterEqual(shares.worst_ratio, WANTED_RATIO, shares)

    @in_virtual_time
    async def test_largest_served_lost_engines(self) -> None:
        """Guards against large requests that pay for lost engines alone."""
        shares = await _run(OverloadPlan(lost=1))
        self.assertGreaterEqual(shares.worst_ratio, WANTED_RATIO, shares)
