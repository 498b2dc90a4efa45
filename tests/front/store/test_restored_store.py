"""The store was away, comes back from an older copy, and the operator and the runners write at once."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, NamedTuple
from unittest import TestCase

import trio

from sesamepoint.front.store.store_pacer import PROBE_INTERVAL_SHARE
from sesamepoint.platform.wire_names import INSTANCE_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.front import Front
    from sesamepoint_standins.platform.bench import PlatformBench

FRONTS = 31
SEEDS = range(1, 7)
CALM_S = (3.0, 8.0)
AWAY_S = (2.0, 12.0)
LOST_S = (2.0, 6.0)
SECOND_RESTORE_S = (0.02, 1.0)
CHECK_S = 0.002
# The last instance knows within this time after the first, in seconds.
SPREAD_S = 0.5
# A call to the store, and one that a second instance makes in vain, in seconds.
CALLS_S = 0.1
GIVE_UP_S = 10.0
# An instance that is answered asks at once for each of its topics.
CALLS_OF_INSTANCE = 4


class Learned(NamedTuple):
    """Seconds from a return of the store until the first and the last instance knew what was written at the return."""

    first_s: float
    last_s: float


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

    @in_virtual_time
    async def test_version_after_restore(self) -> None:
        """Guards against instances that learn one by one of a restored store, and serve by an older version."""
        learned = [await _learn_version(seed) for seed in SEEDS]
        self._check(learned)

    @in_virtual_time
    async def test_leaving_after_restore(self) -> None:
        """Guards against requests at a runner that left when the store had just come back."""
        learned = [await _learn_leaving(seed) for seed in SEEDS]
        self._check(learned)

    @in_virtual_time
    async def test_version_after_silence(self) -> None:
        """Guards against calls from before the return that are waited for, and are never answered."""
        learned = [await _learn_version(seed, silent=True) for seed in SEEDS]
        self._check(learned)

    @in_virtual_time
    async def test_version_after_calm_restore(self) -> None:
        """Guards against topics that learn of a restore by a poll of their own each, while the store serves."""
        learned = [await _learn_version(seed, away=False) for seed in SEEDS]
        self._check(learned)

    @in_virtual_time
    async def test_version_after_two_restores(self) -> None:
        """Guards against a second restore that comes before all instances have read what the first one left."""
        for seed in SEEDS:
            async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
                await _restore(bench, Random(seed))
                await trio.sleep(Random(seed).uniform(*SECOND_RESTORE_S))
                await _restore(bench, Random(-seed))
                bench.publish(configuration(version=9))
                self._check([await _measure(bench, _has_version)])

    def _check(self, learned: list[Learned]) -> None:
        # The bench's settings have bounds of 2 s.
        interval_s = PROBE_INTERVAL_SHARE * 2
        self.assertLess(max(one.first_s for one in learned), interval_s + CALLS_S, learned)
        self.assertLess(max(one.last_s - one.first_s for one in learned), SPREAD_S, learned)


async def _count_calls_in_outage(seed: int) -> int:
    """Return the calls that a restored store has served before any instance knows that it answers."""
    async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
        await _restore(bench, Random(seed))
        before = bench.store.call_count
        with trio.move_on_after(GIVE_UP_S):
            while all(_store_down(front) for front in bench.fronts.values()):
                await trio.sleep(CHECK_S)
        return bench.store.call_count - before


async def _learn_version(seed: int, *, silent: bool = False, away: bool = True) -> Learned:
    async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
        if away:
            await _restore(bench, Random(seed), silent=silent)
        else:
            await trio.sleep(Random(seed).uniform(*CALM_S))
            bench.store.roll_back(Random(seed).uniform(*LOST_S))
        bench.publish(configuration(version=9))
        return await _measure(bench, _has_version)


async def _learn_leaving(seed: int) -> Learned:
    async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
        await _restore(bench, Random(seed))
        bench.drain_runner('i-web1')
        return await _measure(bench, _knows_leaving)


async def _restore(bench: PlatformBench, rng: Random, *, silent: bool = False) -> None:
    await trio.sleep(rng.uniform(*CALM_S))
    bench.store.go_away(silent=silent)
    away_s = rng.uniform(*AWAY_S)
    await trio.sleep(away_s)
    bench.store.come_back(away_s + rng.uniform(*LOST_S))


def _store_down(front: Front) -> bool:
    return any('sesamepoint_store_down' in one.name and one.value_of() for one in front.dispatcher.metrics.gauges)


async def _measure(bench: PlatformBench, knows: Callable[[Front], bool]) -> Learned:
    began_at = trio.current_time()
    first_s = GIVE_UP_S
    with trio.move_on_after(GIVE_UP_S):
        while not all(knows(front) for front in bench.fronts.values()):
            await trio.sleep(CHECK_S)
            if first_s == GIVE_UP_S and any(knows(front) for front in bench.fronts.values()):
                first_s = trio.current_time() - began_at
    return Learned(first_s, trio.current_time() - began_at)


def _has_version(front: Front) -> bool:
    cfg = front.dispatcher.configuration
    return cfg is not None and cfg.version == 9


def _knows_leaving(front: Front) -> bool:
    return front.fleet.members['i-web1'].runner.draining
