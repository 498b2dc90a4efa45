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

from sesamepoint_core.runner_limit.lender import NOTHING_WAITS
from sesamepoint_core.runner_limit.words import Rank
from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.platform.limit_bound import KNOWN_S, bound
from tests.front.builders import asked, asked_prompt, configuration, plain_runner, route
from tests.front.burst import LONG_TARGET_S, long_prompt
from tests.front.limited import (
    FRONTS,
    LIMIT,
    Load,
    engines,
    fetch,
    limited,
    most,
    name,
    plain_runners,
    send,
    short_prompt,
    used,
)
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Asked

USED = 0.9
# A limit doubles in the first second after its end, and some requests still wait from before.
ENDED_FACTOR = 3
AT_ONCE_S = 0.05
# This share of the refused requests is refused immediately. The others were queued and
# waited too long; half of their time is left when they are refused.
MOST = 0.75
LATEST_REFUSAL_S = 0.5
LENGTH_S = 8.0
NOT_RUN = 503
GOOD = 200
# Header values that are no valid limit.
MALFORMED = (b'', b'-1', b'abc', b'inf', b'nan', b'1e9', b'9' * 400)


def prompt_of_its_own() -> Asked:
    """Return a request whose prompt goes to a prefill engine first."""
    return asked_prompt('/verdict/a', 3000)


def urgent_fetch() -> Asked:
    """Return a request of the route with the highest priority."""
    return asked('/urgent/a')


async def name_others(bed: PlatformBed) -> None:
    """Change the limit of runners 100 times, evenly over the duration of the load."""
    for step in range(100):
        name(limited(bed), f'{5 + step % 2}.{step % 10}'.encode())
        await trio.sleep(LENGTH_S / 100)


async def with_first_answers(bed: PlatformBed, load: Load) -> float:
    """Send ``load`` and return the most requests that a limited runner got in a span once its limit must be known."""
    began = trio.current_time()
    await send(bed, Random(1), load)
    return most(bed, began + KNOWN_S)


class NamedLimitTest(TestCase):
    """The rate at which all instances together send to runners with a limit."""

    @virtual
    async def test_two_of_four_engines_name_a_limit(self) -> None:
        """Guards against engines that receive more than their reported limit."""
        async with running_bed(configuration(), [*engines(2, 2), plain_runner(1)], fronts=FRONTS) as bench:
            most_received = await with_first_answers(bench, Load(short_prompt, 90, 10))
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_two_of_four_plain_runners_name_a_limit(self) -> None:
        """Guards against plain runners that receive more than their reported limit."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            most_received = await with_first_answers(bench, Load(fetch, 90, 10))
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_engines_that_read_apart_name_a_limit(self) -> None:
        """Guards against remote prefills and decode steps that ignore the limit."""
        runners = engines(2, 2)
        name(runners, LIMIT)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            most_received = await with_first_answers(bench, Load(prompt_of_its_own, 40, LENGTH_S))
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_retries_to_runners_with_limits(self) -> None:
        """Guards against retries that ignore the limit."""
        runners = plain_runners(2, 2)
        for runner in runners:
            runner.faults.loses = 0.3
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            most_received = await with_first_answers(bench, Load(fetch, 60, LENGTH_S))
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_limit_falls_under_load(self) -> None:
        """Guards against requests that were queued or admitted before the limit fell and are sent afterwards."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            name(limited(bench), b'40')
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(fetch, 120, 2 * LENGTH_S))
                await trio.sleep(LENGTH_S)
                name(limited(bench), b'2')
            fell_at = began + LENGTH_S
            found = most(bench, fell_at + KNOWN_S + 1)
        self.assertLessEqual(found, bound(2))

    @virtual
    async def test_instance_started_later(self) -> None:
        """Guards against a new instance that sends without a limit until it knows one."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(fetch, 60, LENGTH_S))
            bench.add_front(FRONTS + 1)
            await bench.until_ready()
            await send(bench, Random(2), Load(fetch, 60, LENGTH_S), [f'front-{FRONTS + 1}'])
            most_received = most(bench, began + KNOWN_S)
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_all_instances_start_again(self) -> None:
        """Guards against a burst when all instances were killed and their successors know no limit."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(fetch, 60, LENGTH_S))
            for killed in tuple(bench.fronts):
                bench.kill_front(killed)
                bench.fronts.pop(killed)
            for number in range(FRONTS):
                bench.add_front(FRONTS + number + 1)
            await bench.until_ready()
            await send(bench, Random(2), Load(fetch, 120, LENGTH_S))
            most_received = most(bench, began + KNOWN_S)
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_instance_cut_off_from_its_peers(self) -> None:
        """Guards against an instance that uses the whole limit while it is isolated from its peers."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            hosts = [front.cfg.host for front in bench.fronts.values()]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(fetch, 90, 2 * LENGTH_S))
                await trio.sleep(LENGTH_S / 2)
                bench.network.cut.update(frozenset((hosts[0], other)) for other in hosts[1:])
                await trio.sleep(LENGTH_S / 2)
                bench.network.cut.clear()
            most_received = most(bench, began + KNOWN_S)
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_words_are_lost(self) -> None:
        """Guards against exceeding the limit when all datagrams between instances are lost."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            bench.network.datagrams_lost = True
            most_received = await with_first_answers(bench, Load(fetch, 90, LENGTH_S))
        self.assertLessEqual(most_received, bound(float(LIMIT)))


