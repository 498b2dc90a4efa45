"""Heartbeats that the store carries out after their runner has announced that it drains."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front.runners.runner_status import RunnerStatuses
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, new_request, plain_runner, registered_engine
from tests.front.registrations.late_heartbeats import LateHeartbeat, Notice, requests_after_drain_time
from tests.front.registrations.variants import note_from_answers_only
from tests.front.test_restarted_runners import EARLIER_MS, LATER_MS, fleet_with
from tests.virtual_time import in_virtual_time

PLAIN_KEY = 'i-web1'
PREFILL_KEY = 'i-llm1'
DECODE_KEY = 'i-llm3'


class LateReadyTest(TestCase):
    """Requests that reach a draining runner because a heartbeat from before its notice is written after it."""

    @in_virtual_time
    async def test_plain_runner(self) -> None:
        """Guards against requests to a draining runner whose registration says ready again."""
        self.assertEqual(await requests_after_drain_time(LateHeartbeat(Notice.draining, 5.9, 3.2, PLAIN_KEY)), 0)

    @in_virtual_time
    async def test_engines(self) -> None:
        """Guards against prompts and streams at a draining engine whose registration says ready again."""
        for key in (PREFILL_KEY, DECODE_KEY):
            with self.subTest(key=key):
                self.assertEqual(await requests_after_drain_time(LateHeartbeat(Notice.draining, 5.9, 3.2, key)), 0)

    @in_virtual_time
    async def test_just_after_notice(self) -> None:
        """Guards against a late heartbeat that is written before all instances have read the notice."""
        self.assertEqual(await requests_after_drain_time(LateHeartbeat(Notice.draining, 1.0, 0.9)), 0)

    @in_virtual_time
    async def test_front_started_between(self) -> None:
        """Guards against an instance that starts after the notice and reads only the late heartbeat."""
        run = LateHeartbeat(Notice.draining, 4.0, 1.0, front_starts_s=2.9)
        self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_front_restarted_between(self) -> None:
        """Guards against an instance that starts again at its address, which its peers take for the same as before."""
        run = LateHeartbeat(Notice.draining, 4.0, 1.0, restarts_s=3.3)
        self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_all_restarted_between(self) -> None:
        """Guards against a late heartbeat of a runner whose leaving no instance has seen, since all start after it."""
        run = LateHeartbeat(Notice.removal, 5.9, 1.0, restarts_s=2.0, restarting=(1, 2))
        self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_store_rolled_back(self) -> None:
        """Guards against a copy of the store from before the notice, which says ready."""
        run = LateHeartbeat(Notice.draining, 5.0, 1.0, rolled_back_s=1.0)
        self.assertEqual(await requests_after_drain_time(run), 0)

    @in_virtual_time
    async def test_faulty_variant_forgets_notice(self) -> None:
        """Without the memory of the notice, late requests are seen, so the simulation would show them."""
        with patch.object(RunnerStatuses, 'note_draining', note_from_answers_only):
            for key in (PLAIN_KEY, DECODE_KEY):
                with self.subTest(key=key):
                    run = LateHeartbeat(Notice.draining, 5.9, 3.2, key)
                    self.assertGreater(await requests_after_drain_time(run), 0)


class NewIncarnationTest(TestCase):
    """A runner that starts again after it has drained."""

    @in_virtual_time
    async def test_ready_after_restart(self) -> None:
        """Guards against a memory of the notice that outlives the incarnation, which left the new one unused."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER_MS, draining=True))
        fleet.update(registered_engine(born_ms=EARLIER_MS))
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine(born_ms=LATER_MS))
        self.assertEqual(len(fleet.of_service('llm')), 1)

    @in_virtual_time
    async def test_start_known_before_registration(self) -> None:
        """Guards against a new incarnation, known from a message only, that counts as draining like the one before."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER_MS, draining=True))
        member = fleet.at_incarnation('i-1', LATER_MS)
        self.assertEqual(fleet.of_service('llm'), [member])

    @in_virtual_time
    async def test_late_ready_after_removal(self) -> None:
        """Guards against a drained runner that is used again because its removed registration is back."""
        fleet = fleet_with(registered_engine(draining=True))
        fleet.note_unregistered('i-1')
        await trio.sleep(3)
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine())
        self.assertEqual(fleet.of_service('llm'), [])


class SequenceTest(TestCase):
    """Registrations of one incarnation that arrive in another order than they were written."""

    @in_virtual_time
    async def test_earlier_one_last(self) -> None:
        """Guards against slots, stage or zone of an earlier heartbeat that replace the current ones."""
        fleet = fleet_with(registered_engine()._replace(sequence=8, slots=12))
        fleet.update(registered_engine()._replace(sequence=7, slots=24))
        self.assertEqual(fleet.members['i-1'].runner.slots, 12)

    @in_virtual_time
    async def test_earlier_notice_last(self) -> None:
        """Guards against a notice that is dropped because a later heartbeat arrived before it."""
        fleet = fleet_with(registered_engine()._replace(sequence=8))
        fleet.update(registered_engine(draining=True)._replace(sequence=7))
        self.assertEqual(fleet.of_service('llm'), [])

    @in_virtual_time
    async def test_same_number(self) -> None:
        """Guards against changes that are ignored where registrations are not numbered."""
        fleet = fleet_with(registered_engine()._replace(slots=12))
        fleet.update(registered_engine()._replace(slots=24))
        self.assertEqual(fleet.members['i-1'].runner.slots, 24)


class OnlyRunnerTest(TestCase):
    """The only runner of a service drains."""

    @in_virtual_time
    async def test_not_used_though_only_one(self) -> None:
        """Guards against the choice of a draining runner because its service has no other one."""
        runner = plain_runner(1)
        async with open_bench(configuration(), [runner]) as bench:
            bench.write_late(runner.key, 3.0)
            bench.drain_runner(runner.key)
            await trio.sleep(3.5)
            answer = await bench.new_caller('front-1').send(new_request('/card/a', deadline_s=1.0))
        self.assertEqual(answer.status, 503)
        self.assertEqual(runner.runs, [])
