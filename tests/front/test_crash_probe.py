"""Whether a runner has ended, after a connection to it broke."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, plain_runner
from tests.virtual_time import in_virtual_time


class CrashProbeTest(TestCase):
    """Ends of runners that were seen to live just before."""

    @in_virtual_time
    async def test_end_just_after_runner_was_seen(self) -> None:
        """Guards against ends that count against no request, since a check 0.05 s before found the runner alive."""
        runner = plain_runner(1)
        async with open_bench(configuration(), [runner]) as bench:
            member = bench.fronts['front-1'].fleet.members[runner.key]
            self.assertFalse(await member.has_ended(trio.current_time()))
            bench.crash_runner(runner)
            await trio.sleep(0.05)
            self.assertTrue(await member.has_ended())
