"""Runners that name a limit, before several instances.

Seen: two of four engines named a limit of 6.9 and 6.4 requests a second, and got 74 and 80 in 4 s.
How: the limit is a word in an answer, heard by the instance that got the answer. It went on to the caller.
Cause: nobody read it.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import configuration, plain_runner
from tests.front.limited import FRONTS, KNOWN_S, Load, bound, engines, fetch, most, plain_runners, send, short_prompt
from tests.virtual import virtual


class NamedLimitTest(TestCase):
    """What reaches runners that name a limit, from all instances together."""

    @virtual
    async def test_two_of_four_engines_name_a_limit(self) -> None:
        """Guards against engines that are sent more than the limit they name."""
        async with running_bed(configuration(), [*engines(2, 2), plain_runner(1)], fronts=FRONTS) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(short_prompt, 90, 10))
            found = most(bed, began + KNOWN_S)
        self.assertLessEqual(found, bound())

    @virtual
    async def test_two_of_four_plain_runners_name_a_limit(self) -> None:
        """Guards against plain runners that are sent more than the limit they name."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(fetch, 90, 10))
            found = most(bed, began + KNOWN_S)
        self.assertLessEqual(found, bound())
