"""Polling turns: one instance at a time polls the store for all."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import msgspec
import trio

from sesamepoint.front.news import News
from sesamepoint.front.reading_turns import CHECK_S, MARGIN_S, ReadingTurns
from sesamepoint.platform.names import RUNNER_TOPIC
from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import asked, configuration, engine, fleet, plain_runner
from tests.front.topic_world import ANSWER_S, PACING, TopicWorld
from tests.virtual import virtual

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# With a store that answers, every instance knows a record within this time: the silence of
# all peers, one call, and a datagram on its way.
BOUND_S = PACING.wait_s + PACING.rest_s + MARGIN_S + PACING.spread_s + 2 * ANSWER_S + 0.06
# Pause between two records on the topic.
HEARTBEAT_S = 0.02
SEEDS = range(1, 5)
LOSSES = (0, 0.1, 0.5)
DELAYS_S = (0.002, 0.1, 3.0)
ENTRIES = 68


@asynccontextmanager
async def running(world: TopicWorld) -> AsyncIterator[TopicWorld]:
    """Run the instances of ``world`` and a writer of records until the end of the block."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_write, world)
        world.start(nursery)
        await trio.sleep(2)
        yield world
        nursery.cancel_scope.cancel()


async def _write(world: TopicWorld) -> None:
    while True:
        world.write()
        await trio.sleep(HEARTBEAT_S)


def all_know(world: TopicWorld, offset: int) -> bool:
    """Return whether all instances know the topic up to ``offset``."""
    return all((instance.end or 0) >= offset for instance in world.entries.values())


class CallsTest(TestCase):
    """The number of store calls does not grow with the number of instances."""

    @virtual
    async def test_calls_of_many_as_of_few(self) -> None:
        """5 and 68 instances make about as many calls; 68 that poll each for itself made over 100 a second."""
        calls_per_s = []
        for count in (5, ENTRIES):
            async with running(TopicWorld(count)) as simulation:
                before = simulation.store.calls
                await trio.sleep(10)
                calls_per_s.append((simulation.store.calls - before) / 10)
                self.assertEqual(simulation.wrong(), [])
        self.assertLess(calls_per_s[0], 4)
        self.assertLess(calls_per_s[1], 6)

    @virtual
    async def test_one_reader_tells(self) -> None:
        """An instance that checks the store itself once a minute does not become the poller.

        Guards against broadcasting the results of these checks: each cost 67 datagrams
        with 68 instances, and two or three instances polled at the same time.
        """
        async with running(TopicWorld(ENTRIES)) as simulation:
            before = simulation.told
            await trio.sleep(2 * CHECK_S)
            polls_per_s = (simulation.told - before) / (ENTRIES - 1) / (2 * CHECK_S)
            self.assertLess(polls_per_s, 1.1 / (PACING.rest_s + ANSWER_S))

    @virtual
    async def test_reader_changes(self) -> None:
        """Polling turns rotate: at least four of ten instances have one within five minutes."""
        async with running(TopicWorld(10)) as simulation:
            pollers = set()
            for _ in range(300):
                await trio.sleep(1)
                pollers |= {
                    instance.name for instance in simulation.entries.values() if instance.watch.turns.reads_for_all
                }
            self.assertGreater(len(pollers), 3)

    @virtual
    async def test_fronts(self) -> None:
        """Five fronts make no more calls than two did that polled each for itself."""
        async with running_bed(configuration(), fleet(), fronts=5) as bench:
            await trio.sleep(3)
            before = bench.store.calls
            await trio.sleep(10)
            self.assertLess(bench.store.calls - before, 50)