class UsedLimitTest(TestCase):
    """How much of a limit is used, and by which requests."""

    @virtual
    async def test_all_plain_runners_name_a_limit(self) -> None:
        """Guards against an unused limit, and against long waits before a refusal, when all runners have one."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            answers = await send(bench, Random(1), Load(fetch, 60, LENGTH_S))
            limit_use = used(bench, began + KNOWN_S, began + LENGTH_S)
        self.assertGreaterEqual(limit_use, USED)
        refused = [one for one in answers if one.status == NOT_RUN]
        self.assertEqual(len(refused) + sum(one.status == GOOD for one in answers), len(answers))
        immediate = sum(one.took_s < AT_ONCE_S for one in refused)
        self.assertGreaterEqual(immediate, MOST * len(refused))
        self.assertLess(max(one.took_s for one in refused), LATEST_REFUSAL_S)
        self.assertTrue(all(one.retry_after_s for one in refused))

    @virtual
    async def test_all_engines_name_a_limit(self) -> None:
        """Guards against an unused limit of engines while callers are refused."""
        async with running_bed(configuration(), engines(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(short_prompt, 60, LENGTH_S))
            limit_use = used(bench, began + KNOWN_S, began + LENGTH_S)
        self.assertGreaterEqual(limit_use, USED)

    @virtual
    async def test_large_prompts_are_read_apart(self) -> None:
        """Guards against small prompts that use up the limit of prefill engines before large prompts."""
        runners = engines(0, 4)
        name(runners[-2:], LIMIT)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(short_prompt, 75, LENGTH_S))
                answers = await send(bench, Random(2), Load(partial(long_prompt, Random(7)), 9, LENGTH_S))
            in_time_share = sum(one.status == GOOD and one.first_s <= LONG_TARGET_S for one in answers) / len(answers)
        self.assertGreaterEqual(in_time_share, MOST)

    @virtual
    async def test_one_instance_has_the_callers(self) -> None:
        """Guards against shares of the limit that stay at instances without callers."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(fetch, 60, LENGTH_S), ['front-2'])
            limit_use = used(bench, began + KNOWN_S, began + LENGTH_S)
        self.assertGreaterEqual(limit_use, USED)

    @virtual
    async def test_others_take_over(self) -> None:
        """Guards against refusals while runners without a limit have capacity."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            answers = await send(bench, Random(1), Load(fetch, 60, LENGTH_S))
        self.assertEqual({one.status for one in answers}, {GOOD})
        self.assertLess(max(one.took_s for one in answers), 0.2)

    @virtual
    async def test_urgent_requests_go_first(self) -> None:
        """Guards against permits in order of arrival instead of priority."""
        base = configuration()
        urgent = route('urgent', '/urgent/', 'web', 'idempotent', timeout_ms=1000, priority=0)
        routes = [{**base_route, 'priority': 3} for base_route in base['routes']]
        async with running_bed({**base, 'routes': [*routes, urgent]}, plain_runners(2), fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(fetch, 60, KNOWN_S))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(2), Load(fetch, 60, LENGTH_S))
                answers = await send(bench, Random(3), Load(urgent_fetch, 8, LENGTH_S))
        self.assertGreaterEqual(sum(base_route.status == GOOD for base_route in answers), USED * len(answers))

    @virtual
    async def test_limit_ends(self) -> None:
        """Guards against a runner that is excluded or overloaded once its limit has ended."""
        async with running_bed(configuration(), plain_runners(1, 3), fronts=FRONTS) as bench:
            runner = limited(bench)[0]
            await send(bench, Random(1), Load(fetch, 90, LENGTH_S))
            runner.names_limit = ()
            ended_at = trio.current_time()
            await send(bench, Random(2), Load(fetch, 120, LENGTH_S))
            in_first_second = runner.arrived(ended_at, ended_at + 1)
            in_last_second = runner.arrived(ended_at + LENGTH_S - 1, ended_at + LENGTH_S)
        self.assertLess(in_first_second, ENDED_FACTOR * float(LIMIT))
        self.assertGreater(in_last_second, 20)

    @virtual
    async def test_starts_again_without_a_limit(self) -> None:
        """Guards against a limit that outlives the incarnation which reported it."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(fetch, 60, KNOWN_S))
            for runner in bench.runners.values():
                runner.names_limit = ()
                runner.start_again(1_700_000_000_000)
                bench.store.put('keyed.servers', runner.key, runner.record)
            await trio.sleep(1)
            answers = await send(bench, Random(2), Load(fetch, 60, LENGTH_S))
        self.assertEqual({one.status for one in answers}, {GOOD})


