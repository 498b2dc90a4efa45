"""Removed registrations that are back: of runners that have left, by a late heartbeat, and of runners that serve."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.runner_status.presence import Presence
from sesamepoint.front.runners.gap_questions import GapQuestions
from sesamepoint.front.runners.registration_history import RegistrationHistory
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.runner_state import Faults
from tests.front.builders import configuration, new_request, plain_runner, registered_engine
from tests.front.registrations.late_heartbeats import LateHeartbeat, Notice, requests_after_drain_time
from tests.front.registrations.variants import ask_nobody, do_nothing, take_at_once
from tests.front.test_restarted_runners import fleet_with
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench

# Runners whose registrations lapsed must be used within this time after they are back, in seconds.
RETURN_S = 2.0
# Registrations lapse after three heartbeat intervals, and some margin.
STANDING_S = 6.0
FRONTS = 2
# The store is restored so many seconds before the removal, so that some instances read its list after it.
RESTORED_BEFORE_S = (0.004, 0.012, 0.05, 0.2, 0.4)
CUT_OFF = LateHeartbeat(Notice.removal, 2.0, 0.5, cut_off=True)


async def lapse_and_return(bench: PlatformBench, away_s: float) -> None:
    """Let the registrations of all runners lapse while they serve, and have them written again."""
    for key in bench.runners:
        bench.drop_registration(key)
    await trio.sleep(away_s)
    for key in bench.runners:
        bench.renew_registration(key)


async def renew_for(bench: PlatformBench, duration_s: float) -> None:
    """Have the first runner write a heartbeat each second."""
    for _ in range(int(duration_s)):
        bench.renew_registration('i-web1')
        await trio.sleep(1)


async def statuses_after(bench: PlatformBench, pause_s: float) -> set[int]:
    """Return the statuses of a request at each instance, after ``pause_s`` seconds."""
    await trio.sleep(pause_s)
    return {(await bench.new_caller(name).send(new_request('/card/a'))).status for name in bench.fronts}


class LateReturnTest(TestCase):
    """Requests that reach a runner which has left, because its removed registration is back."""

    @in_virtual_time
    async def test_left_without_notice(self) -> None:
        """Guards against requests to a runner that has left, after a late heartbeat."""
        for key in ('i-web1', 'i-llm1', 'i-llm3'):
            with self.subTest(key=key):
                self.assertEqual(await requests_after_drain_time(LateHeartbeat(Notice.removal, 5.9, 3.2, key)), 0)

    @in_virtual_time
    async def test_within_grace_period(self) -> None:
        """Guards against a late heartbeat in the grace period of the removal, which ended the grace period."""
        self.assertEqual(await requests_after_drain_time(LateHeartbeat(Notice.removal, 1.0, 0.6)), 0)

    @in_virtual_time
    async def test_front_started_between(self) -> None:
        """Guards against an instance that starts after the removal and reads only the late heartbeat."""
        for starts_s in (0.5, 2.0, 3.5):
            with self.subTest(starts_s=starts_s):
                run = LateHeartbeat(Notice.removal, 4.0, 1.0, front_starts_s=starts_s)
                self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_front_restarted_between(self) -> None:
        """Guards against an instance that starts again at its address, which its peers take for the same as before."""
        run = LateHeartbeat(Notice.removal, 4.0, 1.0, restarts_s=3.3)
        self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_store_rolled_back(self) -> None:
        """Guards against a copy of the store from before the removal."""
        run = LateHeartbeat(Notice.removal, 5.0, 1.0, rolled_back_s=1.0)
        self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_store_away_after_late_heartbeat(self) -> None:
        """Guards against a late heartbeat that counts as renewed because the store was away and removed nothing."""
        for away_s in (2.0, 3.5, 5.0):
            with self.subTest(away_s=away_s):
                run = LateHeartbeat(Notice.removal, 1.0, 0.8, away_s=away_s)
                self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_removed_before_list_is_read(self) -> None:
        """Guards against a removal between a restore of the store and the read of the list, of which nobody tells."""
        for restored_s in RESTORED_BEFORE_S:
            with self.subTest(restored_s=restored_s):
                run = LateHeartbeat(Notice.removal, 6.0, 1.0, restored_before_s=restored_s)
                self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_faulty_variant_keeps_missing(self) -> None:
        """Without a check of runners that a restored copy lacks, late requests are seen."""
        with (
            patch.object(RegistrationHistory, 'note_missing', do_nothing),
            patch.object(GapQuestions, 'note_gap', ask_nobody),
        ):
            run = LateHeartbeat(Notice.removal, 6.0, 1.0, restored_before_s=RESTORED_BEFORE_S[0])
            self.assertGreater(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_removed_within_gap(self) -> None:
        """Guards against a removal and a late heartbeat that an instance which was cut off reads as one list."""
        for delay_s in (1.0, 2.0):
            with self.subTest(delay_s=delay_s):
                self.assertEqual(await requests_after_drain_time(CUT_OFF._replace(delay_s=delay_s)), 0)

    @in_virtual_time
    async def test_faulty_variant_asks_nobody(self) -> None:
        """Without questions after a gap, late requests are seen, so the simulation would show them."""
        with patch.object(GapQuestions, 'note_gap', ask_nobody):
            self.assertGreater(await requests_after_drain_time(CUT_OFF), 0)

    @in_virtual_time
    async def test_faulty_variant_takes_at_once(self) -> None:
        """Without the confirmation, late requests are seen, so the simulation would show them."""
        with patch.object(Presence, 'note_back', take_at_once):
            late = await requests_after_drain_time(LateHeartbeat(Notice.removal, 5.9, 3.2))
        self.assertGreater(late, 0)


class RightReturnTest(TestCase):
    """Runners that serve all the time, whose registrations lapsed."""

    @in_virtual_time
    async def test_used_again(self) -> None:
        """Guards against runners that stay unused after their registrations had lapsed."""
        for away_s in (0.5, 3.0):
            with self.subTest(away_s=away_s):
                async with open_bench(configuration(), [plain_runner(1), plain_runner(2)], FRONTS) as bench:
                    await lapse_and_return(bench, away_s)
                    self.assertEqual(await statuses_after(bench, RETURN_S), {200})
                    confirmed = [front.fleet.history.confirmations for front in bench.fronts.values()]
                self.assertEqual(confirmed, [2, 2])

    @in_virtual_time
    async def test_wait_ends(self) -> None:
        """Guards against requests that go on waiting for a runner after the only one has shown that it serves."""
        fleet = fleet_with(registered_engine())
        fleet.note_unregistered('i-1')
        await trio.sleep(RETURN_S)
        fleet.update(registered_engine())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.wait_for_any, 'llm')
            await trio.sleep(RETURN_S)
            fleet.history.confirm(fleet.members['i-1'], 'health page')
            await trio.sleep(RETURN_S)
            waiting = len(nursery.child_tasks)
            nursery.cancel_scope.cancel()
        self.assertEqual(waiting, 0)

    @in_virtual_time
    async def test_few_probes(self) -> None:
        """Guards against more than one call of each instance to the health page of a runner that serves."""
        async with open_bench(configuration(), [plain_runner(1)], FRONTS) as bench:
            await lapse_and_return(bench, 3.0)
            await trio.sleep(STANDING_S)
            self.assertEqual(len(bench.runners['i-web1'].health_calls), FRONTS)

    @in_virtual_time
    async def test_address_of_another_runner(self) -> None:
        """Guards against calls for a runner that has gone, which reach the one that has its address now."""
        old = plain_runner(1)
        async with open_bench(configuration(), [old, plain_runner(2)]) as bench:
            bench.write_late(old.key, 4.0)
            bench.leave_unannounced(old.key)
            bench.network.close(old.address)
            await trio.sleep(3)
            new = replace(plain_runner(3), address=old.address)
            bench.add_runner(new)
            await trio.sleep(STANDING_S)
        self.assertEqual(len(new.health_calls), 1)

    @in_virtual_time
    async def test_false_health_page(self) -> None:
        """Guards against a runner that is never used again because its health page is wrong."""
        async with open_bench(configuration(), [plain_runner(1)], FRONTS) as bench:
            bench.runners['i-web1'].faults = Faults(unhealthy_page=True)
            await lapse_and_return(bench, 3.0)
            await renew_for(bench, STANDING_S)
            self.assertEqual(await statuses_after(bench, 0), {200})

    @in_virtual_time
    async def test_no_health_page(self) -> None:
        """Guards against runners that are never used again because their service has no health page."""
        base = configuration()
        services = [{**service, 'health_path': ''} for service in base['services']]
        async with open_bench({**base, 'services': services}, [plain_runner(1)], FRONTS) as bench:
            await lapse_and_return(bench, 3.0)
            await renew_for(bench, STANDING_S)
            self.assertEqual(await statuses_after(bench, 0), {200})

    @in_virtual_time
    async def test_removals_sent_to_new_instance(self) -> None:
        """Guards against a flood of messages after an outage in which all registrations lapsed."""
        async with open_bench(configuration(), [plain_runner(number) for number in range(1, 20)]) as bench:
            history = bench.fronts['front-1'].fleet.history
            bench.drop_registration('i-web1')
            await trio.sleep(1)
            self.assertEqual([one.runner for one in history.recently_removed()], ['i-web1'])
            for key in bench.runners:
                bench.drop_registration(key)
            await trio.sleep(1)
            self.assertEqual(history.recently_removed(), [])

    @in_virtual_time
    async def test_removed_again_before_answer(self) -> None:
        """Guards against a confirmation that counts for a registration which was removed again since."""
        async with open_bench(configuration(), [plain_runner(1)], FRONTS) as bench:
            bench.runners['i-web1'].leaving = True
            await lapse_and_return(bench, 3.0)
            bench.drop_registration('i-web1')
            self.assertEqual(await statuses_after(bench, STANDING_S), {503})
            members = [front.fleet.members for front in bench.fronts.values()]
        self.assertEqual(members, [{}, {}])
