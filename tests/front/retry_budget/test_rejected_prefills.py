"""The retry budget while prefill engines reject what they are sent."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.admit.window_budget import Payment, WindowBudget
from sesamepoint.front.retry_budget import retry_budgets
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.runner_state import Faults
from tests.front.builders import configuration, engine, new_prompt_request
from tests.front.retry_budget.repeat_oracle import BudgetBound, repeat_times, worst_window
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.runner import RunnerStandIn
    from tests.front.retry_budget.repeat_oracle import WorstWindow

BOUND = BudgetBound(ratio=0.2, slack=50, window_s=10)
FRONTS = 3
REQUESTS_PER_S = 20.0
CALM_S = 10.0
REJECTING_S = 20.0
TOKENS = 12_000
# Requests under way at the end, whose repeats are paid and not sent yet.
IN_FLIGHT = FRONTS


class _CountingBudget(WindowBudget):
    """Counts what all budgets take and do not give back."""

    paid = 0

    def refund(self, payment: Payment) -> None:
        _CountingBudget.paid -= 1
        super().refund(payment)

    def _take(self) -> Payment:
        _CountingBudget.paid += 1
        return super()._take()


class RejectedPrefillsTest(TestCase):
    """Prompts that would be prefilled at other engines than they are decoded at."""

    @in_virtual_time
    async def test_repeats_all_prefill_engines_reject(self) -> None:
        """Guards against a rejected first prefill of each request, which nobody asks the budget for."""
        window = await _run_prefills(Faults(rejects=True))
        self.assertLessEqual(window.repeats, window.allowed)

    @in_virtual_time
    async def test_repeats_all_prefill_engines_reset(self) -> None:
        """Guards against a first prefill of each request that is reset, which nobody asks the budget for."""
        window = await _run_prefills(Faults(drops=True))
        self.assertLessEqual(window.repeats, window.allowed)

    @in_virtual_time
    async def test_budget_spent_without_send(self) -> None:
        """Guards against repeats that are paid for prefills which no engine is left to get."""
        _CountingBudget.paid = 0
        with patch.object(retry_budgets, 'WindowBudget', _CountingBudget):
            runners, _ = await _played_prefills(Faults(drops=True))
        self.assertLessEqual(_CountingBudget.paid, len(repeat_times(runners)) + IN_FLIGHT)

    @in_virtual_time
    async def test_budget_all_prefill_engines_fail(self) -> None:
        """Guards against a budget that is used up by first prefills that were accepted, which are free."""
        _CountingBudget.paid = 0
        with patch.object(retry_budgets, 'WindowBudget', _CountingBudget):
            runners, _ = await _played_prefills(Faults(fails=True))
        self.assertLessEqual(_CountingBudget.paid, len(repeat_times(runners)) + IN_FLIGHT)


async def _run_prefills(faults: Faults) -> WorstWindow:
    """Send prompts while all prefill engines have ``faults`` after a calm time; return the worst window."""
    runners, sent_at = await _played_prefills(faults)
    return worst_window(BOUND, sent_at, repeat_times(runners))


async def _played_prefills(faults: Faults) -> tuple[list[RunnerStandIn], list[float]]:
    """Return the runners of such a load, and when its requests were sent."""
    prefill = [engine(number, 'prefill') for number in range(1, 4)]
    runners = [*prefill, *(engine(number, 'decode') for number in range(11, 17))]
    sent_at: list[float] = []
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench, trio.open_nursery() as nursery:
        nursery.start_soon(_send_load, bench, nursery, sent_at)
        await trio.sleep(CALM_S)
        for runner in prefill:
            runner.faults = faults
        await trio.sleep(REJECTING_S)
        nursery.cancel_scope.cancel()
    return runners, sent_at


async def _send_load(bench: PlatformBench, nursery: trio.Nursery, sent_at: list[float]) -> None:
    rng = Random(1)
    while True:
        await trio.sleep(rng.expovariate(REQUESTS_PER_S))
        sent_at.append(trio.current_time())
        req = new_prompt_request('/tag/a', tokens=TOKENS, output=10, deadline_s=5.0)
        nursery.start_soon(bench.new_caller(f'front-{rng.randint(1, FRONTS)}').send, req)