class MalformedLimitTest(TestCase):
    """Limits that are malformed, extreme or change all the time."""

    @virtual
    async def test_malformed_and_no_limit_before(self) -> None:
        """Guards against instances that crash on a malformed limit."""
        for text in MALFORMED:
            with self.subTest(text=text):
                await self._served_without_limit((text,))

    @virtual
    async def test_last_good_limit_counts(self) -> None:
        """Guards against a valid limit that is dropped when a malformed one follows."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            await send(bench, Random(1), Load(fetch, 60, KNOWN_S))
            for runner, text in zip(limited(bench), MALFORMED[2:], strict=False):
                runner.names_limit = (text,)
            await send(bench, Random(1), Load(fetch, 60, LENGTH_S))
            most_received = most(bench, began + KNOWN_S)
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_named_twice_in_one_answer(self) -> None:
        """Guards against an exceeded limit when one answer holds several, of which one is malformed."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            for runner in limited(bench):
                runner.names_limit = (b'900', LIMIT, b'nan')
            most_received = await with_first_answers(bench, Load(fetch, 60, LENGTH_S))
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_named_in_failures(self) -> None:
        """Guards against ignoring a limit that only failed answers report."""
        runners = plain_runners(2, 2)
        for runner in runners:
            runner.faults.fails = True
        async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
            most_received = await with_first_answers(bench, Load(fetch, 60, LENGTH_S))
        self.assertLessEqual(most_received, bound(float(LIMIT)))

    @virtual
    async def test_another_limit_in_each_answer(self) -> None:
        """Guards against crashes, or floods of datagrams, when the limit changes with each answer."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bench, Random(1), Load(fetch, 60, LENGTH_S))
                await name_others(bench)
            most_received = most(bench, began + KNOWN_S)
        self.assertLessEqual(most_received, bound(6.9))

    def test_rank_of_a_huge_prompt(self) -> None:
        """Guards against figures of a caller that make messages of an instance unreadable to its peers."""
        rank = Rank.of(10**9, 1e300)
        encoded = msgspec.msgpack.encode(rank)
        self.assertEqual(msgspec.msgpack.decode(encoded, type=Rank), rank)
        self.assertLess(rank, NOTHING_WAITS)

    @virtual
    async def test_zero(self) -> None:
        """Guards against requests to a runner whose limit is 0, and against callers that wait for it."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            await send(bench, Random(1), Load(fetch, 60, KNOWN_S))
            name(limited(bench), b'0')
            await send(bench, Random(1), Load(fetch, 60, 1))
            since = trio.current_time()
            answers = await send(bench, Random(1), Load(fetch, 60, 5))
            arrived = sum(runner.arrived(since, since + LENGTH_S) for runner in limited(bench))
        self.assertEqual(arrived, 0)
        self.assertEqual({one.status for one in answers}, {GOOD})

    async def _served_without_limit(self, texts: tuple[bytes, ...]) -> None:
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bench:
            for runner in limited(bench):
                runner.names_limit = texts
            answers = await send(bench, Random(1), Load(fetch, 60, 2))
        self.assertEqual({one.status for one in answers}, {GOOD})
