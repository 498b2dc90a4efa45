"""A store that comes back from a copy that is some seconds old."""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.front.watch import SETTLE_S, SETTLE_SPREAD_S, Watch
from sesamepoint.platform.names import ENTRY_TOPIC, QUARANTINE_TOPIC, RUNNER_TOPIC, STORE_ERA
from sesamepoint.platform.store import KeyedRecord
from sesamepoint.platform.store_era import StoreEra
from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import account, asked, bearer, configuration, plain_runner
from tests.front.topic_world import TopicWorld, fold
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint.front.front import Front

SETTLED_S = SETTLE_S + SETTLE_SPREAD_S + 1
LOST_S = 2.0
SOON_S = 1.2
# Records of quarantined requests are read by all within this time.
READ_S = 20.0
KEY = 'k3yOfHarbor'
# What a session of runs writes before and after it went back.
BEFORE = 60
LOST = 7
SEEDS = range(1, 9)


def _with_key(version: int, *keys: str) -> dict[str, object]:
    return configuration(version, tenants=[account('harbor', *keys)])


async def _status(bed: PlatformBed, front: str, path: str = '/card/a') -> int:
    seen = await bed.caller(front).ask(asked(path, extra=(bearer(KEY),)))
    return seen.status


def _changed(log: list[KeyedRecord], since: int) -> set[str]:
    """Return the keys whose records say something else since an offset."""
    before = fold(log[:since])
    return {record.key for record in log[since:] if before.get(record.key, b'') != record.text}


def _quarantined(front: Front, content_id: str) -> bool:
    return front.dispatcher._quarantine.suspects.quarantined(content_id)  # noqa: SLF001


def _do_nothing(_: Watch) -> None:
    """Stand in for a safeguard."""


async def _wrong_after(seed: int) -> int:
    """Return how many of five entries are wrong after the log went back and grew past its old end."""
    world = TopicWorld(5, seed)
    async with trio.open_nursery() as nursery:
        world.start(nursery)
        for _ in range(BEFORE):
            world.write()
        await trio.sleep(2)
        world.store.go_back(LOST)
        for _ in range(2 * LOST):
            world.write()
        await trio.sleep(SETTLED_S)
        beliefs = [entry.believed for entry in world.entries.values()]
        nursery.cancel_scope.cancel()
    return sum(believed != fold(world.store.log) for believed in beliefs)


class TopicTest(TestCase):
    """What entries believe of a topic."""

    @virtual
    async def test_all_believe_the_new_history(self) -> None:
        """The log goes back and grows past the old offset before anybody has looked.

        No read fails: an entry that went on from its old offset would never see
        the records below it. It reads anew since the era has changed.
        """
        self.assertEqual([await _wrong_after(seed) for seed in SEEDS], [0 for _ in SEEDS])

    @virtual
    async def test_twin_that_heeds_no_era(self) -> None:
        """Going by offsets alone, entries believe what never was, for good."""
        with patch.object(Watch, '_note_era', _do_nothing):
            wrong = [await _wrong_after(seed) for seed in SEEDS]
        self.assertGreater(sum(wrong), 0)

    @virtual
    async def test_twice_in_a_row(self) -> None:
        """It goes back again before all is settled."""
        world = TopicWorld(5)
        async with trio.open_nursery() as nursery:
            world.start(nursery)
            for _ in range(BEFORE):
                world.write()
            await trio.sleep(2)
            for _ in range(2):
                world.store.go_back(LOST)
                world.write()
                await trio.sleep(1)
            await trio.sleep(SETTLED_S)
            beliefs = [entry.believed for entry in world.entries.values()]
            nursery.cancel_scope.cancel()
        self.assertEqual(beliefs, [fold(world.store.log) for _ in beliefs])

    @virtual
    async def test_refused_entry_goes_by_what_follows_a_gap(self) -> None:
        """The store refuses one entry, and it misses one word of its peers.

        Each word after that doesn't follow on what it knows. Passed over, they
        left it with runners that had gone for as long as the store refused it.
        """
        for seed in SEEDS:
            world = TopicWorld(5, seed)
            async with trio.open_nursery() as nursery:
                world.start(nursery)
                world.write()
                await trio.sleep(3)
                world.store.refused.add('e0')
                world.deaf.add('e0')
                world.write()
                await trio.sleep(3)
                world.deaf.clear()
                heard_from = len(world.store.log)
                for _ in range(BEFORE):
                    world.write()
                    await trio.sleep(0.05)
                await trio.sleep(3)
                believed = world.entries['e0'].believed
                nursery.cancel_scope.cancel()
            newest = fold(world.store.log)
            changed = _changed(world.store.log, heard_from)
            self.assertEqual({key: believed.get(key) for key in changed}, {key: newest.get(key) for key in changed})


