"""Runners that say in their answers that they leave, while the store tells nothing of it.

Seen: an engine said so in its answers, and got 7 to 13 requests a second for 13 s more.
How: the store was away when it reported its leaving; instances had its answers, and passed them on.
Cause: leaving was a field of a registration only; nobody read it in answers.
"""

from __future__ import annotations

import math
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.platform.word_bounds import after_leaving
from tests.front.builders import asked_prompt, configuration
from tests.front.limited import FRONTS, Load, engines, fetch, plain_runners, send, short_prompt
from tests.virtual import virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Asked, Seen
    from sesamepoint_standins.platform.runner import RunnerStandIn

SAYS = (b'1',)
# The store has gone so long before, in seconds.
AWAY_S = 1.0
LENGTH_S = 6.0
# From the head of an answer on nothing is sent there; a request may be under way, in seconds.
AT_ONCE_S = 0.02
# Until the others know of a new instance, and it has been told, in seconds.
LISTED_S = 1.5
# Until a word that was lost has been told again, in seconds.
TOLD_AGAIN_S = 1.5
# Until a runner is forgotten whose registration has vanished, in seconds.
GONE_S = 3.0
GOOD = 200
NOT_RUN = 503


async def leave_unheard(bed: PlatformBed, runner: RunnerStandIn, load: Load) -> None:
    """Have the store go, then ``runner`` leave, under ``load``."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bed, Random(1), load)
        await trio.sleep(AWAY_S)
        bed.store.down = True
        await trio.sleep(AWAY_S)
        runner.says_leaving = SAYS


class LeavingTest(TestCase):
    """What reaches a runner that has said in an answer that it leaves."""

    @virtual
    async def test_engine_while_the_store_is_away(self) -> None:
        """Guards against an engine that is sent requests after it said that it leaves."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(short_prompt, 90, LENGTH_S))
        self.assertEqual(after_leaving(runners[0]), [])

    @virtual
    async def test_plain_runner_while_the_store_is_away(self) -> None:
        """Guards against a plain runner that is sent requests after it said that it leaves."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(fetch, 90, LENGTH_S))
        self.assertEqual(after_leaving(runners[0]), [])


class LeavingSendsTest(TestCase):
    """Ways round the word of a runner that leaves."""

    @virtual
    async def test_reader_while_the_store_is_away(self) -> None:
        """Guards against prompts that are read apart, and memory that is freed, at an engine that leaves."""
        runners = engines(0, 4)
        reader = runners[-1]
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, reader, Load(partial(asked_prompt, '/verdict/a', 3000), 40, LENGTH_S))
        self.assertTrue(reader.told)
        self.assertEqual(after_leaving(reader, AT_ONCE_S), [])

    @virtual
    async def test_second_steps_and_retries(self) -> None:
        """Guards against second steps, and retries, that were planned at an engine before it said that it leaves."""
        runners = engines(0, 4)
        for runner in runners:
            runner.faults.loses = 0.3
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(partial(asked_prompt, '/tag/a', 3000), 60, LENGTH_S))
        self.assertTrue(runners[0].told)
        self.assertEqual(after_leaving(runners[0], AT_ONCE_S), [])

    @virtual
    async def test_said_in_failures(self) -> None:
        """Guards against a word that is heard in good answers only."""
        runners = plain_runners(0, 4)
        runners[0].faults.fails = True
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(fetch, 90, LENGTH_S))
        self.assertTrue(runners[0].told)
        self.assertEqual(after_leaving(runners[0], AT_ONCE_S), [])

    @virtual
    async def test_told_to_all(self) -> None:
        """Guards against instances that find out by a request of their own."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(fetch, 90, LENGTH_S))
        first = min(told.at for told in runners[0].told)
        self.assertEqual([at for at in runners[0].arrivals if at > first + AT_ONCE_S], [])

    @virtual
    async def test_told_to_newcomers(self) -> None:
        """Guards against an instance that starts later and finds out by a request of its own."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].says_leaving = SAYS
            await send(bench, Random(1), Load(fetch, 90, 1))
            bench.add_front(FRONTS + 1)
            await bench.until_ready()
            await trio.sleep(LISTED_S)
            since = trio.current_time()
            await send(bench, Random(2), Load(fetch, 60, 2), [f'front-{FRONTS + 1}'])
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @virtual
    async def test_word_is_lost_on_the_way(self) -> None:
        """Guards against a word to the others that is told once and lost."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            bench.network.datagrams_lost = True
            runners[0].says_leaving = SAYS
            await send(bench, Random(1), Load(fetch, 90, 0.5), ['front-1'])
            bench.network.datagrams_lost = False
            await trio.sleep(TOLD_AGAIN_S)
            since = trio.current_time()
            await send(bench, Random(1), Load(fetch, 90, 2))
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @virtual
    async def test_registration_that_is_late(self) -> None:
        """Guards against a registration, read late or from a store that went back, that calls the runner ready."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].says_leaving = SAYS
            await send(bench, Random(1), Load(fetch, 90, 1))
            bench.drop_registration(runners[0].key)
            await trio.sleep(GONE_S)
            bench.store.put('keyed.servers', runners[0].key, runners[0].record)
            await trio.sleep(1)
            since = trio.current_time()
            await send(bench, Random(2), Load(fetch, 90, 2))
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @virtual
    async def test_answers_in_flight_without_the_word(self) -> None:
        """Guards against the end of a leaving by answers that were made before it was said."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].says_leaving = SAYS
            await send(bench, Random(1), Load(fetch, 90, 1))
            runners[0].says_leaving = ()
            since = trio.current_time()
            await send(bench, Random(2), Load(fetch, 90, 2))
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @virtual
    async def test_starts_again(self) -> None:
        """Guards against a word that stays with a runner which has started again under its key."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].says_leaving = SAYS
            await send(bench, Random(1), Load(fetch, 90, 1))
            runners[0].says_leaving = ()
            runners[0].start_again(1_700_000_000_000)
            bench.store.put('keyed.servers', runners[0].key, runners[0].record)
            await trio.sleep(1)
            since = trio.current_time()
            await send(bench, Random(2), Load(fetch, 90, 2))
        self.assertGreater(runners[0].arrived(since, math.inf), 20)


class AllLeaveTest(TestCase):
    """What callers get while all runners of a service leave."""

    @virtual
    async def test_refused_at_once(self) -> None:
        """Guards against callers that wait, or are sent on, while all runners leave."""
        for runners, load in ((plain_runners(0, 2), fetch), (engines(0, 2), short_prompt)):
            with self.subTest(load=load):
                seen, came = await self._all_leave(runners, load)
                self.assertEqual({one.status for one in seen}, {NOT_RUN})
                self.assertTrue(all(one.retry_after_s for one in seen))
                self.assertLess(max(one.took_s for one in seen), AT_ONCE_S)
                self.assertEqual(came, 0)

    async def _all_leave(self, runners: list[RunnerStandIn], load: Callable[[], Asked]) -> tuple[list[Seen], int]:
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            for runner in runners:
                runner.says_leaving = SAYS
            await send(bench, Random(1), Load(load, 60, 1))
            await trio.sleep(1)
            since = trio.current_time()
            seen = await send(bench, Random(2), Load(load, 60, 2))
        return seen, sum(one.arrived(since, math.inf) for one in runners)


class MalformedLeavingTest(TestCase):
    """Texts that are no word of leaving."""

    @virtual
    async def test_malformed(self) -> None:
        """Guards against runners that are left out, or instances that fall over, for a text that says nothing."""
        for texts in ((b'',), (b'0',), (b'2',), (b'yes',), (b'0', b'0'), (b'9' * 400,), (b'\xff',)):
            with self.subTest(texts=texts):
                self.assertGreater(await self._came_after(texts), 20)

    @virtual
    async def test_said_twice(self) -> None:
        """Guards against a word that is not heard beside a text that says nothing."""
        for texts in ((b'0', b'1'), (b'1', b'yes'), (b'1', b'1')):
            with self.subTest(texts=texts):
                self.assertEqual(await self._came_after(texts), 0)

    async def _came_after(self, texts: tuple[bytes, ...]) -> int:
        runners = plain_runners(0, 2)
        async with running_bed(configuration(), runners, fronts=2) as bench:
            runners[0].says_leaving = texts
            await send(bench, Random(1), Load(fetch, 60, 0.5))
            since = trio.current_time()
            seen = await send(bench, Random(2), Load(fetch, 60, 1.5))
        self.assertEqual({one.status for one in seen}, {GOOD})
        return runners[0].arrived(since, math.inf)
