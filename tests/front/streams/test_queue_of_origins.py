"""Streams of two versions that wait in the queue of one instance."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import patch

from sesamepoint_core.stream_origin.origin import StreamOrigin
from sesamepoint.front.engines.engine_queue import EngineQueue
from sesamepoint.front.engines.queue_triage import Waiter
from tests.front.queue_triage_bench import SHORT_ROUTE, QueueTriageBench
from tests.virtual_time import in_virtual_time

BUSY, FREE = StreamOrigin('llm', 'v1'), StreamOrigin('llm', 'v2')


class QueueOfOriginsTest(TestCase):
    """One pass over the queue."""

    @in_virtual_time
    async def test_busy_version_blocks_no_other(self) -> None:
        """Guards against streams that wait for free runners behind one whose version has busy runners only."""
        bench = QueueTriageBench()
        sends = SimpleNamespace(backlog=bench.backlog)
        queue = EngineQueue(SimpleNamespace(), sends, Random(1), SimpleNamespace())  # type: ignore[arg-type]
        waiters = [bench.new_waiter(SHORT_ROUTE, prefill_s=0.01) for _ in range(4)]
        for waiter, origin in zip(waiters, (BUSY, FREE, BUSY, FREE), strict=True):
            waiter.job.stream.origin = origin
            queue._waiters[waiter] = None
        tried: list[Waiter] = []

        def release_free(waiter: Waiter) -> bool:
            tried.append(waiter)
            return waiter.job.stream.origin == FREE

        with patch.object(queue, '_try_release', release_free):
            await queue._try_each(waiters)
        # The second one of the busy version is not tried: it would mostly fail too.
        self.assertEqual(tried, [waiters[0], waiters[1], waiters[3]])
