"""Exchange of engine models between instances, one failure at a time."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

import msgspec
import trio

from sesamepoint_core.engine_model.engine_model import EngineModel
from sesamepoint.front.engine_model.model_exchange import MAX_ROUND_BYTES, ROUND_S
from sesamepoint.front.engine_model.model_messages import MAX_ROWS, MAX_WEIGHT, EngineModelMessage, ModelRow
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.core.engine_model.builders import prefill_report, samples
from tests.front.engine_model.unequal_engines import EQUAL_SPEEDS, SPEEDS, Load, long_rate, two_routes, unequal_engines
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Iterable

SLOWEST = 'i-llm1'
SETTLE_S = 3.5
SLOW_FACTOR = 1 / 0.6


def model_at(bench: PlatformBench, front: int, key: str = SLOWEST) -> EngineModel:
    """Return an instance's model of an engine."""
    return bench.fronts[f'front-{front}'].fleet.members[key].model


def observe_all(bench: PlatformBench, fronts: Iterable[int], speeds: tuple[float, ...] = SPEEDS) -> None:
    """Let instances observe prefills at each prefill engine."""
    for front in fronts:
        for number, speed in enumerate(speeds, start=1):
            for sample in samples(1 / speed, 20, seed=front):
                model_at(bench, front, f'i-llm{number}').observe_prefill(sample, trio.current_time())


def model_datagrams(bench: PlatformBench) -> list[bytes]:
    """Return the encoded model messages that were sent last."""
    return [one for one in bench.network.recent_datagrams if b'model' in one[:8]]


def send_false_reports(bench: PlatformBench, sender: str, factor: float) -> None:
    """Let all instances receive reports of ``sender`` on the slowest engine, with the largest weight."""
    for front in bench.fronts.values():
        incarnation = front.fleet.members[SLOWEST].incarnation
        row = ModelRow.from_report(incarnation, prefill_report(factor, MAX_WEIGHT), 0)
        front.peers.on_datagram(msgspec.msgpack.encode(EngineModelMessage(sender, (row,))))


