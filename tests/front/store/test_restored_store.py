"""The store was away, comes back from an older copy, and the operator and the runners write at once."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint.platform.wire_names import INSTANCE_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.front.front import Front
    from sesamepoint_standins.platform.bench import PlatformBench

FRONTS = 31
SEEDS = range(1, 7)
CALM_S = (3.0, 8.0)
AWAY_S = (2.0, 12.0)
LOST_S = (2.0, 6.0)
CHECK_S = 0.002
GIVE_UP_S = 10.0
# An instance that is answered asks at once for each of its topics.
CALLS_OF_INSTANCE = 4


class RestoredStoreTest(TestCase):
    """What all instances know soon after the return."""

    @in_virtual_time
    async def test_first_answer_after_restore(self) -> None:
        """Guards against answers of a restored store that count as none, so that instances go on probing it in turn."""
        calls = [await _count_calls_in_outage(seed) for seed in SEEDS]
        self.assertLessEqual(max(calls), CALLS_OF_INSTANCE, calls)

    @in_virtual_time
    async def test_joined_after_restore(self) -> None:
        """Guards against instances that peers ignore for the settling time, since only the list has their records."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            await _restore(bench, Random(1))
            bench.store.put_raw(INSTANCE_TOPIC, 'front-3', b'10.1.0.3:8002')
            await trio.sleep(1)
            for name in ('front-1', 'front-2'):
                self.assertIn('front-3', bench.fronts[name].peers.addresses)


async def _count_calls_in_outage(seed: int) -> int:
    """Return the calls that a restored store has served before any instance knows that it answers."""
    async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
        await _restore(bench, Random(seed))
        before = bench.store.call_count
        with trio.move_on_after(GIVE_UP_S):
            while all(_store_down(front) for front in bench.fronts.values()):
                await trio.sleep(CHECK_S)
        return bench.store.call_count - before


async def _restore(bench: PlatformBench, rng: Random, *, silent: bool = False) -> None:
    await trio.sleep(rng.uniform(*CALM_S))
    bench.store.go_away(silent=silent)
    away_s = rng.uniform(*AWAY_S)
    await trio.sleep(away_s)
    bench.store.come_back(away_s + rng.uniform(*LOST_S))


def _store_down(front: Front) -> bool:
    return any('sesamepoint_store_down' in one.name and one.value_of() for one in front.dispatcher.metrics.gauges)
