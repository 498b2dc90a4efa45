"""Runners that say in their answers that they leave, while the store tells nothing of it.

Seen: an engine said so in its answers, and got 7 to 13 requests a second for 13 s more.
How: the store was away when it reported its leaving; instances had its answers, and passed them on.
Cause: leaving was a field of a registration only; nobody read it in answers.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.platform.word_bounds import after_leaving
from tests.front.builders import configuration
from tests.front.limited import FRONTS, Load, engines, fetch, plain_runners, send, short_prompt
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.runner import RunnerStandIn

SAYS = (b'1',)
# The store has gone so long before, in seconds.
AWAY_S = 1.0
LENGTH_S = 6.0


async def leave_unheard(bed: PlatformBed, runner: RunnerStandIn, load: Load) -> None:
    """Have the store go, then ``runner`` leave, under ``load``."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bed, Random(1), load)
        await trio.sleep(AWAY_S)
        bed.store.down = True
        await trio.sleep(AWAY_S)
        runner.says_leaving = SAYS


class LeavingTest(TestCase):
    """What reaches a runner that has said in an answer that it leaves."""

    @virtual
    async def test_engine_while_the_store_is_away(self) -> None:
        """Guards against an engine that is sent requests after it said that it leaves."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await leave_unheard(bed, runners[0], Load(short_prompt, 90, LENGTH_S))
        self.assertEqual(after_leaving(runners[0]), [])

    @virtual
    async def test_plain_runner_while_the_store_is_away(self) -> None:
        """Guards against a plain runner that is sent requests after it said that it leaves."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await leave_unheard(bed, runners[0], Load(fetch, 90, LENGTH_S))
        self.assertEqual(after_leaving(runners[0]), [])
