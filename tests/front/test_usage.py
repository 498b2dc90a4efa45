"""Usage reports of accounts: complete, in time, and sent by one lease holder."""

from __future__ import annotations

from collections import Counter
from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.duty.reports import Reports
from sesamepoint_standins.platform.bed import DUTY, PlatformBed, running_bed
from sesamepoint_standins.platform.usage import BEGAN_S
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import account, asked, bearer, configuration, plain_runner
from tests.virtual import virtual

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sesamepoint_standins.platform.usage import Reported

ACCOUNTS = ('a0', 'a1', 'a2', 'a3')
TAKEN_S = 3.0
LATE_S = DUTY.late_s
ENTRIES = 4
FAULTS = 10
REQUESTS_A_SECOND = 6
# Seeds 1 to 12 were run by hand; CI runs these.
SEEDS = range(1, 4)


def _key(name: str) -> str:
    return f'k3yOf{name}'


def _configuration() -> dict[str, object]:
    return configuration(1, tenants=[account(name, _key(name)) for name in ACCOUNTS])


class Load:
    """Callers of all instances, and how many of their requests ran in each window."""

    def __init__(self, bed: PlatformBed, seed: int = 1) -> None:
        """Send some requests a second to ``bed``."""
        self.bed = bed
        self.truth: dict[int, Counter[str]] = {}
        self._rng = Random(seed)

    @asynccontextmanager
    async def under_way(self) -> AsyncIterator[None]:
        """Send requests until the end of the block."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run)
            yield
            nursery.cancel_scope.cancel()

    async def _run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.expovariate(REQUESTS_A_SECOND))
                nursery.start_soon(self._ask, self._rng.choice(ACCOUNTS), self._rng.choice(sorted(self.bed.fronts)))

    async def _ask(self, name: str, front: str) -> None:
        # A request begins to run some 4 ms later, which matters at the end of a window.
        began_s = BEGAN_S + trio.current_time() + 0.004
        answer = await self.bed.caller(front).ask(asked('/thumb/a', extra=(bearer(_key(name)),)))
        if answer.status == 200:
            self.truth.setdefault(int(began_s // DUTY.window_s), Counter())[name] += 1


def _holder(bed: PlatformBed) -> str:
    return next(name for name, front in bed.fronts.items() if _holds(front))


def _holds(front: object) -> bool:
    return bool(front._following._reporting._duty.held())  # type: ignore[attr-defined]  # noqa: SLF001


def _late(reports: list[Reported]) -> list[int]:
    return [report.window for report in reports if BEGAN_S + report.at > (report.window + 1) * DUTY.window_s + LATE_S]


class CalmTest(TestCase):
    """Reports without faults, apart from clocks that jump."""

    @virtual
    async def test_each_window_is_reported_whole(self) -> None:
        """One exact report a window, within 1 s of its end."""
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            load = Load(bench)
            async with load.under_way():
                await trio.sleep(31)
            reported = bench.usage.counts()
            self.assertGreaterEqual(len(reported), 5)
            self.assertEqual(len(bench.usage.came), len(reported))
            self.assertEqual(list(reported), list(range(min(reported), max(reported) + 1)))
            for window, counts in reported.items():
                self.assertEqual(counts, dict(load.truth.get(window, {})))
            self.assertEqual(
                [
                    report
                    for report in bench.usage.came
                    if BEGAN_S + report.at > (report.window + 1) * DUTY.window_s + 1
                ],
                [],
            )
            self.assertEqual(bench.usage.broken(DUTY.turns_s), [])

    @virtual
    async def test_time_of_day_jumps(self) -> None:
        """Counts stay in their windows when some clocks jump by seconds."""
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            load = Load(bench)
            async with load.under_way():
                await trio.sleep(11)
                for name in ('front-1', 'front-2'):
                    bench.clocks[name].off_s = 2
                await trio.sleep(10)
                for name in ('front-1', 'front-2'):
                    bench.clocks[name].off_s = 0
                await trio.sleep(10)
            for window, counts in bench.usage.counts().items():
                self.assertEqual(counts, dict(load.truth.get(window, {})))


class HolderTest(TestCase):
    """Lease holders that fail, stop or are refused, and a store that rolls back."""

    @virtual
    async def test_holder_is_killed(self) -> None:
        """Another instance reports the windows that the killed holder had not, in time."""
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            await trio.sleep(12)
            holder_before = _holder(bench)
            bench.kill_front(holder_before)
            bench.fronts.pop(holder_before)
            await trio.sleep(25)
            windows = [report.window for report in bench.usage.came]
            self.assertEqual(sorted(set(windows)), list(range(min(windows), max(windows) + 1)))
            self.assertEqual(len({report.holder for report in bench.usage.came}), 2)
            self.assertEqual(_late(bench.usage.came), [])
            self.assertEqual(bench.usage.broken(DUTY.turns_s), [])

    @virtual
    async def test_lost_entry_is_not_waited_for(self) -> None:
        """Reports do not wait for the counts of a failed instance, which stays listed for 45 s.

        Guards against waiting 6 s in each window: when the store was silent for as long as
        reports may take, one window was still undecided.
        """
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            await trio.sleep(11)
            failed = next(name for name, front in bench.fronts.items() if not _holds(front))
            bench.kill_front(failed)
            bench.fronts.pop(failed)
            await trio.sleep(10)
            count_before = len(bench.usage.came)
            await trio.sleep(11)
            prompt_reports = [
                report
                for report in bench.usage.came[count_before:]
                if BEGAN_S + report.at < (report.window + 1) * DUTY.window_s + 1
            ]
            self.assertEqual(len(prompt_reports), 2)

    @virtual
    async def test_holder_is_stopped(self) -> None:
        """A stopped holder releases the lease: the next one takes over before it expires, and no window is lost."""
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            await trio.sleep(12)
            holder_before = _holder(bench)
            stopped_at = trio.current_time()
            await bench.fronts[holder_before].wind_down()
            bench.kill_front(holder_before)
            bench.fronts.pop(holder_before)
            while not any(_holds(front) for front in bench.fronts.values()):
                await trio.sleep(0.05)
            # The instance still serves callers for 3.2 s after the signal.
            self.assertLess(trio.current_time() - stopped_at, 6)
            await trio.sleep(15)
            windows = sorted({report.window for report in bench.usage.came})
            self.assertEqual(windows, list(range(min(windows), max(windows) + 1)))
            self.assertEqual(bench.usage.broken(DUTY.turns_s), [])

    @virtual
    async def test_answers_are_slow(self) -> None:
        """A report without an answer is sent again byte for byte."""
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            async with Load(bench).under_way():
                await trio.sleep(10)
                bench.usage.slow_s = 3
                await trio.sleep(8)
                bench.usage.slow_s = 0
                await trio.sleep(10)
            self.assertGreater(len(bench.usage.came), len(bench.usage.counts()))
            self.assertEqual(bench.usage.broken(DUTY.turns_s), [])
            self.assertEqual(_late(bench.usage.came), [])

    @virtual
    async def test_store_refuses_the_holder(self) -> None:
        """The refused holder stops before another one starts, and does not take over again right after."""
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            await trio.sleep(12)
            settings_before = bench.fronts[_holder(bench)].cfg
            bench.store.refused.add(settings_before.host)
            await trio.sleep(12)
            holder_after = _holder(bench)
            bench.store.refused.clear()
            await trio.sleep(10)
            self.assertNotEqual(settings_before.name, holder_after)
            self.assertEqual(bench.usage.broken(DUTY.turns_s), [])
            self.assertEqual(_late(bench.usage.came), [])

    @virtual
    async def test_store_went_back(self) -> None:
        """A rollback loses the record of a report just as the holder is killed.

        The next holder does not know that report. It must skip all windows that have ended
        rather than report one of them again with other counts.
        """
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            async with Load(bench).under_way():
                while not bench.usage.came or trio.current_time() < 12:
                    await trio.sleep(0.05)
                holder_before = _holder(bench)
                bench.store.go_back(4)
                bench.kill_front(holder_before)
                bench.fronts.pop(holder_before)
                await trio.sleep(30)
            self.assertEqual(bench.usage.broken(DUTY.turns_s), [])
            self.assertEqual(len({report.holder for report in bench.usage.came}), 2)

    @virtual
    async def test_holder_goes_on_after_store_went_back(self) -> None:
        """A holder that keeps the lease through a rollback knows its decisions, and misses no window."""
        async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
            await trio.sleep(12)
            bench.store.go_back(4)
            await trio.sleep(25)
            windows = sorted({report.window for report in bench.usage.came})
            self.assertEqual(windows, list(range(min(windows), max(windows) + 1)))
            self.assertEqual(bench.usage.broken(DUTY.turns_s), [])
            self.assertEqual(_late(bench.usage.came), [])


class RandomTest(TestCase):
    """Random faults, with checks where reports arrive."""

    def test_random_faults(self) -> None:
        """Kills, cuts, refusals, rollbacks and slow answers break no rule for reports."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(_faulty_minutes, seed, seed=seed), [])

    def test_twin_that_decides_anew(self) -> None:
        """Without the decisions of the previous holder, a window is reported with other counts."""
        with patch.object(Reports, 'begin', _begin_anew):
            violations = [run_virtual(_faulty_minutes, seed, seed=seed) for seed in SEEDS]
        self.assertTrue(any(violations))


