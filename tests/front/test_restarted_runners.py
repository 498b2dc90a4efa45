"""Runners that start again under their key, and the orders in which that is learned."""

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
    """Return a fleet in which ``runners`` have registered."""
    fleet = Fleet(DRAIN_S, SocketNetwork(), trio.current_time, open_gate())
    for runner in runners:
        fleet.update(runner)
    return fleet


def word_of(serial: int, born_ms: int) -> Word:
    """Return a peer's word on one long prompt that it sent to the engine."""
    send = Send(serial, 'i-1', work_s=0.5, tokens=9000, parts=PARTS, born_ms=born_ms)
    return Word('front-2', (send,), ())


class LearnedOrderTest(TestCase):
    """Registration and peers' words, in each order."""

    @virtual
    async def test_registration_first(self) -> None:
        """An engine crashes and is back at once; its registration says so first.

        What it had kept and had to do is gone. A peer's word on a send to
        the earlier start arrives afterwards: counted, prompts would go where
        their shared part no longer lies, and be read anew there.
        """
        fleet = fleet_with(registered_engine(born_ms=EARLIER))
        notes = SendNotes('front-1', fleet, Random(1))
        notes.heard(word_of(1, EARLIER))
        before = fleet.members['i-1']
        self.assertEqual(before.cache.cached(PARTS), 9000)
        for _ in range(3):
            before.health.bad(trio.current_time())
        fleet.update(registered_engine(born_ms=LATER))
        notes.heard(word_of(2, EARLIER))
        member = fleet.members['i-1']
        self.assertEqual(member.cache.cached(PARTS), 0)
        self.assertEqual(member.load.wait_s(trio.current_time()), 0)
        self.assertTrue(member.health.usable(trio.current_time()))

    @virtual
    async def test_peer_first(self) -> None:
        """A peer has sent to the new start before this entry reads its registration.

        What the peer tells belongs to the new start and must stay; the old
        registration, still on its way from a store that is behind, must not
        bring the earlier start back.
        """
        fleet = fleet_with(registered_engine(born_ms=EARLIER))
        notes = SendNotes('front-1', fleet, Random(1))
        notes.heard(word_of(1, EARLIER))
        notes.heard(word_of(1, LATER))
        fleet.update(registered_engine(born_ms=EARLIER))
        fleet.update(registered_engine(born_ms=LATER))
        member = fleet.members['i-1']
        self.assertEqual(member.runner.born_ms, LATER)
        self.assertEqual(member.cache.cached(PARTS), 9000)
        self.assertEqual(member.load.streams(trio.current_time()), 1)

    @virtual
    async def test_end_of_earlier_send(self) -> None:
        """A send of this entry to the earlier start ends after the restart; serials may match."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER))
        notes = SendNotes('front-1', fleet, Random(1))
        end = notes.begin(NewLoad(fleet.members['i-1'], 0.5, 9000), PARTS)
        fleet.update(registered_engine(born_ms=LATER))
        notes.heard(Word('front-1', (Send(end.serial, 'i-1', 0.5, 9000, PARTS, born_ms=LATER),), ()))
        notes.end(end._replace(finished=True))
        self.assertEqual(fleet.members['i-1'].load.streams(trio.current_time()), 1)

    @virtual
    async def test_forgotten_then_stale(self) -> None:
        """The runner has gone for good; a store that is behind shows its earlier start once more."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER), registered_engine(born_ms=LATER))
        fleet.remove('i-1')
        await trio.sleep(DRAIN_S)
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine(born_ms=EARLIER))
        self.assertEqual(fleet.of_service('llm'), [])

    @virtual
    async def test_start_missing(self) -> None:
        """A record without a start, over that of a runner that tells it: another writer's."""
        fleet = fleet_with(registered_engine(born_ms=LATER))
        fleet.update(registered_engine(born_ms=0))
        await trio.sleep(DRAIN_S)
        self.assertEqual(fleet.of_service('llm'), [])
        fleet.update(registered_engine(born_ms=LATER))
        self.assertEqual(len(fleet.of_service('llm')), 1)

    @virtual
    async def test_leaving_ends_with_the_start(self) -> None:
        """It drained, and started again before its registration lapsed."""
        fleet = fleet_with(registered_engine(born_ms=EARLIER, leaving=True))
        fleet.update(registered_engine(born_ms=LATER))
        self.assertEqual(len(fleet.of_service('llm')), 1)
        fleet.update(registered_engine(born_ms=EARLIER, leaving=True))
        self.assertEqual(len(fleet.of_service('llm')), 1)


class ServedAgainTest(TestCase):
    """The whole front before engines that start again."""

    @virtual
    async def test_engine_asked_again(self) -> None:
        """An engine starts again before its registration could lapse.

        The front goes on without a pause, and asks it anew what it keeps.
        """
        runners = [engine(1, 'prefill', born_ms=EARLIER), engine(2, 'decode', born_ms=EARLIER)]
        async with running_bed(configuration(), runners) as bed:
            await trio.sleep(1)
            runners[0].start_again(LATER)
            bed.add_runner(runners[0])
            await trio.sleep(1)
            self.assertEqual([runner.listings for runner in runners], [2, 1])
            self.assertTrue((await bed.caller('front-1').ask(asked_prompt('/verdict/a'))).whole)
            self.assertEqual(bed.fronts['front-1'].fleet.members['i-llm1'].runner.born_ms, LATER)

    @virtual
    async def test_answer_tells_first(self) -> None:
        """The engine's own answer on what it keeps names a start that is not registered yet."""
        runners = [engine(1, 'prefill', born_ms=EARLIER), engine(2, 'decode', born_ms=EARLIER)]
        async with running_bed(configuration(), []) as bed:
            for runner in runners:
                bed.add_runner(runner)
                runner.start_again(LATER)
            await trio.sleep(1)
            members = bed.fronts['front-1'].fleet.members
            self.assertEqual({member.runner.born_ms for member in members.values()}, {LATER})

    @virtual
    async def test_answer_tells_no_start(self) -> None:
        """An engine's answer names a start that no runner can have: what it says it keeps is not taken.

        Believed, each later word of the engine would look older, for ever.
        """
        runners = [engine(1, 'prefill', born_ms=EARLIER), engine(2, 'decode', born_ms=EARLIER)]
        async with running_bed(configuration(), []) as bed:
            for runner in runners:
                bed.add_runner(runner)
                runner.start_again(MAX_START_MS)
            await trio.sleep(1)
            members = bed.fronts['front-1'].fleet.members
            self.assertEqual({member.runner.born_ms for member in members.values()}, {EARLIER})
