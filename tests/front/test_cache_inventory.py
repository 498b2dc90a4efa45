"""The inventory of engine caches that a front loads when it starts."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.serving.prompt import Part
from sesamepoint.front.engines.cache_inventory import CacheInventory
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, engine, new_prompt_request
from tests.virtual_time import in_virtual_time

SHARED_BLOCK = ('terms', 13_000)
# Time until a started front has loaded the inventories of its engines.
INVENTORY_S = 0.5


async def first_prompt_s() -> float:
    """Start a front with engines that have been running, and time the first event of a prompt that one has cached."""
    runners = [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 5)]
    runners[1].cache.touch([Part(*SHARED_BLOCK)])
    async with open_bench(configuration(), runners) as bench:
        await trio.sleep(INVENTORY_S)
        return (
            await bench.new_caller('front-1').send(
                new_prompt_request('/verdict/a', tokens=300, shared_prefix=SHARED_BLOCK)
            )
        ).first_byte_s


async def _query_no_engine(_: CacheInventory) -> None:
    await trio.sleep_forever()


class RestartTest(TestCase):
    """Instances that restart while engines keep their caches."""

    @in_virtual_time
    async def test_restart_finds_shared_block(self) -> None:
        """Guards against a full prefill of the first long prompt after all instances lost power.

        Without the inventory, the instance takes the shared prefix block for
        not cached, and has 13,300 tokens prefilled at another engine in 0.16 s.
        """
        with_inventory_s = await first_prompt_s()
        with patch.object(CacheInventory, 'run', _query_no_engine):
            without_inventory_s = await first_prompt_s()
        self.assertLess(with_inventory_s, 0.09)
        self.assertGreater(without_inventory_s, 0.15)

    @in_virtual_time
    async def test_engine_refuses_inventory(self) -> None:
        """Engines refuse to report their cache: requests are served nevertheless."""
        runners = [engine(1, 'prefill'), engine(2, 'decode')]
        for runner in runners:
            runner.serves_inventory = False
        async with open_bench(configuration(), runners) as bench:
            await trio.sleep(INVENTORY_S)
            seen = await bench.new_caller('front-1').send(
                new_prompt_request('/verdict/a', tokens=300, shared_prefix=SHARED_BLOCK)
            )
            self.assertTrue(seen.complete)
