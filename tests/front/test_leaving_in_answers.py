"""Runners that announce in a header of their answers that they are draining, while the store does not show it.

An engine began to drain while the store was unavailable, and went on to get 7 to 13 requests a second for 13 s.
Its answers said so, but instances read the draining state from registrations only.
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
# Load runs so long before the store goes down, and the store is down so long before the runner drains, in seconds.
AWAY_S = 1.0
LENGTH_S = 6.0
# Requests in flight when the head of the answer arrives may still reach the runner, within so many seconds.
AT_ONCE_S = 0.02
# Time until its peers know of a new instance and have sent it the runner statuses, in seconds.
LISTED_S = 1.5
# Time until a lost announcement has been sent again, in seconds.
TOLD_AGAIN_S = 1.5
# Time until a runner without a registration is dropped, in seconds.
GONE_S = 3.0
GOOD = 200
NOT_RUN = 503


async def leave_unheard(bed: PlatformBed, runner: RunnerStandIn, load: Load) -> None:
    """Under ``load``, take the store down, then have ``runner`` announce that it is draining."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bed, Random(1), load)
        await trio.sleep(AWAY_S)
        bed.store.down = True
        await trio.sleep(AWAY_S)
        runner.says_leaving = SAYS


class LeavingTest(TestCase):
    """Requests that reach a runner after it has announced in an answer that it is draining."""

    @virtual
    async def test_engine_while_the_store_is_away(self) -> None:
        """Guards against requests to an engine after it announced that it is draining."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(short_prompt, 90, LENGTH_S))
        self.assertEqual(after_leaving(runners[0]), [])

    @virtual
    async def test_plain_runner_while_the_store_is_away(self) -> None:
        """Guards against requests to a plain runner after it announced that it is draining."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(fetch, 90, LENGTH_S))
        self.assertEqual(after_leaving(runners[0]), [])


class LeavingSendsTest(TestCase):
    """Kinds of sends, and states of the system, in which the draining header could be missed."""

    @virtual
    async def test_reader_while_the_store_is_away(self) -> None:
        """Guards against remote prefills, and calls that free memory, at an engine that is draining."""
        runners = engines(0, 4)
        prefill_engine = runners[-1]
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, prefill_engine, Load(partial(asked_prompt, '/verdict/a', 3000), 40, LENGTH_S))
        self.assertTrue(prefill_engine.told)
        self.assertEqual(after_leaving(prefill_engine, AT_ONCE_S), [])

    @virtual
    async def test_second_steps_and_retries(self) -> None:
        """Guards against decode steps and retries that were planned at an engine before it began to drain."""
        runners = engines(0, 4)
        for runner in runners:
            runner.faults.loses = 0.3
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(partial(asked_prompt, '/tag/a', 3000), 60, LENGTH_S))
        self.assertTrue(runners[0].told)
        self.assertEqual(after_leaving(runners[0], AT_ONCE_S), [])

    @virtual
    async def test_said_in_failures(self) -> None:
        """Guards against a draining header that is read in successful answers only."""
        runners = plain_runners(0, 4)
        runners[0].faults.fails = True
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(fetch, 90, LENGTH_S))
        self.assertTrue(runners[0].told)
        self.assertEqual(after_leaving(runners[0], AT_ONCE_S), [])

    @virtual
    async def test_told_to_all(self) -> None:
        """Guards against instances that only learn of the drain from an answer to a request of their own."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await leave_unheard(bench, runners[0], Load(fetch, 90, LENGTH_S))
        first = min(answer.at for answer in runners[0].told)
        self.assertEqual([at for at in runners[0].arrivals if at > first + AT_ONCE_S], [])

    @virtual
    async def test_told_to_newcomers(self) -> None:
        """Guards against an instance that starts later and learns of the drain from a request of its own."""
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
        """Guards against an announcement to peers that is sent once and lost."""
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
        """Guards against a stale registration, read late or after a rollback of the store, that says ready."""
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
        """Guards against ending the draining state because of answers without the header, made before it."""
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
        """Guards against a draining state that is kept for a runner restarted under the same key."""
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
    """What callers get while all runners of a service are draining."""

    @virtual
    async def test_refused_at_once(self) -> None:
        """Guards against requests that wait or are sent, rather than refused, while all runners are draining."""
        for runners, build_request in ((plain_runners(0, 2), fetch), (engines(0, 2), short_prompt)):
            with self.subTest(load=build_request):
                seen, arrivals = await self._all_leave(runners, build_request)
                self.assertEqual({one.status for one in seen}, {NOT_RUN})
                self.assertTrue(all(one.retry_after_s for one in seen))
                self.assertLess(max(one.took_s for one in seen), AT_ONCE_S)
                self.assertEqual(arrivals, 0)

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
    """Draining headers with invalid or repeated values."""

    @virtual
    async def test_malformed(self) -> None:
        """Guards against excluding a runner or crashing an instance because of an invalid value."""
        for texts in ((b'',), (b'0',), (b'2',), (b'yes',), (b'0', b'0'), (b'9' * 400,), (b'\xff',)):
            with self.subTest(texts=texts):
                self.assertGreater(await self._came_after(texts), 20)

    @virtual
    async def test_said_twice(self) -> None:
        """Guards against ignoring a valid value that comes with an invalid one."""
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
