"""Expected waits and silence limits where the speed of engines is known."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.engine_model.engine_model import LastingModel
from sesamepoint.front.engines.queue_triage import MAX_ENGINE_BACKLOG_S
from sesamepoint.front.requests.retries import MIN_ENGINE_SILENCE_TIMEOUT_S, silence_timeout_s
from tests.front.queue_triage_bench import LONG_ROUTE, QueueTriageBench
from tests.virtual_time import in_virtual_time

PREFILL_S = 0.3


def bench_of(*factors: float) -> QueueTriageBench:
    """Return a bench whose prefill engines have these lasting factors."""
    bench = QueueTriageBench(prefill_count=len(factors))
    for number, factor in enumerate(factors):
        bench.fleet.members[f'i-{number}'].model.lasting = LastingModel(prefill_factor=factor)
    return bench


class ExpectedWaitTest(TestCase):
    """Waits by the speed of the engines together."""

    @in_virtual_time
    async def test_wait_equal_engines(self) -> None:
        """Guards against another wait than by the number of engines where they are equal."""
        bench = bench_of(1, 1)
        waiter = bench.new_waiter(LONG_ROUTE, PREFILL_S)
        self.assertAlmostEqual(bench.triage.wait_s([waiter]), MAX_ENGINE_BACKLOG_S + PREFILL_S / 2)

    @in_virtual_time
    async def test_wait_unequal_engines(self) -> None:
        """Guards against a slow engine that counts as a whole one: of 0.6 and 1.6 it is 2.2 together."""
        bench = bench_of(1 / 0.6, 1 / 1.6)
        waiter = bench.new_waiter(LONG_ROUTE, PREFILL_S)
        self.assertAlmostEqual(bench.triage.wait_s([waiter]), MAX_ENGINE_BACKLOG_S + PREFILL_S / 2.2)

    @in_virtual_time
    async def test_work_planned_at_slow_engine(self) -> None:
        """Guards against work that counts for more to all because it is now planned at a slow engine."""
        bench = bench_of(1, 2)
        waiter = bench.new_waiter(LONG_ROUTE, 2 * PREFILL_S, prefill_factor=2)
        self.assertAlmostEqual(waiter.turn.work_s, PREFILL_S)


class SilenceTimeoutTest(TestCase):
    """How long an engine may take for its first output."""

    def test_timeout_usual_engine(self) -> None:
        """Guards against another timeout for an engine like the others of its service."""
        self.assertEqual(silence_timeout_s(0.1, engine=True), MIN_ENGINE_SILENCE_TIMEOUT_S)

    def test_timeout_slow_engine(self) -> None:
        """Guards against moving requests away from a slow engine that is at work; each move repeats the prefill."""
        self.assertEqual(silence_timeout_s(0.1, engine=True, slowness=1.5), 1.5 * MIN_ENGINE_SILENCE_TIMEOUT_S)
