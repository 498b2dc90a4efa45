"""Rate limits of runners that no instance reaches."""

from __future__ import annotations

import time
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_request
from tests.virtual_time import in_virtual_time

REQUESTS = 40
PAUSE_S = 0.1
# An instance uses its share of a limit only some seconds after its start.
START_S = 5.0
# Processor time of the whole play, in seconds; it takes a fifth of it.
MAX_PROCESSOR_S = 3.0


class OddLimitsTest(TestCase):
    """Instances serve beside a runner whose limit is meant for none."""

    @in_virtual_time
    async def test_limit_of_millions(self) -> None:
        """Guards against an instance that stands still since a runner names ten million requests a second."""
        for limit, limited in ((b'10000000', 0), (b'1000000000', 0), (b'1' * 32, 0), (b'999999', 5)):
            began = time.process_time()
            async with open_bench(configuration(), fleet(limit_headers=(limit,))) as bench:
                await trio.sleep(START_S)
                for _ in range(REQUESTS):
                    answer = await bench.new_caller('front-1').send(new_request('/thumb/a'))
                    self.assertEqual(answer.status, 200)
                    await trio.sleep(PAUSE_S)
                self.assertEqual(bench.fronts['front-1']._components.limits.count(), limited)
            self.assertLess(time.process_time() - began, MAX_PROCESSOR_S, limit)
