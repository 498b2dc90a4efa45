"""Callers that move from some instances to others while all runners of a service fail, in virtual time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, plain_runner
from tests.front.retry_budget.restarting_instances import RUNNERS, LoadPlan, RestartingInstances

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.front.retry_budget.repeat_oracle import WorstWindow

FRONTS = 5
# Enough requests for what they earn to outweigh the reserve; calm for as long as a share of the reserve is held.
PLAN = LoadPlan(requests_per_s=60, calm_s=15.5, failing_s=13)
# Time of failures before callers move, in seconds: all that was earned before is spent.
SPENDING_S = 3.0
MOVED = (1, 2, 3)


async def move_callers(load: RestartingInstances) -> None:
    """Send the callers of three instances to the others; no process restarts."""
    await trio.sleep(SPENDING_S)
    load.move_callers(MOVED)


async def kill_all(load: RestartingInstances) -> None:
    """Kill all instances at once."""
    await trio.sleep(SPENDING_S)
    await load.kill_all()


async def run_moves(seed: int, disturb: Callable[[RestartingInstances], Awaitable[None]]) -> WorstWindow:
    """Run one load on a new deployment and return the worst window."""
    runners = [plain_runner(number) for number in range(1, RUNNERS + 1)]
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
        return await RestartingInstances(bench, Random(seed), FRONTS, PLAN).run(disturb)


__all__ = ('kill_all', 'move_callers', 'run_moves')
