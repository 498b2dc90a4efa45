"""The retry budget while prefill engines reject what they are sent."""

from __future__ import annotations

from random import Random
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, engine, new_prompt_request
from tests.front.retry_budget.repeat_oracle import BudgetBound, repeat_times, worst_window
from tests.virtual_time import in_virtual_time

BOUND = BudgetBound(ratio=0.2, slack=50, window_s=10)
FRONTS = 3
REQUESTS_PER_S = 20.0
CALM_S = 10.0
REJECTING_S = 20.0
TOKENS = 12_000


class RejectedPrefillsTest(TestCase):
    """Prompts that would be prefilled at other engines than they are decoded at."""

    @in_virtual_time
    async def test_repeats_all_prefill_engines_reject(self) -> None:
        """Guards against a rejected first prefill of each request, which nobody asks the budget for."""
        prefill = [engine(number, 'prefill') for number in range(1, 4)]
        runners = [*prefill, *(engine(number, 'decode') for number in range(11, 17))]
        sent_at: list[float] = []
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench, trio.open_nursery() as nursery:
            nursery.start_soon(_send_load, bench, nursery, sent_at)
            await trio.sleep(CALM_S)
            for runner in prefill:
                runner.faults.rejects = True
            await trio.sleep(REJECTING_S)
            nursery.cancel_scope.cancel()
        window = worst_window(BOUND, sent_at, repeat_times(runners))
        self.assertLessEqual(window.repeats, window.allowed)


async def _send_load(bench: PlatformBench, nursery: trio.Nursery, sent_at: list[float]) -> None:
    rng = Random(1)
    while True:
        await trio.sleep(rng.expovariate(REQUESTS_PER_S))
        sent_at.append(trio.current_time())
        req = new_prompt_request('/tag/a', tokens=TOKENS, output=10, deadline_s=5.0)
        nursery.start_soon(bench.new_caller(f'front-{rng.randint(1, FRONTS)}').send, req)
