"""Runners that restart under their key, with their updates arriving in various orders."""

from __future__ import annotations

from random import Random
from unittest import TestCase

import trio

from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.runner import MAX_START_MS, Runner
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.sends import NewLoad, Send, SendNotes, Word
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import asked_prompt, configuration, engine, open_gate, registered_engine
from tests.virtual import virtual

EARLIER = 1_700_000_000_000
LATER = EARLIER + 5000
PARTS = (Part('terms', 9000),)
DRAIN_S = 2.0


def fleet_with(*runners: Runner) -> Fleet:
    """Return a fleet with registrations of ``runners``."""
    fleet = Fleet(DRAIN_S, SocketNetwork(), trio.current_time, open_gate())
    for runner in runners:
        fleet.update(runner)
    return fleet


def word_of(serial: int, born_ms: int) -> Word:
    """Return a peer's update on a long prompt that it sent to the engine."""
    send = Send(serial, 'i-1', work_s=0.5, tokens=9000, parts=PARTS, born_ms=born_ms)
    return Word('front-2', (send,), ())


class LearnedOrderTest(TestCase):
    """A runner's registration and updates of peers, in each order."""

    @virtual
    async def test_registration_first(self) -> None:
        """The registration of the new incarnation arrives before a peer's update on the old one.

        Guards against counting that update: the engine has lost its cache and its work,
        and prompts would go where their prefix block is gone and has to be prefilled again.
        """
        fleet = fleet_with(registered_engine(born_ms=EARLIER))
        tracker = SendNotes('front-1', fleet, Random(1))
        tracker.heard(word_of(1, EARLIER))
        member_before = fleet.members['i-1']
        self.assertEqual(member_before.cache.cached(PARTS), 9000)
        for _ in range(3):
            member_before.health.bad(trio.current_time())
        fleet.update(registered_engine(born_ms=LATER))
        tracker.heard(word_of(2, EARLIER))
        member = fleet.members['i-1']
        self.assertEqual(member.cache.cached(PARTS), 0)
        self.assertEqual(member.load.wait_s(trio.current_time()), 0)
        self.assertTrue(member.health.usable(trio.current_time()))

    @virtual
    async def test_peer_first(self) -> None:
        """A peer's update names the new incarnation before this instance reads its registration.

        The update belongs to the new incarnation and must be kept. The old registration,
        which a lagging store still delivers, must not bring the old incarnation back.
        """
        fleet = fleet_with(registered_engine(born_ms=EARLIER))
        tracker = SendNotes('front-1', fleet, Random(1))
        tracker.heard(word_of(1, EARLIER))
        tracker.heard(word_of(1, LATER))
        fleet.update(registered_engine(born_ms=EARLIER))
        fleet.update(registered_engine(born_ms=LATER))
        member = fleet.members['i-1']
        self.assertEqual(member.runner.born_ms, LATER)
        self.assertEqual(member.cache.cached(PARTS), 9000)
        self.assertEqual(member.load.streams(trio.current_time()), 1)

    @virtual
    async def test_end_of_earlier_send(self) -> None:
        """A send to the old incarnation ends after the restart, and its serial matches a send to the new one."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER))
        tracker = SendNotes('front-1', fleet, Random(1))
        end = tracker.begin(NewLoad(fleet.members['i-1'], 0.5, 9000), PARTS)
        fleet.update(registered_engine(born_ms=LATER))
        tracker.heard(Word('front-1', (Send(end.serial, 'i-1', 0.5, 9000, PARTS, born_ms=LATER),), ()))
        tracker.end(end._replace(finished=True))
        self.assertEqual(fleet.members['i-1'].load.streams(trio.current_time()), 1)

    @virtual
    async def test_forgotten_then_stale(self) -> None:
        """A lagging store delivers a registration of an old incarnation after the runner was removed."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER), registered_engine(born_ms=LATER))
        fleet.remove('i-1')
        await trio.sleep(DRAIN_S)
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine(born_ms=EARLIER))
        self.assertEqual(fleet.of_service('llm'), [])

    @virtual
    async def test_start_missing(self) -> None:
        """A record without an incarnation replaces that of a runner with one, so another writer has written it."""
        fleet = fleet_with(registered_engine(born_ms=LATER))
        fleet.update(registered_engine(born_ms=0))
        await trio.sleep(DRAIN_S)
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine(born_ms=LATER))
        self.assertEqual(len(fleet.of_service('llm')), 1)

    @virtual
    async def test_leaving_ends_with_the_start(self) -> None:
        """A draining runner restarts before its registration expires, and is used again."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER, leaving=True))
        fleet.update(registered_engine(born_ms=LATER))
        self.assertEqual(len(fleet.of_service('llm')), 1)
        fleet.update(registered_engine(born_ms=EARLIER, leaving=True))
        self.assertEqual(len(fleet.of_service('llm')), 1)


class ServedAgainTest(TestCase):
    """A whole front with engines that restart."""

    @virtual
    async def test_engine_asked_again(self) -> None:
        """An engine restarts before its registration expires.

        The front keeps using it, and requests its inventory again.
        """
        runners = [engine(1, 'prefill', born_ms=EARLIER), engine(2, 'decode', born_ms=EARLIER)]
        async with running_bed(configuration(), runners) as bench:
            await trio.sleep(1)
            runners[0].start_again(LATER)
            bench.add_runner(runners[0])
            await trio.sleep(1)
            self.assertEqual([runner.listings for runner in runners], [2, 1])
            self.assertTrue((await bench.caller('front-1').ask(asked_prompt('/verdict/a'))).whole)
            self.assertEqual(bench.fronts['front-1'].fleet.members['i-llm1'].runner.born_ms, LATER)

    @virtual
    async def test_answer_tells_first(self) -> None:
        """The inventory answer of an engine names an incarnation that is not registered yet."""
        runners = [engine(1, 'prefill', born_ms=EARLIER), engine(2, 'decode', born_ms=EARLIER)]
        async with running_bed(configuration(), []) as bench:
            for runner in runners:
                bench.add_runner(runner)
                runner.start_again(LATER)
            await trio.sleep(1)
            members = bench.fronts['front-1'].fleet.members
            self.assertEqual({member.runner.born_ms for member in members.values()}, {LATER})

    @virtual
    async def test_answer_tells_no_start(self) -> None:
        """An inventory answer that names an impossible incarnation is ignored.

        Otherwise each later update of the engine would look outdated for good.
        """
        runners = [engine(1, 'prefill', born_ms=EARLIER), engine(2, 'decode', born_ms=EARLIER)]
        async with running_bed(configuration(), []) as bench:
            for runner in runners:
                bench.add_runner(runner)
                runner.start_again(MAX_START_MS)
            await trio.sleep(1)
            members = bench.fronts['front-1'].fleet.members
            self.assertEqual({member.runner.born_ms for member in members.values()}, {EARLIER})
