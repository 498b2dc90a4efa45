"""Polling turns: one instance at a time polls the store for all."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import msgspec
import trio

from sesamepoint.front.store.polling_turns import SELF_CHECK_S, TAKEOVER_MARGIN_S, PollingTurns
from sesamepoint.front.store.topic_updates import TopicUpdate
from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.builders import configuration, engine, fleet, new_request, plain_runner
from tests.front.topic_simulation import ANSWER_S, PACING, TopicSimulation
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# With a store that answers, every instance knows a record within this time: the silence of
# all peers, one call, and a datagram on its way.
MAX_LAG_S = PACING.long_poll_s + PACING.pause_s + TAKEOVER_MARGIN_S + PACING.takeover_spread_s + 2 * ANSWER_S + 0.06
# Pause between two records on the topic.
RECORD_INTERVAL_S = 0.02
SEEDS = range(1, 5)
LOSS_SHARES = (0, 0.1, 0.5)
MAX_DELAYS_S = (0.002, 0.1, 3.0)
INSTANCES = 68


@asynccontextmanager
async def running_simulation(simulation: TopicSimulation) -> AsyncIterator[TopicSimulation]:
    """Run the instances of ``simulation`` and a writer of records until the end of the block."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_write_records, simulation)
        simulation.start(nursery)
        await trio.sleep(2)
        yield simulation
        nursery.cancel_scope.cancel()


async def _write_records(simulation: TopicSimulation) -> None:
    while True:
        simulation.write()
        await trio.sleep(RECORD_INTERVAL_S)


def all_reached(simulation: TopicSimulation, offset: int) -> bool:
    """Return whether all instances know the topic up to ``offset``."""
    return all((instance.end or 0) >= offset for instance in simulation.instances.values())


class StoreCallsTest(TestCase):
    """The number of store calls does not grow with the number of instances."""

    @in_virtual_time
    async def test_calls_independent_of_instances(self) -> None:
        """5 and 68 instances make about as many calls; 68 that poll each for itself made over 100 a second."""
        calls_per_s = []
        for count in (5, INSTANCES):
            async with running_simulation(TopicSimulation(count)) as simulation:
                before = simulation.store.calls
                await trio.sleep(10)
                calls_per_s.append((simulation.store.calls - before) / 10)
                self.assertEqual(simulation.inconsistent_instances(), [])
        self.assertLess(calls_per_s[0], 4)
        self.assertLess(calls_per_s[1], 6)

    @in_virtual_time
    async def test_self_checks_not_broadcast(self) -> None:
        """An instance that checks the store itself once a minute does not become the poller.

        Guards against broadcasting the results of these checks: each cost 67 datagrams
        with 68 instances, and two or three instances polled at the same time.
        """
        async with running_simulation(TopicSimulation(INSTANCES)) as simulation:
            before = simulation.datagrams_sent
            await trio.sleep(2 * SELF_CHECK_S)
            polls_per_s = (simulation.datagrams_sent - before) / (INSTANCES - 1) / (2 * SELF_CHECK_S)
            self.assertLess(polls_per_s, 1.1 / (PACING.pause_s + ANSWER_S))

    @in_virtual_time
    async def test_poller_changes(self) -> None:
        """Polling turns rotate: at least four of ten instances have one within five minutes."""
        async with running_simulation(TopicSimulation(10)) as simulation:
            pollers = set()
            for _ in range(300):
                await trio.sleep(1)
                pollers |= {
                    instance.name for instance in simulation.instances.values() if instance.watch.turns.polls_for_all
                }
            self.assertGreater(len(pollers), 3)

    @in_virtual_time
    async def test_calls_of_five_fronts(self) -> None:
        """Five fronts make no more calls than two did that polled each for itself."""
        async with open_bench(configuration(), fleet(), fronts=5) as bench:
            await trio.sleep(3)
            before = bench.store.call_count
            await trio.sleep(10)
            self.assertLess(bench.store.call_count - before, 50)


