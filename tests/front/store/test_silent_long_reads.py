"""Reads of the log stay without an answer, those that the store holds or all, and all other calls are served."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, plain_runner
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

FRONTS = 12
SEEDS = range(1, 4)
# Leavings within one play, and the longest pause between two, in seconds.
LEAVINGS = 8
MAX_PAUSE_S = 2.0
CHECK_S = 0.05
GIVE_UP_S = 10.0
COUNTED_S = 10.0
MANY_FRONTS = 30
TOPICS = 4
# Left of the bound for a process that waits for a processor, in seconds.
SPARE_S = 0.5


class SilentLongReadsTest(TestCase):
    """Changes take effect in time while long reads hang."""

    @in_virtual_time
    async def test_leaving_runners(self) -> None:
        """Guards against requests at a runner that left, since the read that would have said so hangs until its end."""
        late = [await _late_s(seed, 'answers_long_reads') for seed in SEEDS]
        self.assertLess(max(late), -SPARE_S, late)

    @in_virtual_time
    async def test_configurations(self) -> None:
        """Guards against versions that are late for the same reason."""
        await _check_versions(self, 'answers_long_reads')

    @in_virtual_time
    async def test_calls(self) -> None:
        """Guards against instances that all poll, since each of their polls lasts until a read counts as silent."""
        async with open_bench(configuration(), fleet(), fronts=MANY_FRONTS) as bench:
            await trio.sleep(COUNTED_S)
            calm = await _count_calls(bench)
            bench.store.answers_long_reads = False
            # A second call for each one, and one poll of each instance that finds its first read silent.
            self.assertLess(await _count_calls(bench), 2 * calm + MANY_FRONTS * TOPICS)

    @in_virtual_time
    async def test_held_reads_again(self) -> None:
        """Guards against short reads that go on once held ones are answered again."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            await trio.sleep(COUNTED_S)
            calm = await _count_calls(bench)
            bench.store.answers_long_reads = False
            await trio.sleep(COUNTED_S)
            bench.store.answers_long_reads = True
            await trio.sleep(COUNTED_S)
            self.assertLess(await _count_calls(bench), 1.1 * calm)


class SilentLogReadsTest(TestCase):
    """Changes take effect in time while all reads of the log hang, by whole lists."""

    @in_virtual_time
    async def test_leaving_runners(self) -> None:
        """Guards against requests at a runner that left, since no read of the log says so."""
        late = [await _late_s(seed, 'answers_log_reads') for seed in SEEDS]
        self.assertLess(max(late), 0, late)

    @in_virtual_time
    async def test_draining_runners(self) -> None:
        """Guards against requests at a runner that drains, since no read of the log says so."""
        async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
            bench.store.answers_log_reads = False
            for number in range(10, 10 + LEAVINGS):
                runner = plain_runner(number)
                bench.add_runner(runner)
                await trio.sleep(bench.fronts['front-1'].cfg.drain_s)
                self.assertTrue(all(_uses(bench, front, runner) for front in bench.fronts), number)
                bench.drain_runner(runner.key)
                await trio.sleep(bench.fronts['front-1'].cfg.drain_s)
                self.assertFalse([front for front in bench.fronts if _uses(bench, front, runner)], number)

    @in_virtual_time
    async def test_configurations(self) -> None:
        """Guards against versions that are late for the same reason."""
        await _check_versions(self, 'answers_log_reads')

    @in_virtual_time
    async def test_calls(self) -> None:
        """Guards against instances that all read whole lists, while one could send the others what changed."""
        async with open_bench(configuration(), fleet(), fronts=MANY_FRONTS) as bench:
            await trio.sleep(COUNTED_S)
            calm = await _count_calls(bench)
            bench.store.answers_log_reads = False
            # A poll has up to three calls. Each instance finds its first reads silent once; then one polls for all.
            self.assertLess(await _count_calls(bench), 3 * (calm + MANY_FRONTS * TOPICS))
            self.assertLess(await _count_calls(bench), 3 * calm)

    @in_virtual_time
    async def test_log_reads_again(self) -> None:
        """Guards against lists that go on once the log is read again."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            await trio.sleep(COUNTED_S)
            calm = await _count_calls(bench)
            bench.store.answers_log_reads = False
            await trio.sleep(COUNTED_S)
            bench.store.answers_log_reads = True
            await trio.sleep(COUNTED_S)
            self.assertLess(await _count_calls(bench), 1.1 * calm)


async def _check_versions(test: TestCase, answers: str) -> None:
    """Check that each version is in force in time without some answers of the store."""
    async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
        setattr(bench.store, answers, False)
        rng = Random(1)
        for version in range(2, 2 + LEAVINGS):
            await trio.sleep(rng.uniform(0, MAX_PAUSE_S))
            bench.publish(configuration(version=version))
            await trio.sleep(bench.fronts['front-1'].cfg.config_s)
            for front in bench.fronts.values():
                cfg = front.dispatcher.configuration
                test.assertEqual(cfg and cfg.version, version)


async def _count_calls(bench: PlatformBench) -> int:
    before = bench.store.call_count
    await trio.sleep(COUNTED_S)
    return bench.store.call_count - before


async def _late_s(seed: int, answers: str) -> float:
    """Return how long after the bound the slowest instance still knew a runner that had left, in seconds."""
    rng = Random(seed)
    async with open_bench(configuration(), fleet(), fronts=FRONTS) as bench:
        setattr(bench.store, answers, False)
        bound_s = bench.fronts['front-1'].cfg.drain_s
        latest_s: float = 0
        for number in range(10, 10 + LEAVINGS):
            runner = plain_runner(number)
            bench.add_runner(runner)
            await trio.sleep(bound_s + rng.uniform(0, MAX_PAUSE_S))
            latest_s = max(latest_s, await _known_for_s(bench, runner))
        return latest_s - bound_s


async def _known_for_s(bench: PlatformBench, runner: RunnerStandIn) -> float:
    """Return for how long a runner that leaves is used; the longest time if it is not known everywhere before."""
    if not all(_uses(bench, front, runner) for front in bench.fronts):
        return GIVE_UP_S
    left_at = trio.current_time()
    bench.drop_registration(runner.key)
    with trio.move_on_after(GIVE_UP_S):
        while any(_uses(bench, front, runner) for front in bench.fronts):
            await trio.sleep(CHECK_S)
    return trio.current_time() - left_at


def _uses(bench: PlatformBench, front: str, runner: RunnerStandIn) -> bool:
    member = bench.fronts[front].fleet.members.get(runner.key)
    return member is not None and member.presence.registered and not member.draining