class FailureTest(TestCase):
    """Failed pollers, unreachable instances, and a store that refuses some instances."""

    @virtual
    async def test_reader_dies(self) -> None:
        """The poller is killed during its turn.

        Updates stop, and an instance that has received none for a while takes over
        the polling before callers are affected.
        """
        async with running(TopicWorld(ENTRIES)) as simulation:
            for _ in range(5):
                poller = next(
                    instance.name for instance in simulation.entries.values() if instance.watch.turns.reads_for_all
                )
                simulation.kill(poller)
                offset = len(simulation.store.log)
                await trio.sleep(BOUND_S)
                self.assertTrue(all_know(simulation, offset))

    @virtual
    async def test_entry_hears_nothing(self) -> None:
        """An instance that receives no datagrams polls for itself, and stays within the bound."""
        async with running(TopicWorld(ENTRIES)) as simulation:
            simulation.deaf.add('e3')
            for _ in range(20):
                offset = len(simulation.store.log)
                await trio.sleep(BOUND_S)
                self.assertTrue(all_know(simulation, offset))

    @virtual
    async def test_store_refuses_one(self) -> None:
        """The store refuses one instance, which stays within the bound through updates of its peers."""
        async with running(TopicWorld(ENTRIES)) as simulation:
            simulation.store.refused.add('e5')
            await trio.sleep(2)
            for _ in range(20):
                offset = len(simulation.store.log)
                await trio.sleep(BOUND_S)
                self.assertTrue(all_know(simulation, offset))

    @virtual
    async def test_too_much_for_a_datagram(self) -> None:
        """Forty engines register at once: the update does not fit a datagram, so all instances poll within 1 s."""
        async with running_bed(configuration(), fleet(), fronts=3) as bench:
            await trio.sleep(5)
            for number in range(10, 50):
                bench.add_runner(engine(number, 'decode'))
            await trio.sleep(1)
            sizes = {len(front.fleet.members) for front in bench.fronts.values()}
            self.assertEqual(sizes, {45})

    @virtual
    async def test_drain_store_refuses_one_front(self) -> None:
        """A front that the store refuses learns from its peer that a runner is draining."""
        async with running_bed(configuration(), [plain_runner(1), plain_runner(2)], fronts=2) as bench:
            await trio.sleep(3)
            bench.network.cut.add(frozenset(('10.9.0.1', '10.1.0.1')))
            await trio.sleep(5)
            bench.drain_runner('i-web1')
            await trio.sleep(2)
            runs = len(bench.runners['i-web1'].runs)
            for _ in range(10):
                self.assertEqual((await bench.caller('front-1').ask(asked('/card/a'))).status, 200)
            self.assertEqual(len(bench.runners['i-web1'].runs), runs)


class FalseNewsTest(TestCase):
    """Updates that no instance has sent."""

    @virtual
    async def test_stranger_passed_over(self) -> None:
        """Updates of a sender that is no registered instance are ignored."""
        async with running_bed(configuration(), fleet(), fronts=2) as bench:
            await trio.sleep(3)
            front = bench.fronts['front-1']
            forged = News('stranger', RUNNER_TOPIC, 0, 10_000, ())
            front.peers.on_word[News] = self.fail
            front.peers.take(_encoded(forged))

    @virtual
    async def test_false_offset_lasts_a_minute(self) -> None:
        """A forged update in the name of an instance claims an offset beyond the end of the log.

        The log up to there then counts as known, and changes of runners are missed. Each
        instance checks the store itself every minute, finds that its log ends before that
        offset, and lists the whole topic.
        """
        async with running_bed(configuration(), fleet(), fronts=2) as bench:
            await trio.sleep(3)
            front = bench.fronts['front-1']
            front.peers.take(_encoded(News('front-2', RUNNER_TOPIC, 0, 10_000, ())))
            bench.add_runner(engine(9, 'decode'))
            await trio.sleep(CHECK_S + 2)
            self.assertIn('i-llm9', front.fleet.members)


class RandomTest(TestCase):
    """Random loss, delay, reordering, duplicates, refusals and kills, by seed."""

    def test_random_faults(self) -> None:
        """The records of an instance always match the log up to its offset, and the whole log once faults end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(_faulty_minute, seed), [])

    def test_twin_takes_what_does_not_follow(self) -> None:
        """An instance that applies updates across a gap keeps outdated records, and the checks find it."""
        with patch.object(ReadingTurns, 'told', _told_over_gaps):
            violations = [run_virtual(_faulty_minute, seed) for seed in SEEDS]
        self.assertTrue(any(violations))


async def _faulty_minute(seed: int) -> list[str]:
    simulation = TopicWorld(12, seed)
    rng = simulation.rng
    violations: list[str] = []
    async with running(simulation):
        for _ in range(60):
            simulation.loss = rng.choice(LOSSES)
            simulation.longest_s = rng.choice(DELAYS_S)
            simulation.store.refused = set(rng.sample(sorted(simulation.entries), 1))
            simulation.deaf = set(rng.sample(sorted(simulation.entries), 1))
            if not rng.randrange(20):
                simulation.kill(rng.choice(sorted(simulation.entries)))
            await trio.sleep(rng.uniform(0.2, 1.5))
            violations += simulation.wrong()
        simulation.loss = 0
        simulation.longest_s = 0.002
        simulation.store.refused = set()
        simulation.deaf = set()
        # Lets the last refused call be repeated.
        await trio.sleep(1)
        offset = len(simulation.store.log)
        await trio.sleep(BOUND_S)
        violations += [] if all_know(simulation, offset) else ['late']
        violations += simulation.wrong()
    return violations


def _told_over_gaps(turns: ReadingTurns, _: str, start: int, end: int, now: float) -> bool:
    if turns.end is None or end < max(turns.end, start):
        return False
    turns.end = end
    turns.due = now + 1
    return True


def _encoded(news: News) -> bytes:
    return msgspec.msgpack.encode(news)
