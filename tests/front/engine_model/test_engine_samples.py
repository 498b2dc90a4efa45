"""Samples from prefills, and what they teach on the engine and on its service."""

from __future__ import annotations

from typing import Any
from unittest import TestCase

import trio

from sesamepoint_core.engine_model.engine_model import ModelReport
from sesamepoint_core.serving.prompt import Prompt
from sesamepoint.front.engine_model.engine_samples import EngineSamples, PrefillTimes
from sesamepoint.front.engines.engine_plan import EnginePlan
from sesamepoint.front.runners.runner_selection import RunnerSelector
from tests.front.builders import empty_runner_limits
from tests.front.queue_triage_bench import LONG_ROUTE, QueueTriageBench
from tests.virtual_time import in_virtual_time

PROMPT = Prompt('m', (), 17_000, 10)
OVERHEAD_S = 0.035
USUAL_S = 0.15
FAST_FACTOR = 0.625


class SampleBench:
    """Samples of remote prefills at one engine of a fleet."""

    def __init__(self, **view_changes: Any) -> None:
        """Plan all prefills alike, with these changes to the view of the engine."""
        self._bench = QueueTriageBench()
        self.selector = RunnerSelector(self._bench.engine_subset, 'z1', self._bench.backlog, empty_runner_limits())
        self.member = self._bench.fleet.members['i-0']
        plan = self._bench.new_waiter(LONG_ROUTE, USUAL_S).plan
        assert plan is not None
        view = plan.view._replace(wait_s=0, uncached_tokens=PROMPT.tokens)
        self._plan: EnginePlan = plan._replace(view=view._replace(**view_changes))
        self._samples = EngineSamples(self.selector)

    def observe(self, took_s: float, *, begun_ago_s: float | None) -> ModelReport:
        """Observe 20 equal prefills and return the own estimates; the engine began each so many seconds ago."""
        for _ in range(20):
            now = trio.current_time()
            begun_at = None if begun_ago_s is None else now - begun_ago_s
            times = PrefillTimes(now - took_s, begun_at)
            self._samples.observe_remote_prefill(self._plan, PROMPT, self.member, times)
        return self.member.model.own_report


class EngineSamplesTest(TestCase):
    """What a prefill counts for."""

    @in_virtual_time
    async def test_service_speed_fast_engine(self) -> None:
        """Guards against a service that counts as fast because its fast engine gets most of the work."""
        bench = SampleBench(prefill_factor=FAST_FACTOR)
        took_s = OVERHEAD_S + FAST_FACTOR * USUAL_S
        bench.observe(took_s, begun_ago_s=took_s)
        usual_s = bench.selector.speed_meter('llm').speed.prefill_s(PROMPT.tokens, PROMPT.tokens)
        self.assertAlmostEqual(usual_s, USUAL_S, delta=0.1 * USUAL_S)

    @in_virtual_time
    async def test_wait_at_engine(self) -> None:
        """Guards against the wait for an earlier prefill that counts as a slow engine."""
        waited = SampleBench().observe(OVERHEAD_S + 3 * USUAL_S, begun_ago_s=USUAL_S)
        alone = SampleBench().observe(OVERHEAD_S + USUAL_S, begun_ago_s=OVERHEAD_S + USUAL_S)
        self.assertAlmostEqual(waited.prefill.mean, alone.prefill.mean)
        self.assertLess(waited.prefill.weight, alone.prefill.weight)

    @in_virtual_time
    async def test_unknown_begin(self) -> None:
        """Guards against a prefill behind an unknown amount of work that counts as a sample."""
        self.assertEqual(SampleBench().observe(1, begun_ago_s=None).prefill.weight, 0)

    @in_virtual_time
    async def test_fetched_prefix(self) -> None:
        """Guards against the time of a fetch that counts as prefill."""
        self.assertEqual(SampleBench(fetch_tokens=5000).observe(1, begun_ago_s=1).prefill.weight, 0)
