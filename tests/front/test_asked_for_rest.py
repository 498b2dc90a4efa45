"""Back-off of instances from runners that reject requests and ask for it.

Seen once: an engine that had asked an instance for 3 s of back-off got 7 and 9 requests from it in that time.
The instance did not read the time that the engine named. It counted each rejection as a failure, and ejected
the engine for one second after three of them.
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
# Time for requests in flight: nothing may arrive later than this after the head of the answer
# that asks for back-off, in seconds.
AT_ONCE_S = 0.02
# Time to connect in seconds, longer than an answer takes.
SLOW_CONNECT_S = 0.1
# Within this many seconds after a back-off at most this many of hundreds of waiting requests
# may arrive.
FIRST_S = 0.2
FEW = 8
# Target latency of the route.
ON_TIME_S = 0.25
PATIENT_S = 60.0
# At most 2 s of the 5 s of back-off have passed when the last request is refused.
EARLIEST_S = 2.9
GOOD = 200
NOT_RUN = 503


async def rest_under(bed: PlatformBed, runners: list[RunnerStandIn], load: Load) -> None:
    """Send ``load``, and have ``runners`` reject all requests and ask for back-off from its second second on."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bed, Random(1), load)
        await trio.sleep(1)
        ask_for_rest(runners, REST)


def ask_for_rest(runners: list[RunnerStandIn], text: bytes) -> None:
    """Have ``runners`` reject all requests and ask for back-off by a header with ``text``."""
    for runner in runners:
        runner.faults.rejects = True
        runner.asks_rest = (text,)


def end_rest(runners: list[RunnerStandIn]) -> None:
    """Have ``runners`` accept requests again."""
    for runner in runners:
        runner.faults.rejects = False


def patient_fetch() -> Asked:
    """Return a plain request whose deadline leaves time for a retry after the back-off."""
    return asked('/thumb/a', deadline_s=PATIENT_S)


def patient_prompt() -> Asked:
    """Return a prompt whose deadline leaves time for a retry after the back-off."""
    return asked_prompt('/tag/a', deadline_s=PATIENT_S)


