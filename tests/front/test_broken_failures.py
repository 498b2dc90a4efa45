"""Failures and rejections whose bodies break off after their head.

A runner rejected a request, and its connection was reset before the body of the rejection had come. The instance took
that for a broken attempt: its caller was told that the request may have run, and could not send it again.
"""

from __future__ import annotations

from collections import deque
from itertools import product
from typing import TYPE_CHECKING
from unittest import TestCase

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.framed_answer import Cut
from tests.front.builders import configuration, new_request, plain_runner
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_standins.platform.caller import CallerAnswer
    from sesamepoint_standins.platform.runner import RunnerStandIn

FRAMINGS = (Framing.length, Framing.chunked, Framing.until_close)
ENDS = (ReadEnd.closed, ReadEnd.reset)
BAD_GATEWAY = 502
UNAVAILABLE = 503
STALL_S = 2.0
# Longest time in seconds that a refusal takes if the body of a rejection stalls.
AT_ONCE_S = 0.5


class BrokenFailuresTest(TestCase):
    """What callers are told of a failure that broke off."""

    @in_virtual_time
    async def test_rejection_that_breaks_off(self) -> None:
        """Guards against a rejected request of which its caller is told that it may have run."""
        for framing, read_end in product(FRAMINGS, ENDS):
            runner = plain_runner(1, framing=framing)
            runner.faults.rejects = True
            answer = await _send('/card/a', [runner], Cut(2, read_end, delay_s=0.01))
            self.assertEqual((answer.status, answer.complete), (UNAVAILABLE, True), f'{framing} {read_end}')

    @in_virtual_time
    async def test_rejection_that_stalls(self) -> None:
        """Guards against a caller that waits for the body of a rejection which it never sees."""
        for framing in FRAMINGS:
            runner = plain_runner(1, framing=framing)
            runner.faults.rejects = True
            answer = await _send('/card/a', [runner], Cut(2, ReadEnd.reset, STALL_S))
            self.assertEqual(answer.status, UNAVAILABLE, framing)
            self.assertLess(answer.took_s, AT_ONCE_S, framing)

    @in_virtual_time
    async def test_failure_that_breaks_off(self) -> None:
        """Guards against a failure whose body is short and that reaches its caller as complete."""
        for framing, read_end in product(FRAMINGS, ENDS):
            if framing is Framing.until_close and read_end is ReadEnd.closed:
                # Nothing tells that it is short.
                continue
            runner = plain_runner(1, framing=framing)
            runner.faults.fails = True
            answer = await _send('/card/a', [runner], Cut(2, read_end, delay_s=0.01))
            self.assertEqual((answer.status, answer.complete), (BAD_GATEWAY, True), f'{framing} {read_end}')

    @in_virtual_time
    async def test_failure_that_breaks_off_is_retried(self) -> None:
        """Guards against a repeatable request that is not tried elsewhere after a failure that broke off."""
        for framing, read_end in product(FRAMINGS, ENDS):
            failing, sound = plain_runner(1, framing=framing), plain_runner(2)
            failing.faults.fails = True
            sound.work_s = failing.work_s
            answer = await _send('/thumb/a', [failing, sound], Cut(2, read_end, delay_s=0.01))
            self.assertEqual((answer.status, answer.complete), (200, True), f'{framing} {read_end}')


async def _send(path: str, runners: Sequence[RunnerStandIn], cut: Cut) -> CallerAnswer:
    runners[0].habits.cuts = deque((cut, cut, cut))
    async with open_bench(configuration(), runners) as bench:
        return await bench.new_caller('front-1').send(new_request(path, deadline_s=1.0))
