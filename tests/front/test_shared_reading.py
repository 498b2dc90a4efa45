"""One entry reads the store for all, by turns."""

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

# Nothing of a topic is unknown for longer anywhere, with a store that answers:
# all others' silence, a call, and a word on its way.
BOUND_S = PACING.wait_s + PACING.rest_s + MARGIN_S + PACING.spread_s + 2 * ANSWER_S + 0.06
# Runners renew their records so often.
HEARTBEAT_S = 0.02
SEEDS = range(1, 5)
LOSSES = (0, 0.1, 0.5)
DELAYS_S = (0.002, 0.1, 3.0)
ENTRIES = 68


@asynccontextmanager
async def running(world: TopicWorld) -> AsyncIterator[TopicWorld]:
    """Run the entries of ``world``, and writers, until the end of the block."""
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
    """Tell whether all entries know the topic up to ``offset``."""
    return all((entry.end or 0) >= offset for entry in world.entries.values())


class CallsTest(TestCase):
    """What reading costs does not grow with the number of entries."""

    @virtual
    async def test_calls_of_many_as_of_few(self) -> None:
        """68 entries that read for themselves made over 100 calls a second; now 5 and 68 make about as many."""
        calls = []
        for count in (5, ENTRIES):
            async with running(TopicWorld(count)) as world:
                before = world.store.calls
                await trio.sleep(10)
                calls.append((world.store.calls - before) / 10)
                self.assertEqual(world.wrong(), [])
        self.assertLess(calls[0], 4)
        self.assertLess(calls[1], 6)

    @virtual
    async def test_one_reader_tells(self) -> None:
        """The looks that each of 68 entries takes once a minute make no readers of them.

        Told of by all that looked, each of these readings cost 67 datagrams,
        and two or three entries read at the same time.
        """
        async with running(TopicWorld(ENTRIES)) as world:
            before = world.told
            await trio.sleep(2 * CHECK_S)
            readings = (world.told - before) / (ENTRIES - 1) / (2 * CHECK_S)
            self.assertLess(readings, 1.1 / (PACING.rest_s + ANSWER_S))

    @virtual
    async def test_reader_changes(self) -> None:
        """No entry reads for the others for ever: in five minutes four of ten or more have had a turn."""
        async with running(TopicWorld(10)) as world:
            readers = set()
            for _ in range(300):
                await trio.sleep(1)
                readers |= {entry.name for entry in world.entries.values() if entry.watch.turns.reads_for_all}
            self.assertGreater(len(readers), 3)

    @virtual
    async def test_fronts(self) -> None:
        """Five fronts that know all make no more calls than two that read for themselves made."""
        async with running_bed(configuration(), fleet(), fronts=5) as bed:
            await trio.sleep(3)
            before = bed.store.calls
            await trio.sleep(10)
            self.assertLess(bed.store.calls - before, 50)


class FailureTest(TestCase):
    """Readers that die, entries that hear nothing, a store that refuses some."""

    @virtual
    async def test_reader_dies(self) -> None:
        """The reader is killed in the middle of its turn.

        Nobody tells the others any more. Whoever has heard nothing for a
        while reads in its place, before callers notice.
        """
        async with running(TopicWorld(ENTRIES)) as world:
            for _ in range(5):
                reader = next(entry.name for entry in world.entries.values() if entry.watch.turns.reads_for_all)
                world.kill(reader)
                offset = len(world.store.log)
                await trio.sleep(BOUND_S)
                self.assertTrue(all_know(world, offset))

    @virtual
    async def test_entry_hears_nothing(self) -> None:
        """No word reaches one entry; it reads for itself, and is no later than the bound."""
        async with running(TopicWorld(ENTRIES)) as world:
            world.deaf.add('e3')
            for _ in range(20):
                offset = len(world.store.log)
                await trio.sleep(BOUND_S)
                self.assertTrue(all_know(world, offset))

    @virtual
    async def test_store_refuses_one(self) -> None:
        """The store answers all but one entry, which then lives by what the others tell."""
        async with running(TopicWorld(ENTRIES)) as world:
            world.store.refused.add('e5')
            await trio.sleep(2)
            for _ in range(20):
                offset = len(world.store.log)
                await trio.sleep(BOUND_S)
                self.assertTrue(all_know(world, offset))

    @virtual
    async def test_too_much_for_a_datagram(self) -> None:
        """Forty engines register at once; no datagram holds that, so all read it, and soon."""
        async with running_bed(configuration(), fleet(), fronts=3) as bed:
            await trio.sleep(5)
            for number in range(10, 50):
                bed.add_runner(engine(number, 'decode'))
            await trio.sleep(1)
            sizes = {len(front.fleet.members) for front in bed.fronts.values()}
            self.assertEqual(sizes, {45})

    @virtual
    async def test_drain_store_refuses_one_front(self) -> None:
        """A front that the store refuses learns from another one that a runner leaves."""
        async with running_bed(configuration(), [plain_runner(1), plain_runner(2)], fronts=2) as bed:
            await trio.sleep(3)
            bed.network.cut.add(frozenset(('10.9.0.1', '10.1.0.1')))
            await trio.sleep(5)
            bed.drain_runner('i-web1')
            await trio.sleep(2)
            runs = len(bed.runners['i-web1'].runs)
            for _ in range(10):
                self.assertEqual((await bed.caller('front-1').ask(asked('/card/a'))).status, 200)
            self.assertEqual(len(bed.runners['i-web1'].runs), runs)


