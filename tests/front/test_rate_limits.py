"""Rate limits that runners report in their answers, with several instances.

Guards against a reported limit that instances ignore: two of four engines reported 6.9 and 6.4
requests/s, and received 74 and 80 in 4 s, since the header was passed to the caller and not read.
"""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import msgspec
import trio

from sesamepoint_core.runner_limit.messages import Rank
from sesamepoint_core.runner_limit.share_lender import IDLE_RANK
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.limit_bound import LIMIT_KNOWN_S, max_requests
from tests.front.builders import configuration, new_prompt_request, new_request, plain_runner, route
from tests.front.burst import LONG_TARGET_S, long_prompt
from tests.front.limited_runners import (
    FRONTS,
    LIMIT,
    Load,
    engines,
    plain_request,
    runners_with_limit,
    max_in_span,
    change_limit,
    plain_runners,
    send,
    short_prompt,
    used_share,
)
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import RequestSpec

MIN_USED_SHARE = 0.9
# A limit doubles in the first second after its end, and some requests still wait from before.
MAX_FACTOR_AFTER_END = 3
MAX_IMMEDIATE_S = 0.05
# This share of the refused requests is refused immediately. The others were queued and
# waited too long; half of their time is left when they are refused.
MIN_SHARE = 0.75
MAX_REFUSAL_S = 0.5
DURATION_S = 8.0
STATUS_NOT_RUN = 503
STATUS_OK = 200
# Header values that are no valid limit.
MALFORMED_LIMITS = (b'', b'-1', b'abc', b'inf', b'nan', b'1e9', b'9' * 400)


def remote_prefill_prompt() -> RequestSpec:
    """Return a request whose prompt goes to a prefill engine first."""
    return new_prompt_request('/verdict/a', 3000)


def urgent_plain_request() -> RequestSpec:
    """Return a request of the route with the highest priority."""
    return new_request('/urgent/a')


async def vary_limits(bench: PlatformBench) -> None:
    """Change the limit of runners 100 times, evenly over the duration of the load."""
    for step in range(100):
        change_limit(runners_with_limit(bench), f'{5 + step % 2}.{step % 10}'.encode())
        await trio.sleep(DURATION_S / 100)


async def max_with_first_answers(bench: PlatformBench, load: Load) -> float:
    """Send ``load`` and return the most requests that a limited runner got in a span once its limit must be known."""
    began = trio.current_time()
    await send(bench, Random(1), load)
    return max_in_span(bench, began + LIMIT_KNOWN_S)


class RateLimitTest(TestCase):
    """The rate at which all instances together send to runners with a limit."""

    @in_virtual_time
    async def test_two_of_four_engines_limited(self) -> None:
        """Guards against engines that receive more than their reported limit."""
        async with open_bench(configuration(), [*engines(2, 2), plain_runner(1)], fronts=FRONTS) as bench:
            most_received = await max_with_first_answers(bench, Load(short_prompt, 90, 10))
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_two_of_four_plain_runners_limited(self) -> None:
        """Guards against plain runners that receive more than their reported limit."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            most_received = await max_with_first_answers(bench, Load(plain_request, 90, 10))
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_prefill_engines_limited(self) -> None:
        """Guards against remote prefills and decode steps that ignore the limit."""
        runners = engines(2, 2)
        change_limit(runners, LIMIT)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            most_received = await max_with_first_answers(bench, Load(remote_prefill_prompt, 40, DURATION_S))
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_retries_to_runners_with_limits(self) -> None:
        """Guards against retries that ignore the limit."""
        runners = plain_runners(2, 2)
        for runner in runners:
            runner.faults.loses = 0.3
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            most_received = await max_with_first_answers(bench, Load(plain_request, 60, DURATION_S))
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_limit_falls_under_load(self) -> None:
        """Guards against requests that were queued or admitted before the limit fell and are sent afterwards."""
        async with open_bench(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            change_limit(runners_with_limit(bench), b'40')
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(plain_request, 120, 2 * DURATION_S))
                await trio.sleep(DURATION_S)
                change_limit(runners_with_limit(bench), b'2')
            fell_at = began + DURATION_S
            found = max_in_span(bench, fell_at + LIMIT_KNOWN_S + 1)
        self.assertLessEqual(found, max_requests(2))

    @in_virtual_time
    async def test_instance_started_later(self) -> None:
        """Guards against a new instance that sends without a limit until it knows one."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(plain_request, 60, DURATION_S))
            bench.add_front(FRONTS + 1)
            await bench.wait_until_ready()
            await send(bench, Random(2), Load(plain_request, 60, DURATION_S), [f'front-{FRONTS + 1}'])
            most_received = max_in_span(bench, began + LIMIT_KNOWN_S)
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_all_instances_replaced(self) -> None:
        """Guards against a burst when all instances were killed and their successors know no limit."""
        async with open_bench(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(plain_request, 60, DURATION_S))
            for killed in tuple(bench.fronts):
                bench.kill_front(killed)
                bench.fronts.pop(killed)
            for number in range(FRONTS):
                bench.add_front(FRONTS + number + 1)
            await bench.wait_until_ready()
            await send(bench, Random(2), Load(plain_request, 120, DURATION_S))
            most_received = max_in_span(bench, began + LIMIT_KNOWN_S)
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_instance_isolated_from_peers(self) -> None:
        """Guards against an instance that uses the whole limit while it is isolated from its peers."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            hosts = [front.cfg.host for front in bench.fronts.values()]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(plain_request, 90, 2 * DURATION_S))
                await trio.sleep(DURATION_S / 2)
                bench.network.cut_pairs.update(frozenset((hosts[0], other)) for other in hosts[1:])
                await trio.sleep(DURATION_S / 2)
                bench.network.cut_pairs.clear()
            most_received = max_in_span(bench, began + LIMIT_KNOWN_S)
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_datagrams_lost(self) -> None:
        """Guards against exceeding the limit when all datagrams between instances are lost."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            bench.network.drops_datagrams = True
            most_received = await max_with_first_answers(bench, Load(plain_request, 90, DURATION_S))
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))


