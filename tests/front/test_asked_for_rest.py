"""Runners that turn requests away and ask for rest.

Seen: an engine asked an instance for 3 s of rest, and got 7 and 9 requests from it in that time.
How: each request that was turned away counted as a failure; after three the engine was left out for a second.
Cause: nobody read the time that the engine named.
"""

from __future__ import annotations

import math
from functools import partial
from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_core.serving.health import MAX_OUT_S
from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.platform.word_bounds import in_rest
from tests.front.builders import asked, asked_prompt, configuration
from tests.front.limited import FRONTS, Load, engines, fetch, plain_runners, send, short_prompt
from tests.virtual import virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Asked, Seen
    from sesamepoint_standins.platform.runner import RunnerStandIn

REST = b'3'
LENGTH_S = 8.0
# From the head of an answer on nothing is sent there; a request may be under way, in seconds.
AT_ONCE_S = 0.02
# A connection of this many seconds is slower than an answer.
SLOW_CONNECT_S = 0.1
# What comes within so many seconds after a rest is a few, of hundreds that wait.
FIRST_S = 0.2
FEW = 8
# The target of the route.
ON_TIME_S = 0.25
PATIENT_S = 60.0
# Of 5 s of rest 2 have passed at the most when the last one is refused.
EARLIEST_S = 2.9
GOOD = 200
NOT_RUN = 503


