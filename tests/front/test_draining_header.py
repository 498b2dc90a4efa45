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

from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.status_bounds import draining_violations
from tests.front.builders import configuration, new_prompt_request
from tests.front.limited_runners import FRONTS, Load, engines, plain_request, plain_runners, send, short_prompt
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec
    from sesamepoint_standins.platform.runner import RunnerStandIn

DRAINING_HEADER = (b'1',)
# Load runs so long before the store goes down, and the store is down so long before the runner drains, in seconds.
OUTAGE_LEAD_S = 1.0
DURATION_S = 6.0
# Requests in flight when the head of the answer arrives may still reach the runner, within so many seconds.
IMMEDIATE_S = 0.02
# Time until its peers know of a new instance and have sent it the runner statuses, in seconds.
JOIN_S = 1.5
# Time until a lost announcement has been sent again, in seconds.
RESEND_S = 1.5
# Time until a runner without a registration is dropped, in seconds.
REGISTRATION_EXPIRY_S = 3.0
STATUS_OK = 200
STATUS_NOT_RUN = 503


async def drain_during_outage(bench: PlatformBench, runner: RunnerStandIn, load: Load) -> None:
    """Under ``load``, take the store down, then have ``runner`` announce that it is draining."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, bench, Random(1), load)
        await trio.sleep(OUTAGE_LEAD_S)
        bench.store.unavailable = True
        await trio.sleep(OUTAGE_LEAD_S)
        runner.draining_headers = DRAINING_HEADER


class DrainingTest(TestCase):
    """Requests that reach a runner after it has announced in an answer that it is draining."""

    @in_virtual_time
    async def test_engine_during_store_outage(self) -> None:
        """Guards against requests to an engine after it announced that it is draining."""
        runners = engines(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await drain_during_outage(bench, runners[0], Load(short_prompt, 90, DURATION_S))
        self.assertEqual(draining_violations(runners[0]), [])

    @in_virtual_time
    async def test_plain_runner_during_store_outage(self) -> None:
        """Guards against requests to a plain runner after it announced that it is draining."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await drain_during_outage(bench, runners[0], Load(plain_request, 90, DURATION_S))
        self.assertEqual(draining_violations(runners[0]), [])