class FalseNewsTest(TestCase):
    """News that nobody of ours has read."""

    @virtual
    async def test_stranger_passed_over(self) -> None:
        """Who is not registered as an entry is not believed."""
        async with running_bed(configuration(), fleet(), fronts=2) as bed:
            await trio.sleep(3)
            front = bed.fronts['front-1']
            forged = News('stranger', RUNNER_TOPIC, 0, 10_000, ())
            front.peers.on_word[News] = self.fail
            front.peers.take(_encoded(forged))

    @virtual
    async def test_false_offset_lasts_a_minute(self) -> None:
        """A word in an entry's name tells of an offset that there never was.

        All of the log until there seems known, and runners that leave or
        come are not seen. Each entry looks into the store itself every
        minute, finds that its log ends before, and reads it whole.
        """
        async with running_bed(configuration(), fleet(), fronts=2) as bed:
            await trio.sleep(3)
            front = bed.fronts['front-1']
            front.peers.take(_encoded(News('front-2', RUNNER_TOPIC, 0, 10_000, ())))
            bed.add_runner(engine(9, 'decode'))
            await trio.sleep(CHECK_S + 2)
            self.assertIn('i-llm9', front.fleet.members)


class RandomTest(TestCase):
    """Loss, delay, reordering, duplicates, refusals and kills, by seed."""

    def test_random_faults(self) -> None:
        """At every moment an entry believes just what the log says up to its offset; after a calm it knows all."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(_faulty_minute, seed), [])

    def test_twin_takes_what_does_not_follow(self) -> None:
        """An entry that takes word over a gap believes what is no longer so: the oracle sees it."""
        with patch.object(ReadingTurns, 'told', _told_over_gaps):
            found = [run_virtual(_faulty_minute, seed) for seed in SEEDS]
        self.assertTrue(any(found))


async def _faulty_minute(seed: int) -> list[str]:
    world = TopicWorld(12, seed)
    rng = world.rng
    found: list[str] = []
    async with running(world):
        for _ in range(60):
            world.loss = rng.choice(LOSSES)
            world.longest_s = rng.choice(DELAYS_S)
            world.store.refused = set(rng.sample(sorted(world.entries), 1))
            world.deaf = set(rng.sample(sorted(world.entries), 1))
            if not rng.randrange(20):
                world.kill(rng.choice(sorted(world.entries)))
            await trio.sleep(rng.uniform(0.2, 1.5))
            found += world.wrong()
        world.loss = 0
        world.longest_s = 0.002
        world.store.refused = set()
        world.deaf = set()
        # Until the last refused call has been repeated.
        await trio.sleep(1)
        offset = len(world.store.log)
        await trio.sleep(BOUND_S)
        found += [] if all_know(world, offset) else ['late']
        found += world.wrong()
    return found


def _told_over_gaps(turns: ReadingTurns, _: str, start: int, end: int, now: float) -> bool:
    if turns.end is None or end < max(turns.end, start):
        return False
    turns.end = end
    turns.due = now + 1
    return True


def _encoded(news: News) -> bytes:
    return msgspec.msgpack.encode(news)
