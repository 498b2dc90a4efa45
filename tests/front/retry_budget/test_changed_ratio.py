"""Repeats while the settings change under way."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, new_request, plain_runner
from tests.front.retry_budget.repeat_oracle import repeat_times
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench

CALM_S = 30.0
FAILING_S = 5.0
REQUESTS_PER_S = 50
LOWERED_RATIO = 0.02


class ChangedRatioTest(TestCase):
    """The bound on repeats that the settings state now holds."""

    @in_virtual_time
    async def test_ratio_lowered(self) -> None:
        """Guards against repeats by the ratio of before, which a signal to read the settings again has lowered."""
        runners = [plain_runner(number) for number in range(1, 5)]
        async with open_bench(configuration(), runners) as bench:
            front = bench.fronts['front-1']
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send_load, nursery, bench)
                await trio.sleep(CALM_S)
                front.reconfigure(front.cfg._replace(retry_ratio=LOWERED_RATIO, retry_reserve=0))
                for runner in runners:
                    runner.faults.fails = True
                await trio.sleep(FAILING_S)
                nursery.cancel_scope.cancel()
        repeats = len(repeat_times(runners))
        self.assertGreater(repeats, 0)
        self.assertLessEqual(repeats, LOWERED_RATIO * REQUESTS_PER_S * front.cfg.retry_window_s)


async def _send_load(nursery: trio.Nursery, bench: PlatformBench) -> None:
    while True:
        nursery.start_soon(bench.new_caller('front-1').send, new_request('/thumb/a'))
        await trio.sleep(1 / REQUESTS_PER_S)
