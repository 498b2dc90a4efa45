"""Queues of waiting requests and the check of which ones can't meet their deadlines."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_core.serving.runner import Stage
from sesamepoint.front.engines.backlog import REPORT_TTL_S, Need, QueueKey, QueuedWork
from sesamepoint.front.runners.engine_subset import SUBSET_ENGINES
from sesamepoint.front.engines.queue_triage import MAX_ENGINE_BACKLOG_S, Waiter
from tests.front.queue_triage_bench import LONG_ROUTE, SHORT_ROUTE, QueueTriageBench
from tests.virtual_time import in_virtual_time

PREFILL_QUEUE = QueueKey('llm', Need.prefill)


class AssessTest(TestCase):
    """The deadline check of a request that arrives while others wait."""

    @in_virtual_time
    async def test_short_before_long(self) -> None:
        """Guards against refusing a short prompt because of long ones that are due later.

        After an outage three long prompts wait, 0.9 s of prefill. A short one
        that takes 4 ms and is due in 0.34 s goes before them. It was counted
        behind them and refused, though engines had time.
        """
        bench = QueueTriageBench()
        waiting = [bench.new_waiter(LONG_ROUTE, prefill_s=0.3) for _ in range(3)]
        newcomer = bench.new_waiter(SHORT_ROUTE, prefill_s=0.004)
        bench.triage.assess(newcomer, waiting)
        self.assertFalse(newcomer.late)

    @in_virtual_time
    async def test_long_behind_long(self) -> None:
        """With two engines and 1.2 s of prefill queued, a request that is due in 0.6 s is late."""
        bench = QueueTriageBench()
        waiting = [bench.new_waiter(LONG_ROUTE, prefill_s=0.3) for _ in range(4)]
        newcomer = bench.new_waiter(LONG_ROUTE, prefill_s=0.1)
        bench.triage.assess(newcomer, waiting)
        self.assertTrue(newcomer.late)

    @in_virtual_time
    async def test_late_requests_not_counted(self) -> None:
        """Guards against counting work that is already late as ahead of a new request."""
        bench = QueueTriageBench()
        waiting = [bench.new_waiter(LONG_ROUTE, prefill_s=0.3) for _ in range(4)]
        for waiter in waiting:
            waiter.late = True
        newcomer = bench.new_waiter(LONG_ROUTE, prefill_s=0.1)
        bench.triage.assess(newcomer, waiting)
        self.assertFalse(newcomer.late)

    @in_virtual_time
    async def test_requests_queued_at_peers(self) -> None:
        """Work queued at peers counts if it is due no later, and until their report expires."""
        bench = QueueTriageBench()
        for target_s, late in (
            (SHORT_ROUTE.target_s, True),
            (LONG_ROUTE.target_s, True),
            (LONG_ROUTE.target_s + 1, False),
        ):
            bench.backlog.update_peer('front-2', (QueuedWork(PREFILL_QUEUE, target_s, 8, 1.4),))
            self.assertEqual(self._is_late(bench), late)
        bench.backlog.update_peer('front-2', (QueuedWork(PREFILL_QUEUE, LONG_ROUTE.target_s, 8, 1.4),))
        await trio.sleep(REPORT_TTL_S + 0.01)
        self.assertFalse(self._is_late(bench))

    def _is_late(self, bench: QueueTriageBench) -> bool:
        newcomer = bench.new_waiter(LONG_ROUTE, prefill_s=0.1)
        bench.triage.assess(newcomer, [])
        return newcomer.late


class SubsetShareTest(TestCase):
    """Instances that each use a subset of a large fleet."""

    @in_virtual_time
    async def test_peer_work_by_subset_share(self) -> None:
        """Guards against refusals because work queued at peers is counted in full.

        Of 96 engines each instance uses some 24, and peers have 9.6 s of work
        queued. A quarter of it will reach the engines used here. Counted in
        full, it made the expected wait four times as long, and callers were
        refused that could have been served.
        """
        bench = QueueTriageBench(prefill_count=4 * SUBSET_ENGINES)
        engines = sum(member.runner.stage is Stage.prefill for member in bench.engine_subset.of_service('llm'))
        bench.backlog.update_peer('front-2', (QueuedWork(PREFILL_QUEUE, LONG_ROUTE.target_s, 32, 9.6),))
        waiter = bench.new_waiter(LONG_ROUTE, prefill_s=0.3)
        self.assertAlmostEqual(bench.triage.wait_s([waiter]), MAX_ENGINE_BACKLOG_S + (9.6 / 4 + 0.3) / engines)
        bench.triage.assess(waiter, [])
        self.assertFalse(waiter.late)


class CallerRetryTest(TestCase):
    """Retries of callers: late from the start, and before all others when their latest start time is near."""

    @in_virtual_time
    async def test_retry_is_late(self) -> None:
        """A retry is late even if no other request waits: its time has run since the first attempt."""
        bench = QueueTriageBench()
        newcomer = bench.new_waiter(LONG_ROUTE, prefill_s=0.1, caller_retry=True)
        bench.triage.assess(newcomer, [])
        self.assertTrue(newcomer.late)

    @in_virtual_time
    async def test_retry_near_latest_start(self) -> None:
        """Guards against retries that are never served, and against sending those that come too late.

        The caller disconnects after 3.2 s without a first event, and 0.3 s of
        prefill take 0.36 s. Behind all requests that can be on time it would
        never be served; sent with less slack than its prefill, it would come
        too late.
        """
        bench = QueueTriageBench()
        waiter = bench.new_waiter(LONG_ROUTE, prefill_s=0.3, caller_retry=True)
        first = bench.new_waiter(LONG_ROUTE, prefill_s=0.3)
        states = []
        for moment in (1.0, 2.3, 2.7):
            await trio.sleep_until(waiter.job.req.arrived_at + moment)
            states.append((waiter.urgent, waiter.unservable))
            self.assertFalse(first.urgent)
        self.assertEqual(states, [(False, False), (True, False), (True, True)])

    @in_virtual_time
    async def test_small_work(self) -> None:
        """10 ms of prefill count as small work, 100 ms do not."""
        bench = QueueTriageBench()
        self.assertTrue(bench.new_waiter(SHORT_ROUTE, prefill_s=0.01).small)
        self.assertFalse(bench.new_waiter(SHORT_ROUTE, prefill_s=0.1).small)


class PublishTest(TestCase):
    """The report of queued work that is published to peers."""

    @in_virtual_time
    async def test_published_by_target(self) -> None:
        """Timely and late work is summed by the latency target of its route."""
        bench = QueueTriageBench()
        waiting = [
            bench.new_waiter(LONG_ROUTE, prefill_s=0.2),
            bench.new_waiter(SHORT_ROUTE, prefill_s=0.01),
            bench.new_waiter(LONG_ROUTE, prefill_s=2.0),
        ]
        bench.triage.mark_late(waiting)
        self.assertEqual([waiter.late for waiter in waiting], [False, False, True])
        published = {
            queued.target_s: (queued.timely_requests, queued.timely_work_s, queued.late_work_s)
            for queued in bench.backlog.own
        }
        self.assertEqual(published, {LONG_ROUTE.target_s: (1, 0.2, 2.0), SHORT_ROUTE.target_s: (1, 0.01, 0)})

    @in_virtual_time
    async def test_queue_emptied(self) -> None:
        """Guards against refusals because of a request that has left the queue for an engine."""
        bench = QueueTriageBench()
        bench.triage.mark_late([bench.new_waiter(LONG_ROUTE, prefill_s=0.2)])
        self.assertEqual(bench.triage.count_timely(PREFILL_QUEUE), 1)
        bench.triage.publish([])
        self.assertEqual(bench.triage.count_timely(PREFILL_QUEUE), 0)

    @in_virtual_time
    async def test_wait_includes_late_requests(self) -> None:
        """Late requests here and at peers count as well: 2 s of work for two engines."""
        bench = QueueTriageBench()
        bench.backlog.update_peer('front-2', (QueuedWork(PREFILL_QUEUE, LONG_ROUTE.target_s, 1, 0.5, 0.5),))
        waiting: list[Waiter] = [bench.new_waiter(LONG_ROUTE, prefill_s=1.0)]
        bench.triage.mark_late(waiting)
        self.assertAlmostEqual(bench.triage.wait_s(waiting), 1.1)
