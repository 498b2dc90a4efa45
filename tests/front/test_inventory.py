"""The inventory of engine caches that a front loads when it starts."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.serving.prompt import Part
from sesamepoint.front.inventory import Inventory
from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import asked_prompt, configuration, engine
from tests.virtual import virtual

SHARED = ('terms', 13_000)
# Time until a started front has loaded the inventories of its engines.
SETTLE_S = 0.5


async def first_prompt_s() -> float:
    """Start a front with engines that have been running, and time the first event of a prompt that one has cached."""
    runners = [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 5)]
    runners[1].cache.touch([Part(*SHARED)])
    async with running_bed(configuration(), runners) as bench:
        await trio.sleep(SETTLE_S)
        return (await bench.caller('front-1').ask(asked_prompt('/verdict/a', tokens=300, shared=SHARED))).first_s


async def _ask_nobody(_: Inventory) -> None:
    await trio.sleep_forever()


class RestartTest(TestCase):
    """Instances that restart while engines keep their caches."""

    @virtual
    async def test_restart_finds_shared_part(self) -> None:
        """Guards against a full prefill of the first long prompt after all instances lost power.

        Without the inventory, the instance takes the shared prefix block for
        not cached, and has 13,300 tokens prefilled at another engine in 0.16 s.
        """
        with_inventory_s = await first_prompt_s()
        with patch.object(Inventory, 'run', _ask_nobody):
            without_inventory_s = await first_prompt_s()
        self.assertLess(with_inventory_s, 0.09)
        self.assertGreater(without_inventory_s, 0.15)

    @virtual
    async def test_engine_does_not_tell(self) -> None:
        """Engines refuse to report their cache: requests are served nevertheless."""
        runners = [engine(1, 'prefill'), engine(2, 'decode')]
        for runner in runners:
            runner.tells_kept = False
        async with running_bed(configuration(), runners) as bench:
            await trio.sleep(SETTLE_S)
            seen = await bench.caller('front-1').ask(asked_prompt('/verdict/a', tokens=300, shared=SHARED))
            self.assertTrue(seen.whole)
