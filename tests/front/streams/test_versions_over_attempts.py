"""Streams that their callers take up at another instance, while two versions serve.

A caller whose answer broke off named the stream in a new attempt, which was placed like any request: at a runner of
another software version. The caller joined events that don't fit together.
"""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_standins.platform.bench import open_bench
from tests.front.streams.builders import break_streams, run_streams, stream_configuration, versioned_engines
from tests.virtual_time import in_virtual_time

STREAMS = 60


class VersionsOverAttemptsTest(TestCase):
    """Versions of the runners that make the events of one stream over the attempts of its caller."""

    @in_virtual_time
    async def test_taken_up_stream_goes_on_at_its_version(self) -> None:
        """Guards against a stream that goes on at runners of another software version over a caller's attempts."""
        old, new = versioned_engines(1, 2, 'v1'), versioned_engines(3, 4, 'v2')
        break_streams([*old, *new])
        async with open_bench(stream_configuration(attempts=1), [*old, *new], fronts=2) as bench:
            streams = await run_streams(bench, STREAMS, ['front-1', 'front-2'])
        self.assertEqual([stream.versions for stream in streams if stream.mixed], [])
        self.assertEqual([stream.events for stream in streams if not stream.whole], [])