async def rest_under(bed: PlatformBed, runners: list[RunnerStandIn], load: Load) -> None:
    """Have ``runners`` turn all requests away and ask for rest, from the second second of ``load`` on."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bed, Random(1), load)
        await trio.sleep(1)
        ask_for_rest(runners, REST)


def ask_for_rest(runners: list[RunnerStandIn], text: bytes) -> None:
    """Have ``runners`` turn all requests away and ask for rest."""
    for runner in runners:
        runner.faults.rejects = True
        runner.asks_rest = (text,)


def end_rest(runners: list[RunnerStandIn]) -> None:
    """Have ``runners`` take requests again."""
    for runner in runners:
        runner.faults.rejects = False


def patient_fetch() -> Asked:
    """Return a request whose caller has the time to come back later."""
    return asked('/thumb/a', deadline_s=PATIENT_S)


def patient_prompt() -> Asked:
    """Return a prompt whose caller has the time to come back later."""
    return asked_prompt('/tag/a', deadline_s=PATIENT_S)


class RestTest(TestCase):
    """What reaches a runner that has asked for rest."""

    @virtual
    async def test_engine_asks_for_rest(self) -> None:
        """Guards against an engine that is sent requests in the time of rest that it asked for."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await rest_under(bed, runners[:1], Load(short_prompt, 90, LENGTH_S))
        self.assertEqual(in_rest(runners[0]), [])

    @virtual
    async def test_plain_runner_asks_for_rest(self) -> None:
        """Guards against a plain runner that is sent requests in the time of rest that it asked for."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await rest_under(bed, runners[:1], Load(fetch, 90, LENGTH_S))
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_reader_asks_for_rest(self) -> None:
        """Guards against prompts that are read apart, and memory that is freed, at an engine that rests."""
        runners = engines(0, 4)
        load = Load(partial(asked_prompt, '/verdict/a', 3000), 40, LENGTH_S)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await rest_under(bed, runners[-1:], load)
        self.assertTrue(runners[-1].told)
        self.assertEqual(in_rest(runners[-1], AT_ONCE_S, 0), [])

    @virtual
    async def test_second_steps_at_an_engine_that_rests(self) -> None:
        """Guards against second steps that were planned at an engine before it asked for rest."""
        runners = engines(0, 4)
        load = Load(partial(asked_prompt, '/tag/a', 3000), 60, LENGTH_S)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await rest_under(bed, runners[:1], load)
        self.assertTrue(runners[0].told)
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_looks_at_memory(self) -> None:
        """Guards against a rest that is asked for in answer to a look at an engine's memory, and not heard there."""
        runners = engines(0, 4)
        runners[0].tells_kept = False
        runners[0].asks_rest = (REST,)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await send(bed, Random(1), Load(short_prompt, 90, 2))
        self.assertEqual(len({told.sender for told in runners[0].told}), FRONTS)
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_shorter_and_longer_ones(self) -> None:
        """Guards against a later word that shortens a rest."""
        runners = plain_runners(0, 4)
        runners[0].faults.rejects = True
        runners[0].asks_rest = (b'1', b'5', b'2')
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await send(bed, Random(1), Load(fetch, 90, LENGTH_S))
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_starts_again(self) -> None:
        """Guards against a rest that stays with a runner which has started again under its key."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            runners[0].faults.rejects = True
            runners[0].asks_rest = (b'86400',)
            await send(bed, Random(1), Load(fetch, 90, 1))
            runners[0].faults.rejects = False
            runners[0].start_again(1_700_000_000_000)
            bed.store.put('keyed.servers', runners[0].key, runners[0].record)
            await trio.sleep(1)
            since = trio.current_time()
            await send(bed, Random(2), Load(fetch, 90, 2))
        self.assertGreater(runners[0].arrived(since, math.inf), 20)

    @virtual
    async def test_sent_back_by_a_hundred_at_a_time(self) -> None:
        """Guards against requests that wait for connections when the first of them is turned away."""
        runners = plain_runners(0, 2)
        async with running_bed(configuration(), runners, fronts=1) as bed:
            await send(bed, Random(1), Load(fetch, 60, 1))
            runners[0].faults.rejects = True
            runners[0].asks_rest = (REST,)
            bed.network.connect_s = SLOW_CONNECT_S
            await send(bed, Random(2), Load(fetch, 1000, 0.2))
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])


class AfterRestTest(TestCase):
    """What becomes of a rest that is over."""

    @virtual
    async def test_filled_gradually(self) -> None:
        """Guards against all that has waited, which comes at the moment a rest is over and is turned away again."""
        runners = plain_runners(0, 2)
        async with running_bed(configuration(), runners, fronts=1) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(fetch, 20, 0.5))
            ask_for_rest(runners, b'1')
            await send(bed, Random(2), Load(fetch, 20, 0.5))
            end_rest(runners)
            asked_at = max(told.at for one in runners for told in one.told)
            await send(bed, Random(3), Load(fetch, 300, 4))
        first = [one.arrived(asked_at, asked_at + 1 + FIRST_S) for one in runners]
        last = [one.arrived(began + 4, began + 5) for one in runners]
        self.assertLessEqual(max(first), FEW)
        self.assertGreater(min(last), 100)

    @virtual
    async def test_waits_for_an_end_in_time(self) -> None:
        """Guards against refusals of requests that could be on time once a short rest is over."""
        runners = plain_runners(0, 1)
        async with running_bed(configuration(), runners, fronts=1) as bed:
            await send(bed, Random(1), Load(fetch, 20, 0.5))
            runners[0].faults.rejects = True
            runners[0].asks_rest = (b'0.1',)
            await bed.caller('front-1').ask(fetch())
            runners[0].faults.rejects = False
            seen = await bed.caller('front-1').ask(fetch())
        self.assertEqual(seen.status, GOOD)
        self.assertLess(seen.took_s, ON_TIME_S)


class AllRestTest(TestCase):
    """What callers get while all runners of a service rest."""

    @virtual
    async def test_refused_at_once(self) -> None:
        """Guards against callers that wait in vain, or come back all at the same time, while all runners rest."""
        for runners, load in ((plain_runners(0, 2), patient_fetch), (engines(0, 2), patient_prompt)):
            with self.subTest(load=load):
                seen, came = await self._all_rest(runners, load)
                self.assertEqual({one.status for one in seen}, {NOT_RUN})
                self.assertLess(max(one.took_s for one in seen), AT_ONCE_S)
                self.assertEqual(came, 0)
                self.assertGreater(len({one.retry_after_s for one in seen}), len(seen) / 2)
                self.assertGreater(min(one.retry_after_s or 0 for one in seen), EARLIEST_S)

    async def _all_rest(self, runners: list[RunnerStandIn], load: Callable[[], Asked]) -> tuple[list[Seen], int]:
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            ask_for_rest(runners, b'5')
            await send(bed, Random(1), Load(load, 60, 1))
            since = trio.current_time()
            seen = await send(bed, Random(2), Load(load, 60, 1))
        return seen, sum(one.arrived(since, math.inf) for one in runners)


class MalformedRestTest(TestCase):
    """Texts that ask for no rest."""

    @virtual
    async def test_malformed(self) -> None:
        """Guards against runners that are left out, or instances that fall over, for a text that names no time."""
        for text in (b'', b'0', b'-1', b'nan', b'inf', b'1e9', b'Thu, 03 Dec 2026 11:00:00 GMT', b'yes', b'\xff'):
            with self.subTest(text=text):
                self.assertGreater(await self._came_after((text,)), FEW)

    @virtual
    async def test_long_ones(self) -> None:
        """Guards against a rest of a day or more that is not kept as long as its runner lives."""
        for texts in ((b'86400',), (b'9' * 400,), (b'nan', b'86400', b'-1')):
            with self.subTest(texts=texts):
                self.assertEqual(await self._came_after(texts), 0)

    async def _came_after(self, texts: tuple[bytes, ...]) -> int:
        runners = plain_runners(0, 2)
        async with running_bed(configuration(), runners, fronts=2) as bed:
            runners[0].faults.rejects = True
            runners[0].asks_rest = texts
            await send(bed, Random(1), Load(fetch, 60, 0.5))
            runners[0].faults.rejects = False
            await trio.sleep(MAX_OUT_S)
            since = trio.current_time()
            seen = await send(bed, Random(2), Load(fetch, 60, 1.5))
        self.assertEqual({one.status for one in seen}, {GOOD})
        return runners[0].arrived(since, math.inf)


class HintTest(TestCase):
    """What the others make of a rest that one instance was asked for."""

    @virtual
    async def test_others_ask_elsewhere(self) -> None:
        """Guards against a request of each instance to an engine that turns all away."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await rest_under(bed, runners[:1], Load(short_prompt, 90, LENGTH_S / 2))
        first = runners[0].told[0].at
        self.assertLess(sum(told.at < first + float(REST) for told in runners[0].told), FRONTS)

    @virtual
    async def test_asked_where_no_other_is_there(self) -> None:
        """Guards against callers that are refused for a rest that was asked of another instance."""
        runners = plain_runners(0, 1)
        async with running_bed(configuration(), runners, fronts=2) as bed:
            await send(bed, Random(1), Load(fetch, 20, 0.5))
            ask_for_rest(runners, REST)
            await bed.caller('front-1').ask(fetch())
            end_rest(runners)
            await trio.sleep(AT_ONCE_S)
            seen = await bed.caller('front-2').ask(fetch())
        self.assertEqual(seen.status, GOOD)

    @virtual
    async def test_hint_ends(self) -> None:
        """Guards against a runner that is left out by the others after the rest of one."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            await rest_under(bed, runners[:1], Load(fetch, 90, 1.5))
            end_rest(runners)
            await trio.sleep(float(REST))
            since = trio.current_time()
            await send(bed, Random(2), Load(fetch, 90, 2))
        self.assertGreater(runners[0].arrived(since, math.inf), 20)
