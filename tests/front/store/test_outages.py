"""Faults of the store: calls to it, and the time until all instances know a change.

Each fault is run with 5, 30 and 300 instances. The bounds are those of the deployments: a
configuration and a draining runner have to be known within 3 s, also from the return of the store.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.store_pacing.backoff import Backoff, RetryLimits
from sesamepoint_core.store_pacing.outage import StoreOutage
from sesamepoint.front.store.store_pacer import StorePacer
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import configuration, fleet, new_request
from tests.front.store.outage_simulation import (
    BOUND_S,
    FIXED,
    SHARED,
    count_held_probes,
    lose_answers,
    measure_deaf,
    measure_fault,
    measure_outage,
    refuse_one,
    refuse_third,
    slow_down,
)
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint.front.store.outage_messages import StoreProbe
    from tests.front.store.outage_simulation import Figures, SimulatedStore

SEEDS = range(1, 5)
# One probe of all instances every 0.3 s, and the calls under way when the store goes down.
MAX_OUTAGE_CALLS_PER_S = 5.0
# The fronts of the bench have to know a change within this time, in seconds.
FRONT_BOUND_S = 2.0
OUTAGE_S = 20.0
RELOAD_PAUSE_S = 0.2
# One probe every 0.2 s for 10 s, and two calls of five fronts for each of four topics.
MAX_FRONT_CALLS = 90


class OutageTest(TestCase):
    """The store is down for all instances for 10 s, and a change of each kind is written when it returns."""

    def test_refused_calls(self) -> None:
        """Guards against calls that grow with the number of instances: 300 made over 3,000 a second."""
        for count in (5, 30, 300):
            with self.subTest(instances=count):
                figures = run_virtual(measure_outage, count, SHARED)
                self.assertLess(figures.calls_per_s, MAX_OUTAGE_CALLS_PER_S)
                self.assertLess(figures.latest_s, BOUND_S)

    def test_unanswered_calls(self) -> None:
        """Guards against a return noticed only when calls from before it have timed out."""
        for count in (5, 30):
            with self.subTest(instances=count):
                figures = run_virtual(_measure_silent_outage, count)
                self.assertLess(figures.latest_s, BOUND_S)

    def test_probes_not_held(self) -> None:
        """Guards against a probe that the store holds until there are changes, while all wait for its answer."""
        for count in (5, 30):
            self.assertEqual(run_virtual(count_held_probes, count), 0)

    def test_faulty_variant_does_not_confirm(self) -> None:
        """Without the detection of an outage, each instance calls for itself, and the count shows it."""
        with patch.object(StoreOutage, 'is_down', _never):
            figures = run_virtual(measure_outage, 30, SHARED)
        self.assertGreater(figures.calls_per_s, 4 * MAX_OUTAGE_CALLS_PER_S)


class PartialFaultTest(TestCase):
    """The store answers, but not all instances, or late, or some of its answers are lost."""

    def test_one_instance_refused(self) -> None:
        """Guards against a refused instance that learns of changes late."""
        for count in (5, 30):
            self.assertLess(run_virtual(measure_fault, count, SHARED, refuse_one).latest_s, BOUND_S)

    def test_third_refused(self) -> None:
        """Guards against refused instances whose announcements keep the others from calling the store."""
        for count in (5, 30, 300):
            with self.subTest(instances=count):
                self.assertLess(run_virtual(measure_fault, count, SHARED, refuse_third).latest_s, BOUND_S)

    def test_refused_and_without_peers(self) -> None:
        """Guards against instances that hear no peers, and whose announcements keep the others from the store."""
        self.assertLess(run_virtual(measure_deaf, 10, 5), BOUND_S)

    def test_fewer_calls_of_refused_instances(self) -> None:
        """Guards against refused instances that repeat calls in vain while their peers tell them all changes."""
        calls_per_s = [run_virtual(measure_fault, 30, method, refuse_third).calls_per_s for method in (FIXED, SHARED)]
        self.assertLess(calls_per_s[1], 0.7 * calls_per_s[0])

    def test_slow_store(self) -> None:
        """Guards against a slow store that counts as down."""
        for count in (5, 30):
            self.assertLess(run_virtual(measure_fault, count, SHARED, slow_down).latest_s, BOUND_S)

    def test_lost_answers(self) -> None:
        """Guards against a long pause after a single lost answer: three in ten are lost."""
        for count in (5, 30):
            for seed in SEEDS:
                with self.subTest(instances=count, seed=seed):
                    self.assertLess(run_virtual(_measure_lost_answers, count, seed).latest_s, BOUND_S)

    def test_faulty_variant_ignores_answers_to_peers(self) -> None:
        """If instances ignore that peers are answered, a refused third delays the others, and the bound shows it."""
        with patch.object(StoreOutage, 'note_peer_answered', _ignore):
            figures = run_virtual(measure_fault, 30, SHARED, refuse_third)
        self.assertGreater(figures.latest_s, BOUND_S)


class RegistrationPauseTest(TestCase):
    """The pause before a failed registration is repeated."""

    @in_virtual_time
    async def test_fewer_instances_after_an_outage(self) -> None:
        """Guards against calls without a pause when a failure becomes an outage because other instances leave."""
        counts = [1]
        rng = Random(1)
        outage = StoreOutage('e0', RetryLimits(0.2, 0.75), rng)
        pacer = StorePacer('e0', outage, lambda: counts[-1], _ignore_probe)
        pacer.note_failed(trio.current_time())
        pacer.note_answered()
        counts.append(3)
        await trio.sleep(5)
        pacer.note_failed(trio.current_time())
        counts.append(1)
        self.assertTrue(pacer.is_down())
        began_at = trio.current_time()
        await pacer.wait_to_retry(Backoff(RetryLimits(1, 3), rng))
        self.assertGreaterEqual(trio.current_time() - began_at, 0.5)


class FrontsTest(TestCase):
    """Whole instances, with all their callers of the store."""

    @in_virtual_time
    async def test_store_down(self) -> None:
        """The store refuses five fronts for 10 s; guards against calls of registration, quarantine and topics."""
        async with open_bench(configuration(), fleet(), fronts=5) as bench:
            await trio.sleep(3)
            bench.store.unavailable = True
            before = bench.store.call_count
            await trio.sleep(10)
            self.assertLess(bench.store.call_count - before, MAX_FRONT_CALLS)
            bench.store.unavailable = False
            bench.publish(configuration(2))
            bench.drain_runner('i-web1')
            await trio.sleep(FRONT_BOUND_S)
            for front in bench.fronts.values():
                self.assertEqual(front.dispatcher.configuration and front.dispatcher.configuration.version, 2)
                self.assertTrue(front.fleet.members['i-web1'].runner.draining)

    def test_reloads_while_store_down(self) -> None:
        """Guards against reloads of unchanged settings that begin the pauses between failed calls anew."""
        self.assertEqual(run_virtual(_calls_while_down, True), run_virtual(_calls_while_down, False))

    @in_virtual_time
    async def test_start_without_store(self) -> None:
        """Thirty fronts start while the store is down; guards against a slow first read once it returns."""
        async with open_bench(configuration(), fleet(), fronts=30) as bench:
            for name in tuple(bench.fronts):
                bench.kill_front(name)
            bench.store.unavailable = True
            for number in range(1, 31):
                bench.add_front(number)
            await trio.sleep(10)
            bench.store.unavailable = False
            await trio.sleep(0.5)
            self.assertTrue(all(front.ready() for front in bench.fronts.values()))
            answer = await bench.new_caller('front-7').send(new_request('/card/a'))
            self.assertEqual(answer.status, 200)


async def _calls_while_down(reload: bool) -> int:
    """Return the number of calls to a store that refuses all, while the settings are read again and again, or not."""
    async with open_bench(configuration(), fleet(), fronts=3) as bench:
        bench.store.unavailable = True
        before = bench.store.call_count
        for _ in range(round(OUTAGE_S / RELOAD_PAUSE_S)):
            await trio.sleep(RELOAD_PAUSE_S)
            for front in bench.fronts.values() if reload else ():
                front.reconfigure(front.cfg)
        return bench.store.call_count - before


async def _measure_silent_outage(count: int) -> Figures:
    return await measure_outage(count, SHARED, silent=True)


async def _measure_lost_answers(count: int, seed: int) -> Figures:
    def fault(store: SimulatedStore) -> None:
        lose_answers(store)
        store.rng = Random(seed)

    return await measure_fault(count, SHARED, fault)


def _never(*_: object) -> bool:
    return False


def _ignore_probe(_: StoreProbe) -> None:
    """Ignore the announcement."""


def _ignore(*_: object) -> None:
    """Replace a safeguard."""
