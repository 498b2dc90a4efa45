"""Streams whose version has one runner, no runner, or runners that leave.

A runner of the stream's version may be the only one. It may crash and be replaced within a second, lose a
connection and live, or take no new work. Runners of the other version are free all the while.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.stream_caller import TakenStream, stream_over_attempts
from tests.front.builders import new_prompt_request
from tests.front.streams.builders import break_streams, run_streams, stream_configuration, versioned_engines
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

# The stream has begun by then, and has events left, in seconds.
CRASH_AT_S = 0.15
# A new runner registers so long after a crash, in seconds.
REPLACED_AFTER_S = 0.5
# An answer that can't go on ends within so many seconds.
AT_ONCE_S = 0.2
EVENTS = 8
FRONTS = ('front-1',)


async def stream_from(bench: PlatformBench, found: list[TakenStream]) -> None:
    """Run one stream whose caller makes no second attempt."""
    callers = [bench.new_caller(front) for front in FRONTS]
    found.append(await stream_over_attempts(new_prompt_request('/tag/a', output=EVENTS), callers))


def crash(bench: PlatformBench, runner: RunnerStandIn) -> None:
    """Crash a runner for good; its registration stays."""
    bench.network.close(runner.address)
    bench.network.reset_all(runner.address.host)


class RunnersOfOriginTest(TestCase):
    """The runners of a stream's version after the stream broke."""

    @in_virtual_time
    async def test_only_runner_is_replaced(self) -> None:
        """Guards against a stream that ends, or changes its version, while its crashed runner is being replaced."""
        old = versioned_engines(1, 1, 'v1')[0]
        found: list[TakenStream] = []
        async with open_bench(stream_configuration(), [old]) as bench, trio.open_nursery() as nursery:
            nursery.start_soon(stream_from, bench, found)
            await trio.sleep(CRASH_AT_S)
            for newer in versioned_engines(2, 2, 'v2'):
                bench.add_runner(newer)
            crash(bench, old)
            await trio.sleep(REPLACED_AFTER_S)
            bench.add_runner(versioned_engines(4, 1, 'v1')[0])
        self.assertEqual((found[0].versions, len(found[0].events), found[0].whole), ({'v1'}, EVENTS, True))

    @in_virtual_time
    async def test_only_runner_lost_a_connection(self) -> None:
        """Guards against a stream that ends although the only runner of its version lives."""
        old, new = versioned_engines(1, 1, 'v1'), versioned_engines(2, 3, 'v2')
        break_streams(old)
        async with open_bench(stream_configuration(), [*old, *new]) as bench:
            streams = await run_streams(bench, 20, FRONTS)
        self.assertIn({'v1'}, [stream.versions for stream in streams])
        self.assertEqual([stream.events for stream in streams if stream.mixed or not stream.whole], [])

    @in_virtual_time
    async def test_other_runners_leave(self) -> None:
        """Guards against a wait, or a change of the version, when the runners of the version take no new work."""
        old = versioned_engines(1, 2, 'v1')
        found: list[TakenStream] = []
        async with open_bench(stream_configuration(), old) as bench, trio.open_nursery() as nursery:
            nursery.start_soon(stream_from, bench, found)
            await trio.sleep(CRASH_AT_S)
            for newer in versioned_engines(3, 2, 'v2'):
                bench.add_runner(newer)
            for older in old:
                bench.drain_runner(older.key)
            await trio.sleep(0.05)
            crashed_at = trio.current_time()
            for older in old:
                crash(bench, older)
            nursery.start_soon(partial(self._check_ends, found, crashed_at))
        self.assertEqual((found[0].versions, found[0].whole), ({'v1'}, False))

    async def _check_ends(self, found: list[TakenStream], crashed_at: float) -> None:
        await trio.sleep_until(crashed_at + AT_ONCE_S)
        self.assertTrue(found)
