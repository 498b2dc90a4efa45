"""Runners that restart under their key, with their updates arriving in various orders."""

from __future__ import annotations

from random import Random
from unittest import TestCase

import trio

from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.runner import MAX_START_MS, Runner
from sesamepoint.front.engines.engine_sends import NewLoad, Send, SendTracker, SendUpdate
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, engine, new_prompt_request, permissive_send_check, registered_engine
from tests.virtual_time import in_virtual_time

EARLIER_MS = 1_700_000_000_000
LATER_MS = EARLIER_MS + 5000
BLOCKS = (Part('terms', 9000),)
DRAIN_S = 2.0


def fleet_with(*runners: Runner) -> Fleet:
    """Return a fleet with registrations of ``runners``."""
    fleet = Fleet(DRAIN_S, SocketNetwork(), trio.current_time, permissive_send_check())
    for runner in runners:
        fleet.update(runner)
    return fleet


def peer_update(serial: int, born_ms: int) -> SendUpdate:
    """Return a peer's update on a long prompt that it sent to the engine."""
    send = Send(serial, 'i-1', prefill_s=0.5, tokens=9000, blocks=BLOCKS, born_ms=born_ms)
    return SendUpdate('front-2', (send,), ())


class UpdateOrderTest(TestCase):
    """A runner's registration and updates of peers, in each order."""

    @in_virtual_time
    async def test_registration_first(self) -> None:
        """The registration of the new incarnation arrives before a peer's update on the old one.

        Guards against counting that update: the engine has lost its cache and its work,
        and prompts would go where their prefix block is gone and has to be prefilled again.
        """
        fleet = fleet_with(registered_engine(born_ms=EARLIER_MS))
        tracker = SendTracker('front-1', fleet, Random(1))
        tracker.on_peer_update(peer_update(1, EARLIER_MS))
        member_before = fleet.members['i-1']
        self.assertEqual(member_before.cache.cached_tokens(BLOCKS), 9000)
        for _ in range(3):
            member_before.health.note_failure(trio.current_time())
        fleet.update(registered_engine(born_ms=LATER_MS))
        tracker.on_peer_update(peer_update(2, EARLIER_MS))
        member = fleet.members['i-1']
        self.assertEqual(member.cache.cached_tokens(BLOCKS), 0)
        self.assertEqual(member.load.wait_s(trio.current_time()), 0)
        self.assertTrue(member.health.eligible(trio.current_time()))

    @in_virtual_time
    async def test_peer_update_first(self) -> None:
        """A peer's update names the new incarnation before this instance reads its registration.

        The update belongs to the new incarnation and must be kept. The old registration,
        which a lagging store still delivers, must not bring the old incarnation back.
        """
        fleet = fleet_with(registered_engine(born_ms=EARLIER_MS))
        tracker = SendTracker('front-1', fleet, Random(1))
        tracker.on_peer_update(peer_update(1, EARLIER_MS))
        tracker.on_peer_update(peer_update(1, LATER_MS))
        fleet.update(registered_engine(born_ms=EARLIER_MS))
        fleet.update(registered_engine(born_ms=LATER_MS))
        member = fleet.members['i-1']
        self.assertEqual(member.runner.born_ms, LATER_MS)
        self.assertEqual(member.cache.cached_tokens(BLOCKS), 9000)
        self.assertEqual(member.load.streams(trio.current_time()), 1)

    @in_virtual_time
    async def test_end_of_earlier_send(self) -> None:
        """A send to the old incarnation ends after the restart, and its serial matches a send to the new one."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER_MS))
        tracker = SendTracker('front-1', fleet, Random(1))
        end = tracker.begin(NewLoad(fleet.members['i-1'], 0.5, 9000), BLOCKS)
        fleet.update(registered_engine(born_ms=LATER_MS))
        tracker.on_peer_update(
            SendUpdate('front-1', (Send(end.serial, 'i-1', 0.5, 9000, BLOCKS, born_ms=LATER_MS),), ())
        )
        tracker.end(end._replace(finished=True))
        self.assertEqual(fleet.members['i-1'].load.streams(trio.current_time()), 1)

    @in_virtual_time
    async def test_stale_record_after_removal(self) -> None:
        """A lagging store delivers a registration of an old incarnation after the runner was removed."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER_MS), registered_engine(born_ms=LATER_MS))
        fleet.note_unregistered('i-1')
        await trio.sleep(DRAIN_S)
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine(born_ms=EARLIER_MS))
        self.assertEqual(fleet.of_service('llm'), [])

    @in_virtual_time
    async def test_incarnation_missing(self) -> None:
        """A record without an incarnation replaces that of a runner with one, so another writer has written it."""
        fleet = fleet_with(registered_engine(born_ms=LATER_MS))
        fleet.update(registered_engine(born_ms=0))
        await trio.sleep(DRAIN_S)
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine(born_ms=LATER_MS))
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.history.confirm(fleet.members['i-1'], 'health page')
        self.assertEqual(len(fleet.of_service('llm')), 1)

    @in_virtual_time
    async def test_draining_ends_at_restart(self) -> None:
        """A draining runner restarts before its registration expires, and is used again."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER_MS, draining=True))
        fleet.update(registered_engine(born_ms=LATER_MS))
        self.assertEqual(len(fleet.of_service('llm')), 1)
        fleet.update(registered_engine(born_ms=EARLIER_MS, draining=True))
        self.assertEqual(len(fleet.of_service('llm')), 1)


class RestartedEngineTest(TestCase):
    """A whole front with engines that restart."""

    @in_virtual_time
    async def test_inventory_requested_again(self) -> None:
        """An engine restarts before its registration expires.

        The front keeps using it, and requests its inventory again.
        """
        runners = [engine(1, 'prefill', born_ms=EARLIER_MS), engine(2, 'decode', born_ms=EARLIER_MS)]
        async with open_bench(configuration(), runners) as bench:
            await trio.sleep(1)
            runners[0].restart(LATER_MS)
            bench.add_runner(runners[0])
            await trio.sleep(1)
            self.assertEqual([runner.inventory_calls for runner in runners], [2, 1])
            self.assertTrue((await bench.new_caller('front-1').send(new_prompt_request('/verdict/a'))).complete)
            self.assertEqual(bench.fronts['front-1'].fleet.members['i-llm1'].runner.born_ms, LATER_MS)

    @in_virtual_time
    async def test_inventory_names_new_incarnation(self) -> None:
        """The inventory answer of an engine names an incarnation that is not registered yet."""
        runners = [engine(1, 'prefill', born_ms=EARLIER_MS), engine(2, 'decode', born_ms=EARLIER_MS)]
        async with open_bench(configuration(), []) as bench:
            for runner in runners:
                bench.add_runner(runner)
                runner.restart(LATER_MS)
            await trio.sleep(1)
            members = bench.fronts['front-1'].fleet.members
            self.assertEqual({member.runner.born_ms for member in members.values()}, {LATER_MS})

    @in_virtual_time
    async def test_inventory_names_invalid_incarnation(self) -> None:
        """An inventory answer that names an impossible incarnation is ignored.

        Otherwise each later update of the engine would look outdated for good.
        """
        runners = [engine(1, 'prefill', born_ms=EARLIER_MS), engine(2, 'decode', born_ms=EARLIER_MS)]
        async with open_bench(configuration(), []) as bench:
            for runner in runners:
                bench.add_runner(runner)
                runner.restart(MAX_START_MS)
            await trio.sleep(1)
            members = bench.fronts['front-1'].fleet.members
            self.assertEqual({member.runner.born_ms for member in members.values()}, {EARLIER_MS})
