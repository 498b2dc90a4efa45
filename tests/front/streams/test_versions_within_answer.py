"""Streams that break at one runner and go on at another within the same answer, while two versions serve.

An engine crashed, and the instances went on with its streams at engines of another software version. Callers got
whole answers whose events don't fit together.
"""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_standins.platform.bench import open_bench
from tests.front.streams.builders import break_streams, run_streams, stream_configuration, versioned_engines
from tests.virtual_time import in_virtual_time

STREAMS = 60
# The retry budget allows each of so many streams a second runner.
STREAMS_WITHIN_BUDGET = 20


class VersionsWithinAnswerTest(TestCase):
    """Versions of the runners that make the events of one answer."""

    @in_virtual_time
    async def test_stream_goes_on_at_its_version(self) -> None:
        """Guards against a stream that goes on at runners of another software version within one answer."""
        old, new = versioned_engines(1, 2, 'v1'), versioned_engines(3, 4, 'v2')
        break_streams([*old, *new])
        async with open_bench(stream_configuration(), [*old, *new], fronts=2) as bench:
            streams = await run_streams(bench, STREAMS, ['front-1'])
        self.assertEqual([stream.versions for stream in streams if stream.mixed], [])

    @in_virtual_time
    async def test_broken_streams_go_on(self) -> None:
        """Guards against broken streams that end although runners of their version serve."""
        old, new = versioned_engines(1, 2, 'v1'), versioned_engines(3, 4, 'v2')
        break_streams([*old, *new])
        async with open_bench(stream_configuration(), [*old, *new], fronts=2) as bench:
            streams = await run_streams(bench, STREAMS_WITHIN_BUDGET, ['front-1'])
        self.assertEqual([stream.versions for stream in streams if stream.mixed], [])
        self.assertEqual([stream.events for stream in streams if not stream.whole], [])
