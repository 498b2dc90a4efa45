"""Store rollbacks: the store comes back from a copy that is some seconds old."""

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
# All instances read a quarantine record within this time.
READ_S = 20.0
KEY = 'k3yOfHarbor'
# Number of records written before the rollback, and lost by it.
BEFORE = 60
LOST = 7
SEEDS = range(1, 9)


def _with_key(version: int, *keys: str) -> dict[str, object]:
    return configuration(version, tenants=[account('harbor', *keys)])


async def _status(bed: PlatformBed, front: str, path: str = '/card/a') -> int:
    answer = await bed.caller(front).ask(asked(path, extra=(bearer(KEY),)))
    return answer.status


def _changed(log: list[KeyedRecord], since: int) -> set[str]:
    """Return the keys whose newest record has changed since an offset."""
    before = fold(log[:since])
    return {record.key for record in log[since:] if before.get(record.key, b'') != record.text}


def _quarantined(front: Front, content_id: str) -> bool:
    return front.dispatcher._quarantine.suspects.quarantined(content_id)  # noqa: SLF001


def _do_nothing(_: Watch) -> None:
    """Replace a safeguard."""


async def _wrong_after(seed: int) -> int:
    """Return how many of five instances are inconsistent after the log rolled back and grew past its old end."""
    simulation = TopicWorld(5, seed)
    async with trio.open_nursery() as nursery:
        simulation.start(nursery)
        for _ in range(BEFORE):
            simulation.write()
        await trio.sleep(2)
        simulation.store.go_back(LOST)
        for _ in range(2 * LOST):
            simulation.write()
        await trio.sleep(SETTLED_S)
        record_sets = [instance.believed for instance in simulation.entries.values()]
        nursery.cancel_scope.cancel()
    return sum(records != fold(simulation.store.log) for records in record_sets)


class TopicTest(TestCase):
    """The records of a topic that instances know after a rollback."""

    @virtual
    async def test_all_believe_the_new_history(self) -> None:
        """The log rolls back and grows past the old offset before any instance polls.

        No poll fails, and an instance that went on from its old offset would never see the
        records below it. It lists the topic again since the epoch has changed.
        """
        self.assertEqual([await _wrong_after(seed) for seed in SEEDS], [0 for _ in SEEDS])

    @virtual
    async def test_twin_that_heeds_no_era(self) -> None:
        """Without the epoch, instances go by offsets and keep records that the new history lacks."""
        with patch.object(Watch, '_note_era', _do_nothing):
            inconsistent = [await _wrong_after(seed) for seed in SEEDS]
        self.assertGreater(sum(inconsistent), 0)

    @virtual
    async def test_twice_in_a_row(self) -> None:
        """The store rolls back again before the first rollback is settled."""
        simulation = TopicWorld(5)
        async with trio.open_nursery() as nursery:
            simulation.start(nursery)
            for _ in range(BEFORE):
                simulation.write()
            await trio.sleep(2)
            for _ in range(2):
                simulation.store.go_back(LOST)
                simulation.write()
                await trio.sleep(1)
            await trio.sleep(SETTLED_S)
            record_sets = [instance.believed for instance in simulation.entries.values()]
            nursery.cancel_scope.cancel()
        self.assertEqual(record_sets, [fold(simulation.store.log) for _ in record_sets])

    @virtual
    async def test_refused_entry_goes_by_what_follows_a_gap(self) -> None:
        """The store refuses one instance, which also misses an update of its peers.

        Later updates leave a gap to its offset. Guards against ignoring them, which kept
        runners that had gone for as long as the store refused the instance.
        """
        for seed in SEEDS:
            simulation = TopicWorld(5, seed)
            async with trio.open_nursery() as nursery:
                simulation.start(nursery)
                simulation.write()
                await trio.sleep(3)
                simulation.store.refused.add('e0')
                simulation.deaf.add('e0')
                simulation.write()
                await trio.sleep(3)
                simulation.deaf.clear()
                reachable_from = len(simulation.store.log)
                for _ in range(BEFORE):
                    simulation.write()
                    await trio.sleep(0.05)
                await trio.sleep(3)
                records = simulation.entries['e0'].believed
                nursery.cancel_scope.cancel()
            newest = fold(simulation.store.log)
            changed = _changed(simulation.store.log, reachable_from)
            self.assertEqual({key: records.get(key) for key in changed}, {key: newest.get(key) for key in changed})