class PollingFailureTest(TestCase):
    """Failed pollers, unreachable instances, and a store that refuses some instances."""

    @in_virtual_time
    async def test_poller_killed(self) -> None:
        """The poller is killed during its turn.

        Updates stop, and an instance that has received none for a while takes over
        the polling before callers are affected.
        """
        async with running_simulation(TopicSimulation(INSTANCES)) as simulation:
            for _ in range(5):
                poller = next(
                    instance.name for instance in simulation.instances.values() if instance.watch.turns.polls_for_all
                )
                simulation.kill(poller)
                offset = len(simulation.store.log)
                await trio.sleep(MAX_LAG_S)
                self.assertTrue(all_reached(simulation, offset))

    @in_virtual_time
    async def test_unreachable_instance(self) -> None:
        """An instance that receives no datagrams polls for itself, and stays within the bound."""
        async with running_simulation(TopicSimulation(INSTANCES)) as simulation:
            simulation.unreachable.add('e3')
            for _ in range(20):
                offset = len(simulation.store.log)
                await trio.sleep(MAX_LAG_S)
                self.assertTrue(all_reached(simulation, offset))

    @in_virtual_time
    async def test_store_refuses_one_instance(self) -> None:
        """The store refuses one instance, which stays within the bound through updates of its peers."""
        async with running_simulation(TopicSimulation(INSTANCES)) as simulation:
            simulation.store.refused_instances.add('e5')
            await trio.sleep(2)
            for _ in range(20):
                offset = len(simulation.store.log)
                await trio.sleep(MAX_LAG_S)
                self.assertTrue(all_reached(simulation, offset))

    @in_virtual_time
    async def test_update_exceeds_datagram(self) -> None:
        """Forty engines register at once: the update does not fit a datagram, so all instances poll within 1 s."""
        async with open_bench(configuration(), fleet(), fronts=3) as bench:
            await trio.sleep(5)
            for number in range(10, 50):
                bench.add_runner(engine(number, 'decode'))
            await trio.sleep(1)
            sizes = {len(front.fleet.members) for front in bench.fronts.values()}
            self.assertEqual(sizes, {45})

    @in_virtual_time
    async def test_draining_while_store_refuses_one_front(self) -> None:
        """A front that the store refuses learns from its peer that a runner is draining."""
        async with open_bench(configuration(), [plain_runner(1), plain_runner(2)], fronts=2) as bench:
            await trio.sleep(3)
            bench.network.cut_pairs.add(frozenset(('10.9.0.1', '10.1.0.1')))
            await trio.sleep(5)
            bench.drain_runner('i-web1')
            await trio.sleep(2)
            runs = len(bench.runners['i-web1'].runs)
            for _ in range(10):
                self.assertEqual((await bench.new_caller('front-1').send(new_request('/card/a'))).status, 200)
            self.assertEqual(len(bench.runners['i-web1'].runs), runs)


class ForgedUpdateTest(TestCase):
    """Updates that no instance has sent."""

    @in_virtual_time
    async def test_unregistered_sender_ignored(self) -> None:
        """Updates of a sender that is no registered instance are ignored."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            await trio.sleep(3)
            front = bench.fronts['front-1']
            forged = TopicUpdate('stranger', RUNNER_TOPIC, 0, 10_000, ())
            front.peers.handlers[TopicUpdate] = self.fail
            front.peers.on_datagram(_encode(forged))

    @in_virtual_time
    async def test_forged_offset_corrected(self) -> None:
        """A forged update in the name of an instance claims an offset beyond the end of the log.

        The log up to there then counts as known, and changes of runners are missed. Each
        instance checks the store itself every minute, finds that its log ends before that
        offset, and lists the whole topic.
        """
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            await trio.sleep(3)
            front = bench.fronts['front-1']
            front.peers.on_datagram(_encode(TopicUpdate('front-2', RUNNER_TOPIC, 0, 10_000, ())))
            bench.add_runner(engine(9, 'decode'))
            await trio.sleep(SELF_CHECK_S + 2)
            self.assertIn('i-llm9', front.fleet.members)


class RandomFaultsTest(TestCase):
    """Random loss, delay, reordering, duplicates, refusals and kills, by seed."""

    def test_random_faults(self) -> None:
        """The records of an instance always match the log up to its offset, and the whole log once faults end."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(_run_random_faults, seed), [])

    def test_faulty_variant_ignores_gaps(self) -> None:
        """An instance that applies updates across a gap keeps outdated records, and the checks find it."""
        with patch.object(PollingTurns, 'note_update', _note_update_ignoring_gaps):
            violations = [run_virtual(_run_random_faults, seed) for seed in SEEDS]
        self.assertTrue(any(violations))


async def _run_random_faults(seed: int) -> list[str]:
    simulation = TopicSimulation(12, seed)
    rng = simulation.rng
    violations: list[str] = []
    async with running_simulation(simulation):
        for _ in range(60):
            simulation.loss_share = rng.choice(LOSS_SHARES)
            simulation.max_delay_s = rng.choice(MAX_DELAYS_S)
            simulation.store.refused_instances = set(rng.sample(sorted(simulation.instances), 1))
            simulation.unreachable = set(rng.sample(sorted(simulation.instances), 1))
            if not rng.randrange(20):
                simulation.kill(rng.choice(sorted(simulation.instances)))
            await trio.sleep(rng.uniform(0.2, 1.5))
            violations += simulation.inconsistent_instances()
        simulation.loss_share = 0
        simulation.max_delay_s = 0.002
        simulation.store.refused_instances = set()
        simulation.unreachable = set()
        # Lets the last refused call be repeated.
        await trio.sleep(1)
        offset = len(simulation.store.log)
        await trio.sleep(MAX_LAG_S)
        violations += [] if all_reached(simulation, offset) else ['late']
        violations += simulation.inconsistent_instances()
    return violations


def _note_update_ignoring_gaps(turns: PollingTurns, _: str, start: int, end: int, now: float) -> bool:
    if turns.end is None or end < max(turns.end, start):
        return False
    turns.end = end
    turns.due = now + 1
    return True


def _encode(topic_update: TopicUpdate) -> bytes:
    return msgspec.msgpack.encode(topic_update)
