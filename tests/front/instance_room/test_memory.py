"""Bytes held for slow readers and for requests, within bounds."""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint_core.instance_room.memory_bounds import MemoryBounds
from sesamepoint.platform.wire_names import DEADLINE_MS
from sesamepoint_standins.platform.caller import RequestSpec
from tests.front.builders import new_prompt_request, new_request
from tests.front.instance_room.slow_reader import ReadAnswer, long_answer, read_after, slow_reader_bench
from tests.virtual_time import in_virtual_time

IDLE_S = 2.5
# An event, the framing of its chunk, and the head of the answer.
OVERSHOOT_BYTES = 300


class SlowReaderTest(TestCase):
    """A caller that does not read for 2.5 s; its answer is complete long before."""

    @in_virtual_time
    async def test_runner_not_slowed_below_bound(self) -> None:
        """Guards against runners that wait for a slow reader, and cut its answer off, while there is room."""
        async with slow_reader_bench(MemoryBounds(10_000, 20_000, 30_000)) as bench:
            req = long_answer(30)
            answer = await read_after(bench, req, IDLE_S)
            self.assertEqual(answer, ReadAnswer(req.expected_body, complete=True))
            run = bench.runners['i-llm2'].runs[-1]
            self.assertLess((run.ended_at or 0) - run.started_at, IDLE_S / 2)
            self.assertEqual(bench.fronts['front-1'].room.memory.held.total, 0)

    @in_virtual_time
    async def test_flow_control_without_limit(self) -> None:
        """Guards against bytes that are held where the settings have no memory limit."""
        async with slow_reader_bench(None, InstanceLimits()) as bench:
            req = long_answer()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_after, bench, req, IDLE_S)
                await trio.sleep(IDLE_S / 2)
                self.assertLess(bench.fronts['front-1'].room.memory.held.total, OVERSHOOT_BYTES)
                self.assertEqual(bench.runners['i-llm2'].running, 1)

    @in_virtual_time
    async def test_held_bytes_bounded(self) -> None:
        """Guards against answers that are read into memory without bound, and against the loss of a paused one."""
        async with slow_reader_bench(MemoryBounds(600, 20_000, 30_000)) as bench:
            held = bench.fronts['front-1'].room.memory.held
            answers: list[ReadAnswer] = []
            reqs = [long_answer() for _ in range(3)]

            async def read(index: int) -> None:
                answers.append(await read_after(bench, reqs[index], IDLE_S))

            async with trio.open_nursery() as nursery:
                for index in range(3):
                    nursery.start_soon(read, index)
                await trio.sleep(IDLE_S - 0.1)
                self.assertGreater(held.total, 600)
                self.assertLess(held.total, 600 + 3 * OVERSHOOT_BYTES)
            self.assertEqual({answer.body for answer in answers}, {req.expected_body for req in reqs})
            self.assertEqual(held.total, 0)

    @in_virtual_time
    async def test_others_unaffected_by_paused_reader(self) -> None:
        """Guards against a slow reader that slows down, or ends, the answers of callers that read."""
        async with slow_reader_bench(MemoryBounds(600, 20_000, 30_000)) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_after, bench, long_answer(), IDLE_S)
                await trio.sleep(IDLE_S / 2)
                req = new_prompt_request('/tag/a', output=20)
                answer = await bench.new_caller('front-1').send(req)
                self.assertEqual((answer.body, answer.complete), (req.expected_body, True))
                self.assertLess(answer.took_s, 1)

    @in_virtual_time
    async def test_largest_disconnected_past_last_bound(self) -> None:
        """Guards against a process that is killed for its memory, and against disconnecting a smaller reader first."""
        async with slow_reader_bench(MemoryBounds(5000, 5000, 1500)) as bench:
            answers: dict[int, ReadAnswer] = {}
            reqs = {output: long_answer(output) for output in (8, 60)}

            async def read(output: int) -> None:
                answers[output] = await read_after(bench, reqs[output], IDLE_S)

            async with trio.open_nursery() as nursery:
                for output in reqs:
                    nursery.start_soon(read, output)
            self.assertEqual(answers[8], ReadAnswer(reqs[8].expected_body, complete=True))
            self.assertFalse(answers[60].complete)
            self.assertEqual(bench.fronts['front-1'].room.memory.disconnected, 1)

    @in_virtual_time
    async def test_caller_with_large_body_kept(self) -> None:
        """Guards against disconnecting a caller that reads, because its request body is larger than unread answers."""
        async with slow_reader_bench(MemoryBounds(5000, 5000, 1500)) as bench:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_after, bench, long_answer(), IDLE_S)
                req = new_prompt_request('/tag/a', output=60, body=bytes(1200))
                answer = await bench.new_caller('front-1').send(req)
            self.assertEqual((answer.body, answer.complete), (req.expected_body, True))
            self.assertEqual(bench.fronts['front-1'].room.memory.disconnected, 1)
            self.assertEqual(bench.fronts['front-1'].room.memory.held.total, 0)

    @in_virtual_time
    async def test_small_reader_kept_beside_large_bodies(self) -> None:
        """Guards against disconnecting a caller whose few unread bytes would not bring the sum within the bound."""
        async with slow_reader_bench(MemoryBounds(5000, 5000, 1500)) as bench:
            answers: list[ReadAnswer] = []
            req = long_answer(8)

            async def read() -> None:
                answers.append(await read_after(bench, req, IDLE_S))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                large = new_prompt_request('/tag/a', output=60, body=bytes(1600))
                self.assertTrue((await bench.new_caller('front-1').send(large)).complete)
            self.assertEqual(answers, [ReadAnswer(req.expected_body, complete=True)])
            self.assertEqual(bench.fronts['front-1'].room.memory.disconnected, 0)