class RestTest(TestCase):
    """Requests that reach a runner during a back-off."""

    @virtual
    async def test_engine_asks_for_rest(self) -> None:
        """Guard against requests to an engine during the back-off that it asked for."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await rest_under(bench, runners[:1], Load(short_prompt, 90, LENGTH_S))
        self.assertEqual(in_rest(runners[0]), [])

    @virtual
    async def test_plain_runner_asks_for_rest(self) -> None:
        """Guard against requests to a plain runner during the back-off that it asked for."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await rest_under(bench, runners[:1], Load(fetch, 90, LENGTH_S))
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_reader_asks_for_rest(self) -> None:
        """Guard against remote prefills and calls to free memory at an engine during a back-off."""
        runners = engines(0, 4)
        load = Load(partial(asked_prompt, '/verdict/a', 3000), 40, LENGTH_S)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await rest_under(bench, runners[-1:], load)
        self.assertTrue(runners[-1].told)
        self.assertEqual(in_rest(runners[-1], AT_ONCE_S, 0), [])

    @virtual
    async def test_second_steps_at_an_engine_that_rests(self) -> None:
        """Guard against decode steps at an engine during a back-off that were planned before it."""
        runners = engines(0, 4)
        load = Load(partial(asked_prompt, '/tag/a', 3000), 60, LENGTH_S)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await rest_under(bench, runners[:1], load)
        self.assertTrue(runners[0].told)
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_looks_at_memory(self) -> None:
        """Guard against an instance that ignores a back-off asked for in the answer to an inventory request."""
        runners = engines(0, 4)
        runners[0].tells_kept = False
        runners[0].asks_rest = (REST,)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(short_prompt, 90, 2))
        self.assertEqual(len({report.sender for report in runners[0].told}), FRONTS)
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_shorter_and_longer_ones(self) -> None:
        """Guard against a later answer with a shorter time that shortens a back-off."""
        runners = plain_runners(0, 4)
        runners[0].faults.rejects = True
        runners[0].asks_rest = (b'1', b'5', b'2')
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(fetch, 90, LENGTH_S))
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])

    @virtual
    async def test_starts_again(self) -> None:
        """Guard against a back-off that still applies to a runner after its restart under the same key."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].faults.rejects = True
            runners[0].asks_rest = (b'86400',)
            await send(bench, Random(1), Load(fetch, 90, 1))
            runners[0].faults.rejects = False
            runners[0].start_again(1_700_000_000_000)
            bench.store.put('keyed.servers', runners[0].key, runners[0].record)
            await trio.sleep(1)
            since = trio.current_time()
            await send(bench, Random(2), Load(fetch, 90, 2))
        self.assertGreater(runners[0].arrived(since, math.inf), 20)

    @virtual
    async def test_sent_back_by_a_hundred_at_a_time(self) -> None:
        """Guard against sends of requests that wait for a connection when their runner asks for back-off."""
        runners = plain_runners(0, 2)
        async with running_bed(configuration(), runners, fronts=1) as bench:
            await send(bench, Random(1), Load(fetch, 60, 1))
            runners[0].faults.rejects = True
            runners[0].asks_rest = (REST,)
            bench.network.connect_s = SLOW_CONNECT_S
            await send(bench, Random(2), Load(fetch, 1000, 0.2))
        self.assertEqual(in_rest(runners[0], AT_ONCE_S, 0), [])


class AfterRestTest(TestCase):
    """Requests at the end of a back-off."""

    @virtual
    async def test_filled_gradually(self) -> None:
        """Guard against all waiting requests being sent the moment a back-off ends, and being rejected again."""
        runners = plain_runners(0, 2)
        async with running_bed(configuration(), runners, fronts=1) as bench:
            began_at = trio.current_time()
            await send(bench, Random(1), Load(fetch, 20, 0.5))
            ask_for_rest(runners, b'1')
            await send(bench, Random(2), Load(fetch, 20, 0.5))
            end_rest(runners)
            last_asked_at = max(report.at for one in runners for report in one.told)
            await send(bench, Random(3), Load(fetch, 300, 4))
        first = [one.arrived(last_asked_at, last_asked_at + 1 + FIRST_S) for one in runners]
        last = [one.arrived(began_at + 4, began_at + 5) for one in runners]
        self.assertLessEqual(max(first), FEW)
        self.assertGreater(min(last), 100)

    @virtual
    async def test_waits_for_an_end_in_time(self) -> None:
        """Guard against refusals of requests that can still be on time after a short back-off."""
        runners = plain_runners(0, 1)
        async with running_bed(configuration(), runners, fronts=1) as bench:
            await send(bench, Random(1), Load(fetch, 20, 0.5))
            runners[0].faults.rejects = True
            runners[0].asks_rest = (b'0.1',)
            await bench.caller('front-1').ask(fetch())
            runners[0].faults.rejects = False
            answer = await bench.caller('front-1').ask(fetch())
        self.assertEqual(answer.status, GOOD)
        self.assertLess(answer.took_s, ON_TIME_S)


class AllRestTest(TestCase):
    """Answers to callers while all runners of a service back off."""

    @virtual
    async def test_refused_at_once(self) -> None:
        """Guard against callers that wait in vain, or all retry at the same time, while all runners back off."""
        for runners, load in ((plain_runners(0, 2), patient_fetch), (engines(0, 2), patient_prompt)):
            with self.subTest(load=load):
                answers, arrived = await self._all_rest(runners, load)
                self.assertEqual({one.status for one in answers}, {NOT_RUN})
                self.assertLess(max(one.took_s for one in answers), AT_ONCE_S)
                self.assertEqual(arrived, 0)
                self.assertGreater(len({one.retry_after_s for one in answers}), len(answers) / 2)
                self.assertGreater(min(one.retry_after_s or 0 for one in answers), EARLIEST_S)

    async def _all_rest(self, runners: list[RunnerStandIn], load: Callable[[], Asked]) -> tuple[list[Seen], int]:
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            ask_for_rest(runners, b'5')
            await send(bench, Random(1), Load(load, 60, 1))
            since = trio.current_time()
            answers = await send(bench, Random(2), Load(load, 60, 1))
        return answers, sum(one.arrived(since, math.inf) for one in runners)


class MalformedRestTest(TestCase):
    """Unusual texts in the back-off header."""

    @virtual
    async def test_malformed(self) -> None:
        """Guard against ejected runners, or instances that fail, because of a text that is not a time."""
        for text in (b'', b'0', b'-1', b'nan', b'inf', b'1e9', b'Thu, 03 Dec 2026 11:00:00 GMT', b'yes', b'\xff'):
            with self.subTest(text=text):
                self.assertGreater(await self._came_after((text,)), FEW)

    @virtual
    async def test_long_ones(self) -> None:
        """Guard against a back-off of a day or more that ends before its runner does."""
        for texts in ((b'86400',), (b'9' * 400,), (b'nan', b'86400', b'-1')):
            with self.subTest(texts=texts):
                self.assertEqual(await self._came_after(texts), 0)

    async def _came_after(self, texts: tuple[bytes, ...]) -> int:
        runners = plain_runners(0, 2)
        async with running_bed(configuration(), runners, fronts=2) as bench:
            runners[0].faults.rejects = True
            runners[0].asks_rest = texts
            await send(bench, Random(1), Load(fetch, 60, 0.5))
            runners[0].faults.rejects = False
            await trio.sleep(MAX_OUT_S)
            since = trio.current_time()
            answers = await send(bench, Random(2), Load(fetch, 60, 1.5))
        self.assertEqual({one.status for one in answers}, {GOOD})
        return runners[0].arrived(since, math.inf)


class HintTest(TestCase):
    """Other instances during a back-off that one instance was asked for."""

    @virtual
    async def test_others_ask_elsewhere(self) -> None:
        """Guard against every instance sending a request to an engine that rejects all, because only one knows."""
        runners = engines(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await rest_under(bench, runners[:1], Load(short_prompt, 90, LENGTH_S / 2))
        first_at = runners[0].told[0].at
        self.assertLess(sum(report.at < first_at + float(REST) for report in runners[0].told), FRONTS)

    @virtual
    async def test_asked_where_no_other_is_there(self) -> None:
        """Guard against refusals by an instance that was not asked for back-off itself and has only this runner."""
        runners = plain_runners(0, 1)
        async with running_bed(configuration(), runners, fronts=2) as bench:
            await send(bench, Random(1), Load(fetch, 20, 0.5))
            ask_for_rest(runners, REST)
            await bench.caller('front-1').ask(fetch())
            end_rest(runners)
            await trio.sleep(AT_ONCE_S)
            answer = await bench.caller('front-2').ask(fetch())
        self.assertEqual(answer.status, GOOD)

    @virtual
    async def test_hint_ends(self) -> None:
        """Guard against a runner that other instances exclude after the back-off of one instance has ended."""
        runners = plain_runners(0, 4)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            await rest_under(bench, runners[:1], Load(fetch, 90, 1.5))
            end_rest(runners)
            await trio.sleep(float(REST))
            since = trio.current_time()
            await send(bench, Random(2), Load(fetch, 90, 2))
        self.assertGreater(runners[0].arrived(since, math.inf), 20)