class BeliefsTest(TestCase):
    """What instances use for serving after a rollback, and what they write again."""

    @virtual
    async def test_configuration_never_older(self) -> None:
        """A key that was revoked in the lost seconds stays revoked, also at a new instance.

        The store shows the older configuration until the operator writes the newer one again.
        An instance that starts meanwhile gets the newer one from its peers.
        """
        async with running_bed(_with_key(1, KEY), [plain_runner(1)], fronts=2) as bench:
            await trio.sleep(LOST_S)
            bench.publish(_with_key(2, 'another'))
            await trio.sleep(1)
            bench.store.go_back(LOST_S)
            bench.add_front(3)
            await trio.sleep(SOON_S)
            statuses = [await _status(bench, name) for name in bench.fronts]
            await trio.sleep(SETTLED_S)
            statuses += [await _status(bench, name) for name in bench.fronts]
        self.assertEqual(statuses, [401 for _ in statuses])

    @virtual
    async def test_runners_of_the_lost_seconds(self) -> None:
        """A runner that joined stays in use and draining ones get no requests, although the copy lacks both changes."""
        async with running_bed(configuration(), [plain_runner(1), plain_runner(2)], fronts=2) as bench:
            await trio.sleep(LOST_S + 1)
            bench.add_runner(plain_runner(3))
            bench.drain_runner('i-web1')
            bench.drain_runner('i-web2')
            await trio.sleep(SOON_S)
            bench.store.go_back(LOST_S)
            before = len(bench.runners['i-web1'].runs) + len(bench.runners['i-web2'].runs)
            for _ in range(20):
                for name in bench.fronts:
                    self.assertEqual(await _status(bench, name), 200)
                await trio.sleep(0.1)
            # The runners renew their records, as real ones do.
            for runner in bench.runners.values():
                bench.store.put(RUNNER_TOPIC, runner.key, runner.record)
            await trio.sleep(SETTLED_S)
            self.assertEqual(await _status(bench, 'front-1'), 200)
            after = len(bench.runners['i-web1'].runs) + len(bench.runners['i-web2'].runs)
        self.assertEqual(after, before)

    @virtual
    async def test_twin_that_takes_the_copy(self) -> None:
        """If the copy is applied at once, a draining runner gets requests again."""
        with patch.object(Watch, '_settling', _do_nothing):
            async with running_bed(configuration(), [plain_runner(1), plain_runner(2)]) as bench:
                await trio.sleep(LOST_S + 1)
                bench.drain_runner('i-web1')
                await trio.sleep(SOON_S)
                bench.store.go_back(LOST_S)
                await trio.sleep(SOON_S)
                for _ in range(20):
                    await _status(bench, 'front-1')
                runs = len(bench.runners['i-web1'].runs)
        self.assertGreater(runs, 0)

    @virtual
    async def test_entry_registers_again(self) -> None:
        """An instance that registered in the lost seconds registers again within 3 s."""
        async with running_bed(configuration(), [plain_runner(1)]) as bench:
            await trio.sleep(LOST_S)
            bench.add_front(2)
            await trio.sleep(1)
            bench.store.go_back(LOST_S)
            registered_after = set(bench.store.newest_of(ENTRY_TOPIC))
            await trio.sleep(3)
            registered_later = set(bench.store.newest_of(ENTRY_TOPIC))
        self.assertEqual(registered_after, {'front-1'})
        self.assertEqual(registered_later, {'front-1', 'front-2'})

    @virtual
    async def test_quarantine_is_written_again(self) -> None:
        """Instances write lost quarantine records again, for instances that start later."""
        async with running_bed(configuration(), [plain_runner(1)], fronts=3) as bench:
            await trio.sleep(LOST_S)
            record = b'[["i-web9",0]]'
            bench.store.put_raw(QUARANTINE_TOPIC, 'c1', record)
            written = trio.current_time()
            # This topic may be polled up to some 15 s later, since instances announce quarantines directly.
            with trio.fail_after(READ_S):
                while not all(_quarantined(front, 'c1') for front in bench.fronts.values()):
                    await trio.sleep(0.1)
            bench.store.go_back(trio.current_time() - written + LOST_S / 2)
            keys_after = set(bench.store.newest_of(QUARANTINE_TOPIC))
            await trio.sleep(20)
            records_later = bench.store.newest_of(QUARANTINE_TOPIC)
        self.assertEqual(keys_after, set())
        self.assertEqual(records_later, {'c1': record})


class EraTest(TestCase):
    """Epochs in answers of the store."""

    def test_counts(self) -> None:
        """A missing epoch changes nothing; a malformed, huge or decreasing one counts as no answer."""
        era = StoreEra()
        self.assertEqual(era.take(()), 0)
        self.assertEqual(era.take(((STORE_ERA, b'4'),)), 4)
        self.assertEqual(era.take(()), 4)
        for text in (b'', b'x', b'-5', b'4.5', b'9' * 30, b'3'):
            with self.assertRaises(PlatformUnavailableError):
                era.take(((STORE_ERA, text),))
        self.assertEqual(era.take(((STORE_ERA, b'5'),)), 5)
        self.assertEqual(era.known, 5)
