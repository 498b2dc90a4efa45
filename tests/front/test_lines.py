"""Lines of waiting requests: who is late behind whom."""

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
    """A newcomer behind those that wait."""

    @virtual
    async def test_short_before_long(self) -> None:
        """All callers come back after an outage; three long prompts wait, 0.9 s of reading.

        A short one that takes 4 ms and is due in 0.34 s is served before
        them. Counted behind them it was refused, though engines had time.
        """
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.3) for _ in range(3)]
        newcomer = bench.waiter(SHORT, work_s=0.004)
        bench.lines.receive(newcomer, waiting)
        self.assertFalse(newcomer.late)

    @virtual
    async def test_long_behind_long(self) -> None:
        """Two engines, 1.2 s of reading ahead, due in 0.6 s: late, whoever is asked."""
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.3) for _ in range(4)]
        newcomer = bench.waiter(LONG, work_s=0.1)
        bench.lines.receive(newcomer, waiting)
        self.assertTrue(newcomer.late)

    @virtual
    async def test_late_ones_not_ahead(self) -> None:
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.3) for _ in range(4)]
        for waiter in waiting:
            waiter.late = True
        newcomer = bench.waiter(LONG, work_s=0.1)
        bench.lines.receive(newcomer, waiting)
        self.assertFalse(newcomer.late)

    @virtual
    async def test_rivals_at_other_entries(self) -> None:
        """What others hold counts if it is due as soon, and for as long as their word is fresh."""
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
    """Entries of a large fleet, each of which knows a share of it."""

    @virtual
    async def test_work_of_others_by_share(self) -> None:
        """Of 96 engines each entry knows some 24, and others hold 9.6 s of work.

        A quarter of it will come to the engines known here. Counted whole, as
        if all entries knew the same engines, the wait came out four times as
        long, and callers were refused that could have been served.
        """
        bench = LinesBed(readers=4 * KNOWN)
        engines = sum(member.runner.stage is Stage.prefill for member in bench.known.of_service('llm'))
        bench.backlog.heard('front-2', (Held(PREFILL, LONG.target_s, 32, 9.6),))
        waiter = bench.waiter(LONG, work_s=0.3)
        self.assertAlmostEqual(bench.lines.wait_s([waiter]), HOLD_ABOVE_S + (9.6 / 4 + 0.3) / engines)
        bench.lines.receive(waiter, [])
        self.assertFalse(waiter.late)


class ReturnedTest(TestCase):
    """Callers that come back: late at once, and before all others when it is now or never."""

    @virtual
    async def test_returned_is_late(self) -> None:
        """Nobody waits, but its time runs since its first attempt."""
        bench = LinesBed()
        newcomer = bench.waiter(LONG, work_s=0.1, returned=True)
        bench.lines.receive(newcomer, [])
        self.assertTrue(newcomer.late)

    @virtual
    async def test_returned_last_call(self) -> None:
        """Its caller leaves after 3.2 s without a first event; 0.3 s of reading need 0.36 s.

        Held behind all that can be on time it would never be served; let go
        first with less than its reading to spare, it would come too late.
        """
        bench = LinesBed()
        waiter = bench.waiter(LONG, work_s=0.3, returned=True)
        first = bench.waiter(LONG, work_s=0.3)
        found = []
        for moment in (1.0, 2.3, 2.7):
            await trio.sleep_until(waiter.job.req.arrived + moment)
            found.append((waiter.last_call, waiter.too_late))
            self.assertFalse(first.last_call)
        self.assertEqual(found, [(False, False), (True, False), (True, True)])

    @virtual
    async def test_small_work(self) -> None:
        bench = LinesBed()
        self.assertTrue(bench.waiter(SHORT, work_s=0.01).small)
        self.assertFalse(bench.waiter(SHORT, work_s=0.1).small)


class SortTest(TestCase):
    """What is told to the other entries."""

    @virtual
    async def test_told_by_target(self) -> None:
        bench = LinesBed()
        waiting = [bench.waiter(LONG, work_s=0.2), bench.waiter(SHORT, work_s=0.01), bench.waiter(LONG, work_s=2.0)]
        bench.lines.sort(waiting)
        self.assertEqual([waiter.late for waiter in waiting], [False, False, True])
        told = {held.target_s: (held.requests, held.work_s, held.late_s) for held in bench.backlog.own}
        self.assertEqual(told, {LONG.target_s: (1, 0.2, 2.0), SHORT.target_s: (1, 0.01, 0)})

    @virtual
    async def test_nobody_waits_any_more(self) -> None:
        """The last request has gone to an engine: nobody may be refused for it, here or elsewhere."""
        bench = LinesBed()
        bench.lines.sort([bench.waiter(LONG, work_s=0.2)])
        self.assertEqual(bench.lines.rivals(PREFILL), 1)
        bench.lines.note([])
        self.assertEqual(bench.lines.rivals(PREFILL), 0)

    @virtual
    async def test_wait_counts_all(self) -> None:
        """Late ones here and at others take their time too: 2 s of work for two engines."""
        bench = LinesBed()
        bench.backlog.heard('front-2', (Held(PREFILL, LONG.target_s, 1, 0.5, 0.5),))
        waiting: list[Waiter] = [bench.waiter(LONG, work_s=1.0)]
        bench.lines.sort(waiting)
        self.assertAlmostEqual(bench.lines.wait_s(waiting), 1.1)
