"""The duty to report usage while all instances are stopped and started in turn.

The platform saw reports of A, B and A within the lease time: A gave the duty back just after a report, B took it, sent
that report again and gave it back since it was stopping too, and A's next process, which did not know what the one
before it had done, took it at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.duty.lease import Holder, Lease, LeaseRecord, LeaseTimes
from sesamepoint_core.duty.report_schedule import ReportSchedule
from sesamepoint.front.accounts.duty_log import AppendOutcome, DutyLog
from sesamepoint.platform.store import AppendResult
from sesamepoint_standins.platform.bench import DUTY_SETTINGS, open_bench
from sesamepoint_standins.platform.usage import START_TIME_OF_DAY_S, VirtualClock
from tests.front.builders import configuration, plain_runner
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.front.front import Front
    from sesamepoint_standins.platform.bench import PlatformBench

FRONTS = 3
ROLLS = 4
# Pause between two stops, and the delay after which a process that has ended is started, in seconds.
GAP_S = 1.0
RESTART_S = 0.3
CALM_S = 8.0


def is_holder(front: Front) -> bool:
    """Tell whether an instance holds the duty."""
    return bool(front._store_sync._reporting._report_duty.held())  # type: ignore[union-attr]  # noqa: SLF001


async def wait_for_report(bench: PlatformBench, after_s: float) -> list[str]:
    """Wait until some seconds after the next report; return all instances, the one that reported first."""
    count = len(bench.usage.reports)
    while len(bench.usage.reports) == count:
        await trio.sleep(0.05)
    await trio.sleep(after_s)
    return sorted(bench.fronts, key=lambda name: name != bench.usage.reports[-1].holder)


async def stop_and_start(bench: PlatformBench, name: str) -> None:
    """Stop an instance as the platform does, and start it again under its name and address."""
    front = bench.fronts[name]
    await front.wind_down()
    bench.kill_front(name)
    await trio.sleep(RESTART_S)
    bench.add_front(int(name.removeprefix('front-')))


async def roll(bench: PlatformBench, after_report_s: float) -> None:
    """Stop and start all instances in turn, the one that has just reported first."""
    order = await wait_for_report(bench, after_report_s)
    async with trio.open_nursery() as nursery:
        for name in order:
            nursery.start_soon(stop_and_start, bench, name)
            await trio.sleep(GAP_S)


async def roll_repeatedly(after_report_s: float, lease_s: float = DUTY_SETTINGS.lease_s) -> PlatformBench:
    """Roll all instances some times, each time so long after a report."""
    duty = DUTY_SETTINGS._replace(lease_s=lease_s)
    async with open_bench(configuration(), [plain_runner(1)], FRONTS, duty) as bench:
        for _ in range(ROLLS):
            await roll(bench, after_report_s)
            await trio.sleep(CALM_S)
        await trio.sleep(DUTY_SETTINGS.report_delay_s)
        return bench


def missing_windows(bench: PlatformBench) -> set[int]:
    """Return the windows between the first and the last report that were not reported in time."""
    in_time = {
        report.window
        for report in bench.usage.reports
        if START_TIME_OF_DAY_S + report.received_at
        < (report.window + 1) * DUTY_SETTINGS.window_s + DUTY_SETTINGS.report_delay_s
    }
    return set(range(min(in_time), max(in_time))) - in_time


class RollTest(TestCase):
    """All instances are stopped and started in turn."""

    @in_virtual_time
    async def test_no_holder_returns_after_another(self) -> None:
        """Guards against holders that act in the order A, B, A within the lease time, whenever the roll begins."""
        for after_report_s in (0.1, 1.0, 2.0, 3.5):
            with self.subTest(after_report_s=after_report_s):
                bench = await roll_repeatedly(after_report_s)
                self.assertEqual(bench.usage.violations(DUTY_SETTINGS.lease_s), [])
                self.assertEqual(missing_windows(bench), set())

    @in_virtual_time
    async def test_other_lease_times(self) -> None:
        """Guards against safeguards that hold for one lease time only."""
        for lease_s in (1.0, 8.0):
            with self.subTest(lease_s=lease_s):
                bench = await roll_repeatedly(2.0, lease_s)
                self.assertEqual(bench.usage.violations(lease_s), [])

    @in_virtual_time
    async def test_reports_not_repeated(self) -> None:
        """Guards against the next holder that sends a report which the platform has taken already."""
        bench = await roll_repeatedly(2.0)
        windows = [report.window for report in bench.usage.reports]
        self.assertEqual(len(windows), len(set(windows)))

    @in_virtual_time
    async def test_stopping_instance_takes_no_duty(self) -> None:
        """Guards against a holder that has to give the duty back within seconds."""
        async with open_bench(configuration(), [plain_runner(1)], 2, DUTY_SETTINGS) as bench:
            order = await wait_for_report(bench, 0.5)
            held: list[str] = []
            async with trio.open_nursery() as nursery:
                for name in reversed(order):
                    nursery.start_soon(bench.fronts[name].wind_down)
                await trio.sleep(0.5)
                for _ in range(50):
                    held.extend(other for other in order if is_holder(bench.fronts[other]))
                    await trio.sleep(0.05)
        self.assertEqual(held, [])

    @in_virtual_time
    async def test_planned_hand_over_is_fast(self) -> None:
        """Guards against a wait of all instances after a planned hand-over."""
        async with open_bench(configuration(), [plain_runner(1)], FRONTS, DUTY_SETTINGS) as bench:
            order = await wait_for_report(bench, 0.5)
            stopped_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.fronts[order[0]].wind_down)
                while not any(is_holder(bench.fronts[other]) for other in order[1:]):
                    await trio.sleep(0.05)
                taken_s = trio.current_time() - stopped_at
        self.assertLess(taken_s, 1.5)

    @in_virtual_time
    async def test_duty_given_back_while_store_is_silent(self) -> None:
        """Guards against a stopping holder that goes on to act because the store does not answer its release."""
        async with open_bench(configuration(), [plain_runner(1)], 2, DUTY_SETTINGS) as bench:
            holder = (await wait_for_report(bench, 0.5))[0]
            bench.store.extra_delay_s = 60
            async with trio.open_nursery() as nursery:
                nursery.start_soon(bench.fronts[holder].wind_down)
                await trio.sleep(2.9)
                still_held = is_holder(bench.fronts[holder])
                bench.store.extra_delay_s = 0
        self.assertFalse(still_held)

    @in_virtual_time
    async def test_faulty_variant_repeats_reports(self) -> None:
        """Without what the record says of reports, the next holder repeats one."""
        take_over = ReportSchedule.take_over

        def forgetful(reports: ReportSchedule, *arguments: object, reported: object, **named: object) -> None:
            take_over(reports, *arguments, **named)  # type: ignore[arg-type]

        with patch.object(ReportSchedule, 'take_over', forgetful):
            bench = await roll_repeatedly(2.0)
        windows = [report.window for report in bench.usage.reports]
        self.assertGreater(len(windows), len(set(windows)))


class SlowStore:
    """Store that accepts each record, and answers when a test says so."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.may_answer = trio.Event()

    async def put_if_at(self, *_: object) -> AppendResult:
        """Accept a record."""
        await self.may_answer.wait()
        return AppendResult(end=2, epoch=1)


class LateAnswerTest(TestCase):
    """Answers of the store to records of a holder that has given the lease up."""

    @in_virtual_time
    async def test_renewal_answered_after_release(self) -> None:
        """Guards against a stopping holder that acts again since a renewal of before is answered late."""
        store, clock = SlowStore(), VirtualClock()
        lease = Lease(Holder('front-1', 'x'), LeaseTimes.from_lease(3), 0)
        lease.on_appended(LeaseRecord('front-1', 1, 1, ()), 1, 0)
        log = DutyLog(lease, store, clock)  # type: ignore[arg-type]
        outcomes = []

        async def renew() -> None:
            outcomes.append(await log.append('lease', b'renewal'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(renew)
            await trio.sleep(0.1)
            lease.lose()
            store.may_answer.set()
        self.assertEqual((outcomes, lease.fence), ([AppendOutcome.refused], None))
