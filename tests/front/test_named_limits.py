"""Runners that name a limit, before several instances.

Seen: two of four engines named a limit of 6.9 and 6.4 requests a second, and got 74 and 80 in 4 s.
How: the limit is a word in an answer, heard by the instance that got the answer. It went on to the caller.
Cause: nobody read it.
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
# In the first second after its end a limit doubles; some are kept from before.
ENDED_FACTOR = 3
AT_ONCE_S = 0.05
# Of the refused so many are told at once; the others were taken in, and had to wait
# for too long: half of their time is left to them then.
MOST = 0.75
LATEST_REFUSAL_S = 0.5
LENGTH_S = 8.0
NOT_RUN = 503
GOOD = 200
# Texts that name no limit.
MALFORMED = (b'', b'-1', b'abc', b'inf', b'nan', b'1e9', b'9' * 400)


def prompt_of_its_own() -> Asked:
    """Return a request whose prompt is read apart."""
    return asked_prompt('/verdict/a', 3000)


def urgent_fetch() -> Asked:
    """Return a request of the most urgent route."""
    return asked('/urgent/a')


async def name_others(bed: PlatformBed) -> None:
    """Have runners name another limit each tenth of a second."""
    for step in range(100):
        name(limited(bed), f'{5 + step % 2}.{step % 10}'.encode())
        await trio.sleep(LENGTH_S / 100)


async def with_first_answers(bed: PlatformBed, load: Load) -> float:
    """Send ``load`` from the beginning; returns the most that a runner with a limit got later than users allow for."""
    began = trio.current_time()
    await send(bed, Random(1), load)
    return most(bed, began + KNOWN_S)


class NamedLimitTest(TestCase):
    """What reaches runners that name a limit, from all instances together."""

    @virtual
    async def test_two_of_four_engines_name_a_limit(self) -> None:
        """Guards against engines that are sent more than the limit they name."""
        async with running_bed(configuration(), [*engines(2, 2), plain_runner(1)], fronts=FRONTS) as bed:
            found = await with_first_answers(bed, Load(short_prompt, 90, 10))
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_two_of_four_plain_runners_name_a_limit(self) -> None:
        """Guards against plain runners that are sent more than the limit they name."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            found = await with_first_answers(bed, Load(fetch, 90, 10))
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_engines_that_read_apart_name_a_limit(self) -> None:
        """Guards against prompts read apart, and second steps, that are sent without regard to a limit."""
        runners = engines(2, 2)
        name(runners, LIMIT)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            found = await with_first_answers(bed, Load(prompt_of_its_own, 40, LENGTH_S))
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_retries_to_runners_with_limits(self) -> None:
        """Guards against retries that are sent without regard to a limit."""
        runners = plain_runners(2, 2)
        for runner in runners:
            runner.faults.loses = 0.3
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            found = await with_first_answers(bed, Load(fetch, 60, LENGTH_S))
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_limit_falls_under_load(self) -> None:
        """Guards against requests that are held, or have a permit, when a limit falls."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bed:
            name(limited(bed), b'40')
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bed, Random(1), Load(fetch, 120, 2 * LENGTH_S))
                await trio.sleep(LENGTH_S)
                name(limited(bed), b'2')
            fell = began + LENGTH_S
            found = most(bed, fell + KNOWN_S + 1)
        self.assertLessEqual(found, bound(2))

    @virtual
    async def test_instance_started_later(self) -> None:
        """Guards against an instance that has just started and sends as if there were no limit."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(fetch, 60, LENGTH_S))
            bed.add_front(FRONTS + 1)
            await bed.until_ready()
            await send(bed, Random(2), Load(fetch, 60, LENGTH_S), [f'front-{FRONTS + 1}'])
            found = most(bed, began + KNOWN_S)
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_all_instances_start_again(self) -> None:
        """Guards against a burst when all instances were killed, and nobody knows of the limit."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(fetch, 60, LENGTH_S))
            for killed in tuple(bed.fronts):
                bed.kill_front(killed)
                bed.fronts.pop(killed)
            for number in range(FRONTS):
                bed.add_front(FRONTS + number + 1)
            await bed.until_ready()
            await send(bed, Random(2), Load(fetch, 120, LENGTH_S))
            found = most(bed, began + KNOWN_S)
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_instance_cut_off_from_its_peers(self) -> None:
        """Guards against an instance that takes all of a limit while it hears no other."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            began = trio.current_time()
            hosts = [front.cfg.host for front in bed.fronts.values()]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bed, Random(1), Load(fetch, 90, 2 * LENGTH_S))
                await trio.sleep(LENGTH_S / 2)
                bed.network.cut.update(frozenset((hosts[0], other)) for other in hosts[1:])
                await trio.sleep(LENGTH_S / 2)
                bed.network.cut.clear()
            found = most(bed, began + KNOWN_S)
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_words_are_lost(self) -> None:
        """Guards against more than the limit while instances hear nothing of each other."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            bed.network.datagrams_lost = True
            found = await with_first_answers(bed, Load(fetch, 90, LENGTH_S))
        self.assertLessEqual(found, bound(float(LIMIT)))


class UsedLimitTest(TestCase):
    """What is made of a limit."""

    @virtual
    async def test_all_plain_runners_name_a_limit(self) -> None:
        """Guards against a limit that is left unused, and callers that wait in vain, when all runners name one."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bed:
            began = trio.current_time()
            seen = await send(bed, Random(1), Load(fetch, 60, LENGTH_S))
            share = used(bed, began + KNOWN_S, began + LENGTH_S)
        self.assertGreaterEqual(share, USED)
        refused = [one for one in seen if one.status == NOT_RUN]
        self.assertEqual(len(refused) + sum(one.status == GOOD for one in seen), len(seen))
        at_once = sum(one.took_s < AT_ONCE_S for one in refused)
        self.assertGreaterEqual(at_once, MOST * len(refused))
        self.assertLess(max(one.took_s for one in refused), LATEST_REFUSAL_S)
        self.assertTrue(all(one.retry_after_s for one in refused))

    @virtual
    async def test_all_engines_name_a_limit(self) -> None:
        """Guards against a limit of engines that is left unused while callers are refused."""
        async with running_bed(configuration(), engines(4), fronts=FRONTS) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(short_prompt, 60, LENGTH_S))
            share = used(bed, began + KNOWN_S, began + LENGTH_S)
        self.assertGreaterEqual(share, USED)

    @virtual
    async def test_large_prompts_are_read_apart(self) -> None:
        """Guards against small prompts that use up the few places at engines that read before large ones do."""
        runners = engines(0, 4)
        name(runners[-2:], LIMIT)
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bed, Random(1), Load(short_prompt, 75, LENGTH_S))
                seen = await send(bed, Random(2), Load(partial(long_prompt, Random(7)), 9, LENGTH_S))
            share = sum(one.status == GOOD and one.first_s <= LONG_TARGET_S for one in seen) / len(seen)
        self.assertGreaterEqual(share, MOST)

    @virtual
    async def test_one_instance_has_the_callers(self) -> None:
        """Guards against shares that stay with instances without callers."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(fetch, 60, LENGTH_S), ['front-2'])
            share = used(bed, began + KNOWN_S, began + LENGTH_S)
        self.assertGreaterEqual(share, USED)

    @virtual
    async def test_others_take_over(self) -> None:
        """Guards against refusals while runners without a limit have room."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            seen = await send(bed, Random(1), Load(fetch, 60, LENGTH_S))
        self.assertEqual({one.status for one in seen}, {GOOD})
        self.assertLess(max(one.took_s for one in seen), 0.2)

    @virtual
    async def test_urgent_requests_go_first(self) -> None:
        """Guards against places that go to whoever came first, and not by priority."""
        base = configuration()
        urgent = route('urgent', '/urgent/', 'web', 'idempotent', timeout_ms=1000, priority=0)
        routes = [{**one, 'priority': 3} for one in base['routes']]
        async with running_bed({**base, 'routes': [*routes, urgent]}, plain_runners(2), fronts=FRONTS) as bed:
            await send(bed, Random(1), Load(fetch, 60, KNOWN_S))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bed, Random(2), Load(fetch, 60, LENGTH_S))
                seen = await send(bed, Random(3), Load(urgent_fetch, 8, LENGTH_S))
        self.assertGreaterEqual(sum(one.status == GOOD for one in seen), USED * len(seen))

    @virtual
    async def test_limit_ends(self) -> None:
        """Guards against a runner that is left out, or flooded, when its limit has ended."""
        async with running_bed(configuration(), plain_runners(1, 3), fronts=FRONTS) as bed:
            runner = limited(bed)[0]
            await send(bed, Random(1), Load(fetch, 90, LENGTH_S))
            runner.names_limit = ()
            ended = trio.current_time()
            await send(bed, Random(2), Load(fetch, 120, LENGTH_S))
            first_s = runner.arrived(ended, ended + 1)
            last_s = runner.arrived(ended + LENGTH_S - 1, ended + LENGTH_S)
        self.assertLess(first_s, ENDED_FACTOR * float(LIMIT))
        self.assertGreater(last_s, 20)

    @virtual
    async def test_starts_again_without_a_limit(self) -> None:
        """Guards against a limit that stays with a runner which has started again under its key."""
        async with running_bed(configuration(), plain_runners(4), fronts=FRONTS) as bed:
            await send(bed, Random(1), Load(fetch, 60, KNOWN_S))
            for runner in bed.runners.values():
                runner.names_limit = ()
                runner.start_again(1_700_000_000_000)
                bed.store.put('keyed.servers', runner.key, runner.record)
            await trio.sleep(1)
            seen = await send(bed, Random(2), Load(fetch, 60, LENGTH_S))
        self.assertEqual({one.status for one in seen}, {GOOD})