class ExchangeTest(TestCase):
    """What instances know of an engine without samples of their own, or against them."""

    @in_virtual_time
    async def test_reports_reach_all(self) -> None:
        """Guards against instances that each have to learn alone."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=3) as bench:
            observe_all(bench, (1, 2))
            await trio.sleep(SETTLE_S)
            self.assertAlmostEqual(model_at(bench, 3).lasting.prefill_factor, SLOW_FACTOR, delta=0.15)

    @in_virtual_time
    async def test_all_messages_lost(self) -> None:
        """Guards against an instance that needs its peers: without messages it learns alone."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=2) as bench:
            bench.network.drops_datagrams = True
            observe_all(bench, (1,))
            await trio.sleep(SETTLE_S)
            self.assertAlmostEqual(model_at(bench, 1).lasting.prefill_factor, SLOW_FACTOR, delta=0.15)
            self.assertEqual(model_at(bench, 2).lasting.prefill_factor, 1)

    @in_virtual_time
    async def test_messages_lost_for_a_time(self) -> None:
        """Guards against a row that was lost and is never sent again while the engine is in use."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=2) as bench:
            bench.network.drops_datagrams = True
            observe_all(bench, (1,))
            await trio.sleep(SETTLE_S)
            bench.network.drops_datagrams = False
            for _ in range(50):
                observe_all(bench, (1,))
                await trio.sleep(1)
            self.assertAlmostEqual(model_at(bench, 2).lasting.prefill_factor, SLOW_FACTOR, delta=0.15)

    @in_virtual_time
    async def test_messages_doubled_and_late(self) -> None:
        """Guards against datagrams that arrive twice, or long after newer ones, and change the model."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=2) as bench:
            observe_all(bench, (1,), EQUAL_SPEEDS)
            await trio.sleep(SETTLE_S)
            outdated = model_datagrams(bench)
            self.assertNotEqual(outdated, [])
            for _ in range(10):
                observe_all(bench, (1,))
            await trio.sleep(SETTLE_S)
            merged = model_at(bench, 2).merged(trio.current_time())
            for datagram in (*model_datagrams(bench), *outdated):
                row = msgspec.msgpack.decode(datagram, type=EngineModelMessage)
                aged = tuple(one._replace(age_ms=one.age_ms + 4000) for one in row.rows)
                late = msgspec.structs.replace(row, rows=aged)
                bench.fronts['front-2'].peers.on_datagram(msgspec.msgpack.encode(late))
            self.assertEqual(model_at(bench, 2).merged(trio.current_time()), merged)

    @in_virtual_time
    async def test_false_reports(self) -> None:
        """Guards against one instance that moves the models of all by reports of an engine ten times as slow."""
        async with open_bench(two_routes(), unequal_engines(EQUAL_SPEEDS), fronts=4) as bench:
            observe_all(bench, (1, 2, 3), EQUAL_SPEEDS)
            for _ in range(5):
                send_false_reports(bench, 'front-4', 10)
                await trio.sleep(1)
            factors = {model_at(bench, front).lasting.prefill_factor for front in (1, 2, 3)}
        self.assertEqual(factors, {1.0})

    @in_virtual_time
    async def test_malformed_reports(self) -> None:
        """Guards against values that no engine can have: such a message is dropped whole."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=2) as bench:
            front = bench.fronts['front-1']
            row = ModelRow(front.fleet.members[SLOWEST].incarnation, 10**9, 1, -5, 1, 0)
            front.peers.on_datagram(msgspec.msgpack.encode(EngineModelMessage('front-2', (row,))))
            self.assertEqual(model_at(bench, 1).valid_reports(trio.current_time()), {})

    @in_virtual_time
    async def test_unregistered_sender(self) -> None:
        """Guards against reports of a process that is no registered instance."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=1) as bench:
            send_false_reports(bench, 'front-9', 3)
            self.assertEqual(model_at(bench, 1).valid_reports(trio.current_time()), {})

    @in_virtual_time
    async def test_late_instance(self) -> None:
        """Guards against an instance that starts later and has to learn the engines from its own requests."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=2) as bench:
            observe_all(bench, (1, 2))
            await trio.sleep(SETTLE_S)
            bench.add_front(3)
            await bench.wait_until_ready()
            await trio.sleep(SETTLE_S)
            self.assertAlmostEqual(model_at(bench, 3).lasting.prefill_factor, SLOW_FACTOR, delta=0.15)

    @in_virtual_time
    async def test_restart_same_key(self) -> None:
        """Guards against the model of an earlier incarnation, from samples or late reports, applied to a new one."""
        engines = unequal_engines(SPEEDS)
        for one in engines:
            one.born_ms = 1000
        async with open_bench(two_routes(), engines, fronts=2) as bench:
            observe_all(bench, (1, 2))
            await trio.sleep(SETTLE_S)
            late = model_datagrams(bench)
            self.assertNotEqual(late, [])
            self.assertNotEqual(model_at(bench, 1).lasting.prefill_factor, 1)
            engines[0].restart(2000)
            bench.add_runner(engines[0])
            await trio.sleep(SETTLE_S)
            for datagram in late:
                bench.fronts['front-2'].peers.on_datagram(datagram)
            await trio.sleep(SETTLE_S)
            for front in (1, 2):
                member = bench.fronts[f'front-{front}'].fleet.members[SLOWEST]
                self.assertEqual(member.incarnation.born_ms, 2000)
                self.assertEqual(member.model.lasting.prefill_factor, 1)
                self.assertEqual(member.health.slowness, 1)

    @in_virtual_time
    async def test_short_slowness(self) -> None:
        """Guards against an engine that is slow for 400 ms and counts as slow from then on."""
        async with open_bench(two_routes(), unequal_engines(EQUAL_SPEEDS), fronts=3) as bench:
            rng = Random(1)
            rate = long_rate(EQUAL_SPEEDS)
            await Load(bench, rng).run(6, rate)
            faults = bench.runners[SLOWEST].faults
            faults.slowdown = 4.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(Load(bench, rng).run, 8, rate)
                await trio.sleep(0.4)
                faults.slowdown = 1.0
            lasting = {model_at(bench, front).lasting.prefill_factor for front in (1, 2, 3)}
        self.assertEqual(lasting, {1.0})

    @in_virtual_time
    async def test_disturbance_passes(self) -> None:
        """Guards against an engine that is avoided for half a minute after a second of slowness."""
        async with open_bench(two_routes(), unequal_engines(EQUAL_SPEEDS), fronts=1) as bench:
            model = model_at(bench, 1)
            for _ in range(8):
                model.transient.observe(trio.current_time(), 0.1, 0.4)
            self.assertGreater(model.transient.factor(trio.current_time()), 2.5)
            await trio.sleep(8)
            self.assertLess(model.transient.factor(trio.current_time()), 1.5)


class MessageSizeTest(TestCase):
    """Bytes of the exchange."""

    def test_message_fits_packet(self) -> None:
        """Guards against a datagram that is split into packets, one of which may get lost."""
        report = prefill_report(math.e, MAX_WEIGHT)
        row = ModelRow.from_report(Incarnation('i-0123456789abcdef0', 1_700_000_000_000), report, 3600)
        message = EngineModelMessage('instance-0123456789abcdef0', (row._replace(pause_us=70_000),) * MAX_ROWS)
        self.assertLess(len(msgspec.msgpack.encode(message)), 1200)

    @in_virtual_time
    async def test_round_bounded(self) -> None:
        """Guards against control traffic that grows with the number of peers."""
        async with open_bench(two_routes(), unequal_engines(SPEEDS), fronts=12) as bench:
            for _ in range(5):
                observe_all(bench, range(1, 13))
            bench.network.recent_datagrams.clear()
            await trio.sleep(ROUND_S)
            sent_bytes = sum(len(one) for one in model_datagrams(bench))
        self.assertGreater(sent_bytes, 0)
        self.assertLess(sent_bytes / 12, MAX_ROUND_BYTES + 1200)
