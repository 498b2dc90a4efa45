"""Queues of waiting requests and the check of which ones can't meet their deadlines."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_core.serving.runner import Stage
from sesamepoint.front.backlog import BELIEVED_S, Held, Line, Need
from sesamepoint.front.known_engines import KNOWN
from sesamepoint.front.lines import HOLD_ABOVE_S, Waiter
from tests.front.waiters import LONG, SHORT, LinesBed
from tests.virtual import virtual

PREFILL = Line('llm', Need.prefill)


class ReceiveTest(TestCase):
    """The deadline check of a request that arrives while others wait."""

    @virtual
    async def test_short_before_long(self) -> None:
        """Guards against refusing a short prompt because of long ones that are due later.

        After an outage three long prompts wait, 0.9 s of prefill. A short one
        that takes 4 ms and is due in 0.34 s goes before them. It was counted
        behind them and refused, though engines had time.
        """
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.3) for _ in range(3)]
        newcomer = bench.waiter(SHORT, work_s=0.004)
        bench.lines.receive(newcomer, waiting)
        self.assertFalse(newcomer.late)

    @virtual
    async def test_long_behind_long(self) -> None:
        """With two engines and 1.2 s of prefill queued, a request that is due in 0.6 s is late."""
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.3) for _ in range(4)]
        newcomer = bench.waiter(LONG, work_s=0.1)
        bench.lines.receive(newcomer, waiting)
        self.assertTrue(newcomer.late)

    @virtual
    async def test_late_ones_not_ahead(self) -> None:
        """Guards against counting work that is already late as ahead of a new request."""
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.3) for _ in range(4)]
        for waiter in waiting:
            waiter.late = True
        newcomer = bench.waiter(LONG, work_s=0.1)
        bench.lines.receive(newcomer, waiting)
        self.assertFalse(newcomer.late)

    @virtual
    async def test_rivals_at_other_entries(self) -> None:
        """Work queued at peers counts if it is due no later, and until their report expires."""
        bench = LinesBed()
        for target_s, late in ((SHORT.target_s, True), (LONG.target_s, True), (LONG.target_s + 1, False)):
            bench.backlog.heard('front-2', (Held(PREFILL, target_s, 8, 1.4),))
            self.assertEqual(self._late(bench), late)
        bench.backlog.heard('front-2', (Held(PREFILL, LONG.target_s, 8, 1.4),))
        await trio.sleep(BELIEVED_S + 0.01)
        self.assertFalse(self._late(bench))

    def _late(self, bed: LinesBed) -> bool:
        newcomer = bed.waiter(LONG, work_s=0.1)
        bed.lines.receive(newcomer, [])
        return newcomer.late


class SharesTest(TestCase):
    """Instances that each use a subset of a large fleet."""

    @virtual
    async def test_work_of_others_by_share(self) -> None:
        """Guards against refusals because work queued at peers is counted in full.

        Of 96 engines each instance uses some 24, and peers have 9.6 s of work
        queued. A quarter of it will reach the engines used here. Counted in
        full, it made the expected wait four times as long, and callers were
        refused that could have been served.
        """
        bench = LinesBed(readers=4 * KNOWN)
        engines = sum(member.runner.stage is Stage.prefill for member in bench.known.of_service('llm'))
        bench.backlog.heard('front-2', (Held(PREFILL, LONG.target_s, 32, 9.6),))
        waiter = bench.waiter(LONG, work_s=0.3)
        self.assertAlmostEqual(bench.lines.wait_s([waiter]), HOLD_ABOVE_S + (9.6 / 4 + 0.3) / engines)
        bench.lines.receive(waiter, [])
        self.assertFalse(waiter.late)


class ReturnedTest(TestCase):
    """Retries of callers: late from the start, and before all others when their latest start time is near."""

    @virtual
    async def test_returned_is_late(self) -> None:
        """A retry is late even if no other request waits: its time has run since the first attempt."""
        bench = LinesBed()
        newcomer = bench.waiter(LONG, work_s=0.1, returned=True)
        bench.lines.receive(newcomer, [])
        self.assertTrue(newcomer.late)

    @virtual
    async def test_returned_last_call(self) -> None:
        """Guards against retries that are never served, and against sending those that come too late.

        The caller disconnects after 3.2 s without a first event, and 0.3 s of
        prefill take 0.36 s. Behind all requests that can be on time it would
        never be served; sent with less slack than its prefill, it would come
        too late.
        """
        bench = LinesBed()
        waiter = bench.waiter(LONG, work_s=0.3, returned=True)
        first = bench.waiter(LONG, work_s=0.3)
        states = []
        for moment in (1.0, 2.3, 2.7):
            await trio.sleep_until(waiter.job.req.arrived + moment)
            states.append((waiter.last_call, waiter.too_late))
            self.assertFalse(first.last_call)
        self.assertEqual(states, [(False, False), (True, False), (True, True)])

    @virtual
    async def test_small_work(self) -> None:
        """10 ms of prefill count as small work, 100 ms do not."""
        bench = LinesBed()
        self.assertTrue(bench.waiter(SHORT, work_s=0.01).small)
        self.assertFalse(bench.waiter(SHORT, work_s=0.1).small)


class SortTest(TestCase):
    """The report of queued work that is published to peers."""

    @virtual
    async def test_told_by_target(self) -> None:
        """Timely and late work is summed by the latency target of its route."""
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.2), bench.waiter(SHORT, work_s=0.01), bench.waiter(LONG, work_s=2.0)]
        bench.lines.sort(waiting)
        self.assertEqual([waiter.late for waiter in waiting], [False, False, True])
        published = {queued.target_s: (queued.requests, queued.work_s, queued.late_s) for queued in bench.backlog.own}
        self.assertEqual(published, {LONG.target_s: (1, 0.2, 2.0), SHORT.target_s: (1, 0.01, 0)})

    @virtual
    async def test_nobody_waits_any_more(self) -> None:
        """Guards against refusals because of a request that has left the queue for an engine."""
        bench = LinesBed()
        bench.lines.sort([bench.waiter(LONG, work_s=0.2)])
        self.assertEqual(bench.lines.rivals(PREFILL), 1)
        bench.lines.note([])
        self.assertEqual(bench.lines.rivals(PREFILL), 0)

    @virtual
    async def test_wait_counts_all(self) -> None:
        """Late requests here and at peers count as well: 2 s of work for two engines."""
        bench = LinesBed()
        bench.backlog.heard('front-2', (Held(PREFILL, LONG.target_s, 1, 0.5, 0.5),))
        waiting: list[Waiter] = [bench.waiter(LONG, work_s=1.0)]
        bench.lines.sort(waiting)
        self.assertAlmostEqual(bench.lines.wait_s(waiting), 1.1)