class MalformedLimitTest(TestCase):
    """Limits that can't be read."""

    @virtual
    async def test_malformed_and_no_limit_before(self) -> None:
        """Guards against instances that fall over a malformed limit."""
        for text in MALFORMED:
            with self.subTest(text=text):
                await self._served_without_limit((text,))

    @virtual
    async def test_last_good_limit_counts(self) -> None:
        """Guards against a limit that is dropped when a malformed one follows."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            began = trio.current_time()
            await send(bed, Random(1), Load(fetch, 60, KNOWN_S))
            for runner, text in zip(limited(bed), MALFORMED[2:], strict=False):
                runner.names_limit = (text,)
            await send(bed, Random(1), Load(fetch, 60, LENGTH_S))
            found = most(bed, began + KNOWN_S)
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_named_twice_in_one_answer(self) -> None:
        """Guards against two limits in one answer, of which one is malformed."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            for runner in limited(bed):
                runner.names_limit = (b'900', LIMIT, b'nan')
            found = await with_first_answers(bed, Load(fetch, 60, LENGTH_S))
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_named_in_failures(self) -> None:
        """Guards against a limit that is named in the answers of failures only, and not heard there."""
        runners = plain_runners(2, 2)
        for runner in runners:
            runner.faults.fails = True
        async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
            found = await with_first_answers(bed, Load(fetch, 60, LENGTH_S))
        self.assertLessEqual(found, bound(float(LIMIT)))

    @virtual
    async def test_another_limit_in_each_answer(self) -> None:
        """Guards against instances that fall over, or flood each other, when each answer names another limit."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, bed, Random(1), Load(fetch, 60, LENGTH_S))
                await name_others(bed)
            found = most(bed, began + KNOWN_S)
        self.assertLessEqual(found, bound(6.9))

    def test_rank_of_a_huge_prompt(self) -> None:
        """Guards against a caller's figures that make the words of an instance unreadable to its peers."""
        rank = Rank.of(10**9, 1e300)
        encoded = msgspec.msgpack.encode(rank)
        self.assertEqual(msgspec.msgpack.decode(encoded, type=Rank), rank)
        self.assertLess(rank, NOTHING_WAITS)

    @virtual
    async def test_zero(self) -> None:
        """Guards against requests to a runner that takes none, and against callers that wait for it."""
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            await send(bed, Random(1), Load(fetch, 60, KNOWN_S))
            name(limited(bed), b'0')
            await send(bed, Random(1), Load(fetch, 60, 1))
            since = trio.current_time()
            seen = await send(bed, Random(1), Load(fetch, 60, 5))
            found = sum(runner.arrived(since, since + LENGTH_S) for runner in limited(bed))
        self.assertEqual(found, 0)
        self.assertEqual({one.status for one in seen}, {GOOD})

    async def _served_without_limit(self, texts: tuple[bytes, ...]) -> None:
        async with running_bed(configuration(), plain_runners(2, 2), fronts=FRONTS) as bed:
            for runner in limited(bed):
                runner.names_limit = texts
            seen = await send(bed, Random(1), Load(fetch, 60, 2))
        self.assertEqual({one.status for one in seen}, {GOOD})