class LimitUseTest(TestCase):
    """How much of a limit is used, and by which requests."""

    @in_virtual_time
    async def test_all_plain_runners_limited(self) -> None:
        """Guards against an unused limit, and against long waits before a refusal, when all runners have one."""
        async with open_bench(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            answers = await send(bench, Random(1), Load(plain_request, 60, DURATION_S))
            limit_use = used_share(bench, began + LIMIT_KNOWN_S, began + DURATION_S)
        self.assertGreaterEqual(limit_use, MIN_USED_SHARE)
        refused = [one for one in answers if one.status == STATUS_NOT_RUN]
        self.assertEqual(len(refused) + sum(one.status == STATUS_OK for one in answers), len(answers))
        immediate = sum(one.took_s < MAX_IMMEDIATE_S for one in refused)
        self.assertGreaterEqual(immediate, MIN_SHARE * len(refused))
        self.assertLess(max(one.took_s for one in refused), MAX_REFUSAL_S)
        self.assertTrue(all(one.retry_after_s for one in refused))

    @in_virtual_time
    async def test_all_engines_limited(self) -> None:
        """Guards against an unused limit of engines while callers are refused."""
        async with open_bench(configuration(), engines(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(short_prompt, 60, DURATION_S))
            limit_use = used_share(bench, began + LIMIT_KNOWN_S, began + DURATION_S)
        self.assertGreaterEqual(limit_use, MIN_USED_SHARE)

    @in_virtual_time
    async def test_large_prompts_prefilled_remotely(self) -> None:
        """Guards against small prompts that use up the limit of prefill engines before large prompts."""
        runners = engines(0, 4)
        change_limit(runners[-2:], LIMIT)
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(short_prompt, 75, DURATION_S))
                answers = await send(bench, Random(2), Load(partial(long_prompt, Random(7)), 9, DURATION_S))
            in_time_share = sum(one.status == STATUS_OK and one.first_byte_s <= LONG_TARGET_S for one in answers) / len(
                answers
            )
        self.assertGreaterEqual(in_time_share, MIN_SHARE)

    @in_virtual_time
    async def test_all_callers_at_one_instance(self) -> None:
        """Guards against shares of the limit that stay at instances without callers."""
        async with open_bench(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(plain_request, 60, DURATION_S), ['front-2'])
            limit_use = used_share(bench, began + LIMIT_KNOWN_S, began + DURATION_S)
        self.assertGreaterEqual(limit_use, MIN_USED_SHARE)

    @in_virtual_time
    async def test_unlimited_runners_take_over(self) -> None:
        """Guards against refusals while runners without a limit have capacity."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            answers = await send(bench, Random(1), Load(plain_request, 60, DURATION_S))
        self.assertEqual({one.status for one in answers}, {STATUS_OK})
        self.assertLess(max(one.took_s for one in answers), 0.2)

    @in_virtual_time
    async def test_urgent_requests_go_first(self) -> None:
        """Guards against permits in order of arrival instead of priority."""
        base = configuration()
        urgent = route('urgent', '/urgent/', 'web', 'idempotent', timeout_ms=1000, priority=0)
        routes = [{**base_route, 'priority': 3} for base_route in base['routes']]
        async with open_bench({**base, 'routes': [*routes, urgent]}, plain_runners(2), fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(plain_request, 60, LIMIT_KNOWN_S))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(2), Load(plain_request, 60, DURATION_S))
                answers = await send(bench, Random(3), Load(urgent_plain_request, 8, DURATION_S))
        self.assertGreaterEqual(
            sum(base_route.status == STATUS_OK for base_route in answers), MIN_USED_SHARE * len(answers)
        )

    @in_virtual_time
    async def test_limit_ends(self) -> None:
        """Guards against a runner that is excluded or overloaded once its limit has ended."""
        async with open_bench(configuration(), plain_runners(1, 3), fronts=FRONTS) as bench:
            runner = runners_with_limit(bench)[0]
            await send(bench, Random(1), Load(plain_request, 90, DURATION_S))
            runner.limit_headers = ()
            ended_at = trio.current_time()
            await send(bench, Random(2), Load(plain_request, 120, DURATION_S))
            in_first_second = runner.count_arrivals(ended_at, ended_at + 1)
            in_last_second = runner.count_arrivals(ended_at + DURATION_S - 1, ended_at + DURATION_S)
        self.assertLess(in_first_second, MAX_FACTOR_AFTER_END * float(LIMIT))
        self.assertGreater(in_last_second, 20)

    @in_virtual_time
    async def test_restarted_without_limit(self) -> None:
        """Guards against a limit that outlives the incarnation which reported it."""
        async with open_bench(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(plain_request, 60, LIMIT_KNOWN_S))
            for runner in bench.runners.values():
                runner.limit_headers = ()
                runner.restart(1_700_000_000_000)
                bench.store.put('keyed.servers', runner.key, runner.registration)
            await trio.sleep(1)
            answers = await send(bench, Random(2), Load(plain_request, 60, DURATION_S))
        self.assertEqual({one.status for one in answers}, {STATUS_OK})


class MalformedLimitTest(TestCase):
    """Limits that are malformed, extreme or change all the time."""

    @in_virtual_time
    async def test_malformed_first_limit(self) -> None:
        """Guards against instances that crash on a malformed limit."""
        for text in MALFORMED_LIMITS:
            with self.subTest(text=text):
                await self._check_served_without_limit((text,))

    @in_virtual_time
    async def test_last_valid_limit_kept(self) -> None:
        """Guards against a valid limit that is dropped when a malformed one follows."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(plain_request, 60, LIMIT_KNOWN_S))
            for runner, text in zip(runners_with_limit(bench), MALFORMED_LIMITS[2:], strict=False):
                runner.limit_headers = (text,)
            await send(bench, Random(1), Load(plain_request, 60, DURATION_S))
            most_received = max_in_span(bench, began + LIMIT_KNOWN_S)
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_several_limits_in_one_answer(self) -> None:
        """Guards against an exceeded limit when one answer holds several, of which one is malformed."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            for runner in runners_with_limit(bench):
                runner.limit_headers = (b'900', LIMIT, b'nan')
            most_received = await max_with_first_answers(bench, Load(plain_request, 60, DURATION_S))
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_limit_in_failed_answers(self) -> None:
        """Guards against ignoring a limit that only failed answers report."""
        runners = plain_runners(2, 2)
        for runner in runners:
            runner.faults.fails = True
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            most_received = await max_with_first_answers(bench, Load(plain_request, 60, DURATION_S))
        self.assertLessEqual(most_received, max_requests(float(LIMIT)))

    @in_virtual_time
    async def test_different_limit_in_each_answer(self) -> None:
        """Guards against crashes, or floods of datagrams, when the limit changes with each answer."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(plain_request, 60, DURATION_S))
                await vary_limits(bench)
            most_received = max_in_span(bench, began + LIMIT_KNOWN_S)
        self.assertLessEqual(most_received, max_requests(6.9))

    def test_rank_of_a_huge_prompt(self) -> None:
        """Guards against figures of a caller that make messages of an instance unreadable to its peers."""
        rank = Rank.of(10**9, 1e300)
        encoded = msgspec.msgpack.encode(rank)
        self.assertEqual(msgspec.msgpack.decode(encoded, type=Rank), rank)
        self.assertLess(rank, IDLE_RANK)

    @in_virtual_time
    async def test_zero_limit(self) -> None:
        """Guards against requests to a runner whose limit is 0, and against callers that wait for it."""
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(plain_request, 60, LIMIT_KNOWN_S))
            change_limit(runners_with_limit(bench), b'0')
            await send(bench, Random(1), Load(plain_request, 60, 1))
            since = trio.current_time()
            answers = await send(bench, Random(1), Load(plain_request, 60, 5))
            arrived = sum(runner.count_arrivals(since, since + DURATION_S) for runner in runners_with_limit(bench))
        self.assertEqual(arrived, 0)
        self.assertEqual({one.status for one in answers}, {STATUS_OK})

    async def _check_served_without_limit(self, texts: tuple[bytes, ...]) -> None:
        async with open_bench(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            for runner in runners_with_limit(bench):
                runner.limit_headers = texts
            answers = await send(bench, Random(1), Load(plain_request, 60, 2))
        self.assertEqual({one.status for one in answers}, {STATUS_OK})