class DrainingSendsTest(TestCase):
    """Kinds of sends, and states of the system, in which the draining header could be missed."""

    @in_virtual_time
    async def test_prefill_engine_during_store_outage(self) -> None:
        """Guards against remote prefills, and calls that free memory, at an engine that is draining."""
        runners = engines(0, 4)
        prefill_engine = runners[-1]
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await drain_during_outage(
                bench, prefill_engine, Load(partial(new_prompt_request, '/verdict/a', 3000), 40, DURATION_S)
            )
        self.assertTrue(prefill_engine.status_reports)
        self.assertEqual(draining_violations(prefill_engine, IMMEDIATE_S), [])

    @in_virtual_time
    async def test_decode_steps_and_retries(self) -> None:
        """Guards against decode steps and retries that were planned at an engine before it began to drain."""
        runners = engines(0, 4)
        for runner in runners:
            runner.faults.loses = 0.3
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await drain_during_outage(
                bench, runners[0], Load(partial(new_prompt_request, '/tag/a', 3000), 60, DURATION_S)
            )
        self.assertTrue(runners[0].status_reports)
        self.assertEqual(draining_violations(runners[0], IMMEDIATE_S), [])

    @in_virtual_time
    async def test_header_in_failed_answers(self) -> None:
        """Guards against a draining header that is read in successful answers only."""
        runners = plain_runners(0, 4)
        runners[0].faults.fails = True
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await drain_during_outage(bench, runners[0], Load(plain_request, 90, DURATION_S))
        self.assertTrue(runners[0].status_reports)
        self.assertEqual(draining_violations(runners[0], IMMEDIATE_S), [])

    @in_virtual_time
    async def test_announced_to_peers(self) -> None:
        """Guards against instances that only learn of the drain from an answer to a request of their own."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            await drain_during_outage(bench, runners[0], Load(plain_request, 90, DURATION_S))
        first = min(answer.reported_at for answer in runners[0].status_reports)
        self.assertEqual([at for at in runners[0].arrivals if at > first + IMMEDIATE_S], [])

    @in_virtual_time
    async def test_announced_to_new_peers(self) -> None:
        """Guards against an instance that starts later and learns of the drain from a request of its own."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].draining_headers = DRAINING_HEADER
            await send(bench, Random(1), Load(plain_request, 90, 1))
            bench.add_front(FRONTS + 1)
            await bench.wait_until_ready()
            await trio.sleep(JOIN_S)
            since = trio.current_time()
            await send(bench, Random(2), Load(plain_request, 60, 2), [f'front-{FRONTS + 1}'])
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @in_virtual_time
    async def test_announcement_lost(self) -> None:
        """Guards against an announcement to peers that is sent once and lost."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            bench.network.drops_datagrams = True
            runners[0].draining_headers = DRAINING_HEADER
            await send(bench, Random(1), Load(plain_request, 90, 0.5), ['front-1'])
            bench.network.drops_datagrams = False
            await trio.sleep(RESEND_S)
            since = trio.current_time()
            await send(bench, Random(1), Load(plain_request, 90, 2))
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @in_virtual_time
    async def test_stale_registration(self) -> None:
        """Guards against a stale registration, read late or after a rollback of the store, that says ready."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].draining_headers = DRAINING_HEADER
            await send(bench, Random(1), Load(plain_request, 90, 1))
            bench.drop_registration(runners[0].key)
            await trio.sleep(REGISTRATION_EXPIRY_S)
            bench.store.put('keyed.servers', runners[0].key, runners[0].registration)
            await trio.sleep(1)
            since = trio.current_time()
            await send(bench, Random(2), Load(plain_request, 90, 2))
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @in_virtual_time
    async def test_answers_without_the_header(self) -> None:
        """Guards against ending the draining state because of answers without the header, made before it."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].draining_headers = DRAINING_HEADER
            await send(bench, Random(1), Load(plain_request, 90, 1))
            runners[0].draining_headers = ()
            since = trio.current_time()
            await send(bench, Random(2), Load(plain_request, 90, 2))
        self.assertEqual([at for at in runners[0].arrivals if at > since], [])

    @in_virtual_time
    async def test_restarted_runner(self) -> None:
        """Guards against a draining state that is kept for a runner restarted under the same key."""
        runners = plain_runners(0, 4)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            runners[0].draining_headers = DRAINING_HEADER
            await send(bench, Random(1), Load(plain_request, 90, 1))
            runners[0].draining_headers = ()
            runners[0].restart(1_700_000_000_000)
            bench.store.put('keyed.servers', runners[0].key, runners[0].registration)
            await trio.sleep(1)
            since = trio.current_time()
            await send(bench, Random(2), Load(plain_request, 90, 2))
        self.assertGreater(runners[0].count_arrivals(since, math.inf), 20)


class AllDrainingTest(TestCase):
    """What callers get while all runners of a service are draining."""

    @in_virtual_time
    async def test_refused_immediately(self) -> None:
        """Guards against requests that wait or are sent, rather than refused, while all runners are draining."""
        for runners, build_request in ((plain_runners(0, 2), plain_request), (engines(0, 2), short_prompt)):
            with self.subTest(load=build_request):
                seen, arrivals = await self._drain_all(runners, build_request)
                self.assertEqual({one.status for one in seen}, {STATUS_NOT_RUN})
                self.assertTrue(all(one.retry_after_s for one in seen))
                self.assertLess(max(one.took_s for one in seen), IMMEDIATE_S)
                self.assertEqual(arrivals, 0)

    async def _drain_all(
        self, runners: list[RunnerStandIn], build_request: Callable[[], RequestSpec]
    ) -> tuple[list[CallerAnswer], int]:
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            for runner in runners:
                runner.draining_headers = DRAINING_HEADER
            await send(bench, Random(1), Load(build_request, 60, 1))
            await trio.sleep(1)
            since = trio.current_time()
            seen = await send(bench, Random(2), Load(build_request, 60, 2))
        return seen, sum(one.count_arrivals(since, math.inf) for one in runners)


class MalformedHeaderTest(TestCase):
    """Draining headers with invalid or repeated values."""

    @in_virtual_time
    async def test_malformed(self) -> None:
        """Guards against excluding a runner or crashing an instance because of an invalid value."""
        for texts in ((b'',), (b'0',), (b'2',), (b'yes',), (b'0', b'0'), (b'9' * 400,), (b'\xff',)):
            with self.subTest(texts=texts):
                self.assertGreater(await self._requests_after(texts), 20)

    @in_virtual_time
    async def test_repeated_header(self) -> None:
        """Guards against ignoring a valid value that comes with an invalid one."""
        for texts in ((b'0', b'1'), (b'1', b'yes'), (b'1', b'1')):
            with self.subTest(texts=texts):
                self.assertEqual(await self._requests_after(texts), 0)

    async def _requests_after(self, texts: tuple[bytes, ...]) -> int:
        runners = plain_runners(0, 2)
        async with open_bench(configuration(), runners, fronts=2) as bench:
            runners[0].draining_headers = texts
            await send(bench, Random(1), Load(plain_request, 60, 0.5))
            since = trio.current_time()
            seen = await send(bench, Random(2), Load(plain_request, 60, 1.5))
        self.assertEqual({one.status for one in seen}, {STATUS_OK})
        return runners[0].count_arrivals(since, math.inf)
