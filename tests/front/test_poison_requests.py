"""Poison requests, which end each engine that runs them and are retried at any instance.

An engine ends 0.1 s after it begins to run the request, together with all requests beside it. The instance retries it
at a second engine, and the caller retries it at another instance. Instances remembered which engines fail, but not
under which request, so fifteen engines ended under one request, five to eight of them well after the third end. Four
engines at a time ended within half a second, over and over for a minute, and after each time no prompt was served for
two to three seconds. It takes neither load nor a retry: single first sends to idle engines end them. Prefill engines,
where the request does not begin to run, stayed up. Without the count of ends the failure is back.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.crash_attribution.suspect_parts import SuspectParts
from sesamepoint_core.serving.poison_requests import SuspectRequests
from sesamepoint.platform.wire_names import QUARANTINE_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import configuration, new_prompt_request, plain_runner
from tests.front.poison_requests import (
    ENDS_UNTIL_DETECTION,
    ENGINES,
    FRONTS,
    RESTART_WAIT_S,
    MAX_SENDS_AFTER_DETECTION,
    end_on_poison,
    ask_concurrently,
    ask_ordinary,
    engines_ending_on_poison,
    poison_plain_request,
    poison_prompt,
    poison_sends,
    sends_after_detection,
)
from tests.front.harmful_faults import run_seed
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer

ATTEMPTS = 8
STATUS_NOT_RUN = 503
# One round trip, with some margin.
IMMEDIATE_S = 0.02
# The longest that an instance without updates from peers takes to poll the store, and one more call.
LIST_READ_S = 20.0
# The last one is among those under which the request is still sent when no ends are remembered.
FAULT_SEEDS = (3, 4, 5)


async def until_refused(bench: PlatformBench) -> CallerAnswer:
    """Send the poison request to one instance after the other until it is refused immediately."""
    for number in range(ATTEMPTS):
        seen = await bench.new_caller(f'front-{number % len(bench.fronts) + 1}').send(poison_prompt())
        if seen.status == STATUS_NOT_RUN and seen.took_s < IMMEDIATE_S:
            return seen
        await trio.sleep(RESTART_WAIT_S)
    raise AssertionError('never refused')


def kill_all_fronts(bench: PlatformBench) -> None:
    """Kill all instances at once."""
    for name in tuple(bench.fronts):
        bench.kill_front(name)
        bench.fronts.pop(name)


async def ask_new_front(bench: PlatformBench) -> CallerAnswer:
    """Start one more instance, and send it the poison request as soon as it is ready."""
    bench.add_front(FRONTS + 1)
    await bench.wait_until_ready()
    return await bench.new_caller(f'front-{FRONTS + 1}').send(poison_prompt())


class PoisonRequestTest(TestCase):
    """How often a poison request reaches runners."""

    @in_virtual_time
    async def test_retried_at_each_instance(self) -> None:
        """Guards against instances that don't know which engines ended under a request sent by a peer.

        A caller retries the request, each time at the next instance. After
        the third end it is sent at most three times more.
        """
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            for number in range(ATTEMPTS):
                await bench.new_caller(f'front-{number % FRONTS + 1}').send(poison_prompt())
                await trio.sleep(RESTART_WAIT_S)
            self.assertLessEqual(sends_after_detection(bench), MAX_SENDS_AFTER_DETECTION)

    @in_virtual_time
    async def test_sent_to_all_instances_at_once(self) -> None:
        """The request arrives at all instances at the same moment, and does so again when the engines are back."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            for _ in range(ATTEMPTS // 2):
                await ask_concurrently(bench, bench.fronts, poison_prompt())
                await trio.sleep(RESTART_WAIT_S)
            self.assertLessEqual(sends_after_detection(bench), MAX_SENDS_AFTER_DETECTION)
            # Each instance sends it once before the end is known. No answer has cleared its first part, so that one
            # instance after the other sends a probe for all.
            self.assertEqual((len(bench.crashes), len(poison_sends(bench))), (ENDS_UNTIL_DETECTION, FRONTS + 2))

    @in_virtual_time
    async def test_refused_when_quarantined(self) -> None:
        """Three ends quarantine a request: two beside other requests, the third as a probe.

        It is refused immediately, as not run, with a retry-after time of more than an hour.
        """
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            refusal = await until_refused(bench)
            self.assertGreater(refusal.retry_after_s or 0, 3600)
            self.assertEqual(len(bench.crashes), ENDS_UNTIL_DETECTION)

    @in_virtual_time
    async def test_released_by_an_operator(self) -> None:
        """An operator drops the record: all instances accept the request again, and its next send is a probe."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(poison_sends(bench))
            quarantined = bench.fronts['front-1'].peers._quarantine.suspects.all_quarantined()
            bench.store.put(QUARANTINE_TOPIC, quarantined[0], None)
            await trio.sleep(LIST_READ_S)
            await ask_concurrently(bench, bench.fronts, poison_prompt())
            self.assertEqual(len(poison_sends(bench)), sends + 1)

    @in_virtual_time
    async def test_refused_by_new_instance(self) -> None:
        """Guards against a send by an instance that started after the request was quarantined."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(poison_sends(bench))
            seen = await ask_new_front(bench)
            self.assertEqual((seen.status, len(poison_sends(bench))), (STATUS_NOT_RUN, sends))

    @in_virtual_time
    async def test_quarantine_list_loads_slowly(self) -> None:
        """Guards against a send by a new instance that has its configuration and runners before the quarantine list."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(poison_sends(bench))
            kill_all_fronts(bench)
            bench.store.topic_delays_s[QUARANTINE_TOPIC] = 0.2
            seen = await ask_new_front(bench)
            self.assertEqual((seen.status, len(poison_sends(bench))), (STATUS_NOT_RUN, sends))

    @in_virtual_time
    async def test_all_instances_replaced(self) -> None:
        """Guards against a quarantine that is lost with all instances; their replacements read it from the store."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            await until_refused(bench)
            sends = len(poison_sends(bench))
            kill_all_fronts(bench)
            seen = await ask_new_front(bench)
            self.assertEqual((seen.status, len(poison_sends(bench))), (STATUS_NOT_RUN, sends))

    @in_virtual_time
    async def test_suspect_sent_to_new_instance(self) -> None:
        """Two engines have ended; an instance that starts then learns it from its peers and sends only a probe."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            await bench.new_caller('front-1').send(poison_prompt())
            bench.add_front(FRONTS + 1)
            await bench.wait_until_ready()
            await trio.sleep(RESTART_WAIT_S)
            await bench.new_caller(f'front-{FRONTS + 1}').send(poison_prompt())
            self.assertEqual(len(bench.crashes), ENDS_UNTIL_DETECTION)
            seen = await bench.new_caller('front-2').send(poison_prompt())
            self.assertLess(seen.took_s, IMMEDIATE_S)

    @in_virtual_time
    async def test_store_unavailable(self) -> None:
        """The store is down all the time: the instances learn of the ends from each other."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            bench.store.unavailable = True
            await until_refused(bench)
            await ask_concurrently(bench, bench.fronts, poison_prompt())
            self.assertLessEqual(sends_after_detection(bench), MAX_SENDS_AFTER_DETECTION)

    @in_virtual_time
    async def test_datagrams_lost(self) -> None:
        """All datagrams between instances are lost: they learn of the quarantine from the store."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            bench.network.drops_datagrams = True
            for _ in range(3):
                await bench.new_caller('front-1').send(poison_prompt())
                await trio.sleep(RESTART_WAIT_S)
            await trio.sleep(LIST_READ_S)
            sends = len(poison_sends(bench))
            await ask_concurrently(bench, bench.fronts, poison_prompt())
            self.assertEqual(len(poison_sends(bench)), sends)

    @in_virtual_time
    async def test_isolated_instance_catches_up(self) -> None:
        """An instance is cut off, as if frozen, while its peers find out; it learns of the quarantine soon after."""
        async with open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench:
            cut_off = bench.fronts[f'front-{FRONTS}'].cfg.host
            others = [front.cfg.host for front in bench.fronts.values() if front.cfg.host != cut_off]
            bench.network.cut_pairs.update(frozenset((cut_off, other)) for other in others)
            for number in range(3):
                await bench.new_caller(f'front-{number % 2 + 1}').send(poison_prompt())
                await trio.sleep(RESTART_WAIT_S)
            sends = len(poison_sends(bench))
            bench.network.cut_pairs.clear()
            for _ in range(30):
                await trio.sleep(0.1)
                await bench.new_caller('front-1').send(new_prompt_request('/tag/a')._replace(body=b'sound'))
            await bench.new_caller(f'front-{FRONTS}').send(poison_prompt())
            self.assertEqual(len(poison_sends(bench)), sends)

    @in_virtual_time
    async def test_callers_disconnect_before_runner_ends(self) -> None:
        """Guards against ends that are missed because the caller disconnects 0.03 s before the engine ends.

        No connection of that caller is seen to break. Other requests at the
        engine, from this or another instance, reveal its end.
        """
        async with (
            open_bench(configuration(), engines_ending_on_poison(), fronts=FRONTS) as bench,
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(ask_ordinary, bench, Random(3), [], nursery)
            for number in range(ATTEMPTS):
                impatient = poison_prompt()._replace(deadline_s=0.07)
                await bench.new_caller(f'front-{number % FRONTS + 1}').send(impatient)
                await trio.sleep(0.5)
            self.assertLessEqual(len(bench.crashes), ENDS_UNTIL_DETECTION)
            nursery.cancel_scope.cancel()

    @in_virtual_time
    async def test_plain_runners(self) -> None:
        """The same for a plain service, whose requests may be retried."""
        runners = end_on_poison(plain_runner(number) for number in range(1, ENGINES + 1))
        async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
            for _ in range(ATTEMPTS // 2):
                await ask_concurrently(bench, bench.fronts, poison_plain_request())
                await trio.sleep(RESTART_WAIT_S)
            self.assertLessEqual(sends_after_detection(bench), MAX_SENDS_AFTER_DETECTION)


class RandomFaultsTest(TestCase):
    """A poison request while runners start, stop and fail and the store is unavailable at times."""

    def test_bounds_hold(self) -> None:
        """Guards against a poison request that is sent too often, whatever instances and runners go through."""
        for seed in FAULT_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(run_seed, seed, seed=seed), [])

    def test_faulty_variant_forgets_ends(self) -> None:
        """Instances that forget which runners ended under a request exceed the bound."""
        seed = FAULT_SEEDS[-1]
        forgets_ends = patch.object(SuspectRequests, 'note_end', return_value=0)
        # No answer clears the first part of this request at each instance, so that the part would be contained.
        forgets_parts = patch.object(SuspectParts, 'note_end', return_value=False)
        with forgets_ends, forgets_parts:
            violations = run_virtual(run_seed, seed, seed=seed)
        self.assertTrue(any(text.startswith('harmful') for text in violations))
