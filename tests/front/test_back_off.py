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

from sesamepoint_core.fleet_health.half_open import MAX_EJECTION_S
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.status_bounds import back_off_violations
from tests.front.builders import configuration, new_prompt_request, new_request
from tests.front.limited_runners import FRONTS, Load, engines, plain_request, plain_runners, send, short_prompt
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec
    from sesamepoint_standins.platform.runner import RunnerStandIn

BACK_OFF_HEADER = b'3'
DURATION_S = 8.0
# Time for requests in flight: nothing may arrive later than this after the head of the answer
# that asks for back-off, in seconds.
IMMEDIATE_S = 0.02
# Time to connect in seconds, longer than an answer takes.
SLOW_CONNECT_S = 0.1
# Within this many seconds after a back-off at most this many of hundreds of waiting requests
# may arrive.
AFTER_BACK_OFF_S = 0.2
FEW_REQUESTS = 8
# Target latency of the route.
TARGET_LATENCY_S = 0.25
LONG_DEADLINE_S = 60.0
# At most 2 s of the 5 s of back-off have passed when the last request is refused.
MIN_RETRY_AFTER_S = 2.9
STATUS_OK = 200
STATUS_NOT_RUN = 503


async def back_off_under_load(bench: PlatformBench, runners: list[RunnerStandIn], load: Load) -> None:
    """Send ``load``, and have ``runners`` reject all requests and ask for back-off from its second second on."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bench, Random(1), load)
        await trio.sleep(1)
        start_back_off(runners, BACK_OFF_HEADER)


def start_back_off(runners: list[RunnerStandIn], text: bytes) -> None:
    """Have ``runners`` reject all requests and ask for back-off by a header with ``text``."""
    for runner in runners:
        runner.faults.rejects = True
        runner.back_off_headers = (text,)


def stop_rejecting(runners: list[RunnerStandIn]) -> None:
    """Have ``runners`` accept requests again."""
    for runner in runners:
        runner.faults.rejects = False


def long_deadline_plain_request() -> RequestSpec:
    """Return a plain request whose deadline leaves time for a retry after the back-off."""
    return new_request('/thumb/a', deadline_s=LONG_DEADLINE_S)


def long_deadline_prompt() -> RequestSpec:
    """Return a prompt whose deadline leaves time for a retry after the back-off."""
    return new_prompt_request('/tag/a', deadline_s=LONG_DEADLINE_S)


class BackOffTest(TestCase):
    """Requests that reach a runner during a back-off."""

    @in_virtual_time
    async def test_engine_back_off(self) -> None:
        """Guard against requests to an engine during the back-off that it asked for."""
        runners = engines(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await back_off_under_load(bench, runners[:1], Load(short_prompt, 90, DURATION_S))
        self.assertEqual(back_off_violations(runners[0]), [])

    @in_virtual_time
    async def test_plain_runner_back_off(self) -> None:
        """Guard against requests to a plain runner during the back-off that it asked for."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await back_off_under_load(bench, runners[:1], Load(plain_request, 90, DURATION_S))
        self.assertEqual(back_off_violations(runners[0], IMMEDIATE_S, 0), [])

    @in_virtual_time
    async def test_prefill_engine_back_off(self) -> None:
        """Guard against remote prefills and calls to free memory at an engine during a back-off."""
        runners = engines(0, 4)
        load = Load(partial(new_prompt_request, '/verdict/a', 3000), 40, DURATION_S)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await back_off_under_load(bench, runners[-1:], load)
        self.assertTrue(runners[-1].status_reports)
        self.assertEqual(back_off_violations(runners[-1], IMMEDIATE_S, 0), [])

    @in_virtual_time
    async def test_planned_decode_steps(self) -> None:
        """Guard against decode steps at an engine during a back-off that were planned before it."""
        runners = engines(0, 4)
        load = Load(partial(new_prompt_request, '/tag/a', 3000), 60, DURATION_S)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await back_off_under_load(bench, runners[:1], load)
        self.assertTrue(runners[0].status_reports)
        self.assertEqual(back_off_violations(runners[0], IMMEDIATE_S, 0), [])

    @in_virtual_time
    async def test_back_off_in_inventory_answer(self) -> None:
        """Guard against an instance that ignores a back-off asked for in the answer to an inventory request."""
        runners = engines(0, 4)
        runners[0].serves_inventory = False
        runners[0].back_off_headers = (BACK_OFF_HEADER,)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(short_prompt, 90, 2))
        self.assertEqual(len({report.instance for report in runners[0].status_reports}), FRONTS)
        self.assertEqual(back_off_violations(runners[0], IMMEDIATE_S, 0), [])

    @in_virtual_time
    async def test_later_shorter_back_off(self) -> None:
        """Guard against a later answer with a shorter time that shortens a back-off."""
        runners = plain_runners(0, 4)
        runners[0].faults.rejects = True
        runners[0].back_off_headers = (b'1', b'5', b'2')
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(plain_request, 90, DURATION_S))
        self.assertEqual(back_off_violations(runners[0], IMMEDIATE_S, 0), [])

    @in_virtual_time
    async def test_restart_ends_back_off(self) -> None:
        """Guard against a back-off that still applies to a runner after its restart under the same key."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].faults.rejects = True
            runners[0].back_off_headers = (b'86400',)
            await send(bench, Random(1), Load(plain_request, 90, 1))
            runners[0].faults.rejects = False
            runners[0].restart(1_700_000_000_000)
            bench.store.put('keyed.servers', runners[0].key, runners[0].registration)
            await trio.sleep(1)
            since = trio.current_time()
            await send(bench, Random(2), Load(plain_request, 90, 2))
        self.assertGreater(runners[0].count_arrivals(since, math.inf), 20)

    @in_virtual_time
    async def test_requests_waiting_for_connections(self) -> None:
        """Guard against sends of requests that wait for a connection when their runner asks for back-off."""
        runners = plain_runners(0, 2)
        async with open_bench(configuration(), runners, fronts=1) as bench:
            await send(bench, Random(1), Load(plain_request, 60, 1))
            runners[0].faults.rejects = True
            runners[0].back_off_headers = (BACK_OFF_HEADER,)
            bench.network.connect_delay_s = SLOW_CONNECT_S
            await send(bench, Random(2), Load(plain_request, 1000, 0.2))
        self.assertEqual(back_off_violations(runners[0], IMMEDIATE_S, 0), [])


class AfterBackOffTest(TestCase):
    """Requests at the end of a back-off."""

    @in_virtual_time
    async def test_load_grows_gradually(self) -> None:
        """Guard against all waiting requests being sent the moment a back-off ends, and being rejected again."""
        runners = plain_runners(0, 2)
        async with open_bench(configuration(), runners, fronts=1) as bench:
            began_at = trio.current_time()
            await send(bench, Random(1), Load(plain_request, 20, 0.5))
            start_back_off(runners, b'1')
            await send(bench, Random(2), Load(plain_request, 20, 0.5))
            stop_rejecting(runners)
            last_asked_at = max(report.reported_at for one in runners for report in one.status_reports)
            await send(bench, Random(3), Load(plain_request, 300, 4))
        first = [one.count_arrivals(last_asked_at, last_asked_at + 1 + AFTER_BACK_OFF_S) for one in runners]
        last = [one.count_arrivals(began_at + 4, began_at + 5) for one in runners]
        self.assertLessEqual(max(first), FEW_REQUESTS)
        self.assertGreater(min(last), 100)

    @in_virtual_time
    async def test_waits_for_short_back_off(self) -> None:
        """Guard against refusals of requests that can still be on time after a short back-off."""
        runners = plain_runners(0, 1)
        async with open_bench(configuration(), runners, fronts=1) as bench:
            await send(bench, Random(1), Load(plain_request, 20, 0.5))
            runners[0].faults.rejects = True
            runners[0].back_off_headers = (b'0.1',)
            await bench.new_caller('front-1').send(plain_request())
            runners[0].faults.rejects = False
            answer = await bench.new_caller('front-1').send(plain_request())
        self.assertEqual(answer.status, STATUS_OK)
        self.assertLess(answer.took_s, TARGET_LATENCY_S)


class AllBackOffTest(TestCase):
    """Answers to callers while all runners of a service back off."""

    @in_virtual_time
    async def test_refused_at_once(self) -> None:
        """Guard against callers that wait in vain, or all retry at the same time, while all runners back off."""
        for runners, load in (
            (plain_runners(0, 2), long_deadline_plain_request),
            (engines(0, 2), long_deadline_prompt),
        ):
            with self.subTest(load=load):
                answers, arrived = await self._send_while_all_back_off(runners, load)
                self.assertEqual({one.status for one in answers}, {STATUS_NOT_RUN})
                self.assertLess(max(one.took_s for one in answers), IMMEDIATE_S)
                self.assertEqual(arrived, 0)
                self.assertGreater(len({one.retry_after_s for one in answers}), len(answers) / 2)
                self.assertGreater(min(one.retry_after_s or 0 for one in answers), MIN_RETRY_AFTER_S)

    async def _send_while_all_back_off(
        self, runners: list[RunnerStandIn], build_request: Callable[[], RequestSpec]
    ) -> tuple[list[CallerAnswer], int]:
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            start_back_off(runners, b'5')
            await send(bench, Random(1), Load(build_request, 60, 1))
            since = trio.current_time()
            answers = await send(bench, Random(2), Load(build_request, 60, 1))
        return answers, sum(one.count_arrivals(since, math.inf) for one in runners)


class BackOffValueTest(TestCase):
    """Unusual texts in the back-off header."""

    @in_virtual_time
    async def test_malformed_values(self) -> None:
        """Guard against ejected runners, or instances that fail, because of a text that is not a time."""
        for text in (b'', b'0', b'-1', b'nan', b'inf', b'1e9', b'Thu, 03 Dec 2026 11:00:00 GMT', b'yes', b'\xff'):
            with self.subTest(text=text):
                self.assertGreater(await self._requests_after_back_off((text,)), FEW_REQUESTS)

    @in_virtual_time
    async def test_long_values(self) -> None:
        """Guard against a back-off of a day or more that ends before its runner does."""
        for texts in ((b'86400',), (b'9' * 400,), (b'nan', b'86400', b'-1')):
            with self.subTest(texts=texts):
                self.assertEqual(await self._requests_after_back_off(texts), 0)

    async def _requests_after_back_off(self, texts: tuple[bytes, ...]) -> int:
        runners = plain_runners(0, 2)
        async with open_bench(configuration(), runners, fronts=2) as bench:
            runners[0].faults.rejects = True
            runners[0].back_off_headers = texts
            await send(bench, Random(1), Load(plain_request, 60, 0.5))
            runners[0].faults.rejects = False
            await trio.sleep(MAX_EJECTION_S)
            since = trio.current_time()
            answers = await send(bench, Random(2), Load(plain_request, 60, 1.5))
        self.assertEqual({one.status for one in answers}, {STATUS_OK})
        return runners[0].count_arrivals(since, math.inf)


class PeerBackOffTest(TestCase):
    """Other instances during a back-off that one instance was asked for."""

    @in_virtual_time
    async def test_peers_choose_other_runners(self) -> None:
        """Guard against every instance sending a request to an engine that rejects all, because only one knows."""
        runners = engines(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await back_off_under_load(bench, runners[:1], Load(short_prompt, 90, DURATION_S / 2))
        first_at = runners[0].status_reports[0].reported_at
        self.assertLess(
            sum(report.reported_at < first_at + float(BACK_OFF_HEADER) for report in runners[0].status_reports), FRONTS
        )

    @in_virtual_time
    async def test_only_runner_used_despite_peer_back_off(self) -> None:
        """Guard against refusals by an instance that was not asked for back-off itself and has only this runner."""
        runners = plain_runners(0, 1)
        async with open_bench(configuration(), runners, fronts=2) as bench:
            await send(bench, Random(1), Load(plain_request, 20, 0.5))
            start_back_off(runners, BACK_OFF_HEADER)
            await bench.new_caller('front-1').send(plain_request())
            stop_rejecting(runners)
            await trio.sleep(IMMEDIATE_S)
            answer = await bench.new_caller('front-2').send(plain_request())
        self.assertEqual(answer.status, STATUS_OK)

    @in_virtual_time
    async def test_peer_back_off_ends(self) -> None:
        """Guard against a runner that other instances exclude after the back-off of one instance has ended."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await back_off_under_load(bench, runners[:1], Load(plain_request, 90, 1.5))
            stop_rejecting(runners)
            await trio.sleep(float(BACK_OFF_HEADER))
            since = trio.current_time()
            await send(bench, Random(2), Load(plain_request, 90, 2))
        self.assertGreater(runners[0].count_arrivals(since, math.inf), 20)
