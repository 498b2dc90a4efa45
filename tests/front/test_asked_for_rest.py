"""Runners that turn requests away and ask for rest.

Seen: an engine asked an instance for 3 s of rest, and got 7 and 9 requests from it in that time.
How: each request that was turned away counted as a failure; after three the engine was left out for a second.
Cause: nobody read the time that the engine named.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.platform.word_bounds import in_rest
from tests.front.builders import configuration
from tests.front.limited import FRONTS, Load, engines, send, short_prompt
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.runner import RunnerStandIn

REST = b'3'
LENGTH_S = 8.0


async def rest_under(bed: PlatformBed, runners: list[RunnerStandIn], load: Load) -> None:
    """Have ``runners`` turn all requests away and ask for rest, from the second second of ``load`` on."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bed, Random(1), load)
        await trio.sleep(1)
        for runner in runners:
            runner.faults.rejects = True
            runner.asks_rest = (REST,)


class RestTest(TestCase):
    """What reaches a runner that has asked for rest."""

    @virtual
    async def test_engine_asks_for_rest(self) -> None:
        """Guards against an engine that is sent requests in the time of rest that it asked for."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await rest_under(bed, runners[:1], Load(short_prompt, 90, LENGTH_S))
        self.assertEqual(in_rest(runners[0]), [])