def _begin_anew(reports: Reports, found: object, era: int, wall_s: float, *, unbroken: bool) -> None:
    reports.done()
    reports._next = int((wall_s - LATE_S) // DUTY.window_s)  # noqa: SLF001


async def _faulty_minutes(seed: int) -> list[str]:
    """Cause a fault every few seconds and return the violations."""
    rng = Random(seed)
    async with running_bed(_configuration(), [plain_runner(1)], ENTRIES, DUTY) as bench:
        async with Load(bench, seed).under_way():
            await trio.sleep(8)
            for number in range(FAULTS):
                await rng.choice((_kill, _cut, _refuse, _go_back, _slow, _stop_store))(bench, rng, number)
                await trio.sleep(rng.uniform(0.5, 6))
        return bench.usage.broken(DUTY.turns_s)


async def _kill(bed: PlatformBed, rng: Random, number: int) -> None:
    holders = [name for name, front in bed.fronts.items() if _holds(front)]
    name = rng.choice(holders or sorted(bed.fronts))
    bed.kill_front(name)
    bed.fronts.pop(name)
    await trio.sleep(rng.uniform(0, 1))
    bed.add_front(10 + number)


async def _cut(bed: PlatformBed, rng: Random, _: int) -> None:
    host = rng.choice(sorted(front.cfg.host for front in bed.fronts.values()))
    cut = [
        frozenset((host, peer_host))
        for peer_host in ('10.9.0.1', '10.9.0.2', *(front.cfg.host for front in bed.fronts.values()))
    ]
    bed.network.cut.update(rng.sample(cut, 3))
    await trio.sleep(rng.uniform(1, 6))
    bed.network.cut.clear()


async def _refuse(bed: PlatformBed, rng: Random, _: int) -> None:
    holders = [front for front in bed.fronts.values() if _holds(front)]
    bed.store.refused = {front.cfg.host for front in holders or list(bed.fronts.values())[:2]}
    await trio.sleep(rng.uniform(1, 9))
    bed.store.refused = set()


async def _go_back(bed: PlatformBed, rng: Random, _: int) -> None:
    bed.store.go_back(rng.uniform(0.2, 6))
    await trio.lowlevel.checkpoint()


async def _slow(bed: PlatformBed, rng: Random, _: int) -> None:
    bed.usage.slow_s = rng.uniform(0, 4)
    bed.store.slow_s = rng.choice((0, 0.2, 0.9))
    await trio.sleep(rng.uniform(1, 6))
    bed.usage.slow_s = 0
    bed.store.slow_s = 0


async def _stop_store(bed: PlatformBed, rng: Random, _: int) -> None:
    bed.store.down = True
    await trio.sleep(rng.uniform(1, 6))
    bed.store.down = False