class BeliefsTest(TestCase):
    """What an instance serves by, and what it writes again."""

    @virtual
    async def test_configuration_never_older(self) -> None:
        """A key that was taken in the lost seconds stays taken; a newcomer learns it from the others.

        The store shows the older list until the operator writes the newer one
        again, and an instance that starts meanwhile knows no other.
        """
        async with running_bed(_with_key(1, KEY), [plain_runner(1)], fronts=2) as bed:
            await trio.sleep(LOST_S)
            bed.publish(_with_key(2, 'another'))
            await trio.sleep(1)
            bed.store.go_back(LOST_S)
            bed.add_front(3)
            await trio.sleep(SOON_S)
            statuses = [await _status(bed, name) for name in bed.fronts]
            await trio.sleep(SETTLED_S)
            statuses += [await _status(bed, name) for name in bed.fronts]
        self.assertEqual(statuses, [401 for _ in statuses])

    @virtual
    async def test_runners_of_the_lost_seconds(self) -> None:
        """One that came stays in use, and one that leaves gets nothing, whatever the copy shows."""
        async with running_bed(configuration(), [plain_runner(1), plain_runner(2)], fronts=2) as bed:
            await trio.sleep(LOST_S + 1)
            bed.add_runner(plain_runner(3))
            bed.drain_runner('i-web1')
            bed.drain_runner('i-web2')
            await trio.sleep(SOON_S)
            bed.store.go_back(LOST_S)
            before = len(bed.runners['i-web1'].runs) + len(bed.runners['i-web2'].runs)
            for _ in range(20):
                for name in bed.fronts:
                    self.assertEqual(await _status(bed, name), 200)
                await trio.sleep(0.1)
            # The runners write again, as all do.
            for runner in bed.runners.values():
                bed.store.put(RUNNER_TOPIC, runner.key, runner.record)
            await trio.sleep(SETTLED_S)
            self.assertEqual(await _status(bed, 'front-1'), 200)
            after = len(bed.runners['i-web1'].runs) + len(bed.runners['i-web2'].runs)
        self.assertEqual(after, before)

    @virtual
    async def test_twin_that_takes_the_copy(self) -> None:
        """Taken at once, the copy brings back a runner that leaves."""
        with patch.object(Watch, '_settling', _do_nothing):
            async with running_bed(configuration(), [plain_runner(1), plain_runner(2)]) as bed:
                await trio.sleep(LOST_S + 1)
                bed.drain_runner('i-web1')
                await trio.sleep(SOON_S)
                bed.store.go_back(LOST_S)
                await trio.sleep(SOON_S)
                for _ in range(20):
                    await _status(bed, 'front-1')
                runs = len(bed.runners['i-web1'].runs)
        self.assertGreater(runs, 0)

    @virtual
    async def test_entry_registers_again(self) -> None:
        """An entry that registered in the lost seconds is on the list again soon."""
        async with running_bed(configuration(), [plain_runner(1)]) as bed:
            await trio.sleep(LOST_S)
            bed.add_front(2)
            await trio.sleep(1)
            bed.store.go_back(LOST_S)
            gone = set(bed.store.newest_of(ENTRY_TOPIC))
            await trio.sleep(3)
            back = set(bed.store.newest_of(ENTRY_TOPIC))
        self.assertEqual(gone, {'front-1'})
        self.assertEqual(back, {'front-1', 'front-2'})

    @virtual
    async def test_quarantine_is_written_again(self) -> None:
        """What all know of harmful requests is kept for those that start later."""
        async with running_bed(configuration(), [plain_runner(1)], fronts=3) as bed:
            await trio.sleep(LOST_S)
            record = b'[["i-web9",0]]'
            bed.store.put_raw(QUARANTINE_TOPIC, 'c1', record)
            written = trio.current_time()
            # Records of this topic may be read some 15 s later: entries tell each other at once.
            with trio.fail_after(READ_S):
                while not all(_quarantined(front, 'c1') for front in bed.fronts.values()):
                    await trio.sleep(0.1)
            bed.store.go_back(trio.current_time() - written + LOST_S / 2)
            gone = set(bed.store.newest_of(QUARANTINE_TOPIC))
            await trio.sleep(20)
            back = bed.store.newest_of(QUARANTINE_TOPIC)
        self.assertEqual(gone, set())
        self.assertEqual(back, {'c1': record})


class EraTest(TestCase):
    """What is taken for an era."""

    def test_counts(self) -> None:
        """No count says nothing; unreadable, huge and fallen ones are no answers."""
        era = StoreEra()
        self.assertEqual(era.take(()), 0)
        self.assertEqual(era.take(((STORE_ERA, b'4'),)), 4)
        self.assertEqual(era.take(()), 4)
        for text in (b'', b'x', b'-5', b'4.5', b'9' * 30, b'3'):
            with self.assertRaises(PlatformUnavailableError):
                era.take(((STORE_ERA, text),))
        self.assertEqual(era.take(((STORE_ERA, b'5'),)), 5)
        self.assertEqual(era.known, 5)