class RefusalTest(TestCase):
    """Requests near the bound on held bytes."""

    @in_virtual_time
    async def test_body_over_bound_refused(self) -> None:
        """Guards against request bodies that are kept in memory over the bound, and against a refusal that ran."""
        async with slow_reader_bench(MemoryBounds(1000, 2000, 30_000)) as bench:
            caller = bench.new_caller('front-1')
            refused = await caller.send(new_request('/card/a', body=bytes(3000)))
            self.assertEqual((refused.status, refused.has_signature), (503, False))
            self.assertLess(refused.retry_after_s or 9, 0.1)
            self.assertEqual(bench.fronts['front-1'].room.memory.refused, 1)
            self.assertFalse(any(runner.runs for runner in bench.runners.values()))

    @in_virtual_time
    async def test_served_once_bytes_released(self) -> None:
        """Guards against held bytes that are never released, after which all requests are refused."""
        async with slow_reader_bench(MemoryBounds(1000, 2000, 30_000)) as bench:
            caller = bench.new_caller('front-1')
            for _ in range(20):
                req = new_prompt_request('/tag/a', body=bytes(900))
                self.assertEqual((await caller.send(req)).status, 200)
                self.assertEqual(bench.fronts['front-1'].room.memory.held.total, 0)


class BrokenAnswerTest(TestCase):
    """Answers whose runner breaks off while their caller is slow."""

    @in_virtual_time
    async def test_received_parts_delivered(self) -> None:
        """Guards against the loss of events that were received before the runner broke off."""
        async with slow_reader_bench(MemoryBounds(10_000, 20_000, 30_000)) as bench:
            for runner in bench.runners.values():
                runner.faults.breaks_at_event = 25
            req = long_answer(30)
            answer = await read_after(bench, req, IDLE_S)
            self.assertFalse(answer.complete)
            self.assertEqual(answer.body.count(b'\n\n'), 24)

    @in_virtual_time
    async def test_parts_delivered_without_deadline(self) -> None:
        """Guards against the loss of received events if the request names no deadline and takes over 3 s."""
        async with slow_reader_bench(MemoryBounds(10_000, 20_000, 30_000)) as bench:
            for runner in bench.runners.values():
                runner.faults.breaks_at_event = 100
            req = long_answer(110)
            headers = tuple(pair for pair in req.head.headers if pair[0] != DEADLINE_MS)
            with patch.object(RequestSpec, 'head', req.head._replace(headers=headers)):
                answer = await read_after(bench, req, 2 * IDLE_S)
            run = bench.runners['i-llm2'].runs[-1]
            self.assertGreater((run.ended_at or 0) - run.started_at, 3)
            self.assertEqual(answer.body.count(b'\n\n'), 99)
