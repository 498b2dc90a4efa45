"""Requests of each kind in a deployment without faults."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.http1.messages import header
from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, fleet, new_prompt_request, new_request
from tests.virtual_time import in_virtual_time


class ServingTest(TestCase):
    """Requests are forwarded unchanged, and answers are complete."""

    @in_virtual_time
    async def test_serve_each_kind(self) -> None:
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            for path in ('/card/a', '/thumb/a'):
                request = new_request(path)
                answer = await bench.new_caller('front-1').send(request)
                self.assertEqual(
                    (answer.status, answer.body, answer.complete, answer.has_signature),
                    (200, request.expected_body, True, True),
                )
            for path in ('/verdict/a', '/tag/a'):
                request = new_prompt_request(path)
                answer = await bench.new_caller('front-2').send(request)
                self.assertEqual(
                    (answer.status, answer.body, answer.complete, answer.has_signature),
                    (200, request.expected_body, True, True),
                )

    @in_virtual_time
    async def test_serve_request_unchanged(self) -> None:
        async with open_bench(configuration(), fleet()) as bench:
            extra = ((b'x-own', b'1'), (b'sesamepoint-kv-hold', b'stolen'), (b'kv-fetch', b'10.0.0.1:1'))
            request = new_request('/card/a?q=%20x', body=b'\x00binary', extra=extra)
            await bench.new_caller('front-1').send(request)
            run = next(run for runner in bench.runners.values() for run in runner.runs)
            self.assertEqual((run.message.head.target, run.message.body), (b'/card/a?q=%20x', b'\x00binary'))
            self.assertEqual(header(run.message.head.headers, b'x-own'), b'1')
            self.assertIsNone(header(run.message.head.headers, b'sesamepoint-kv-hold'))
            self.assertIsNone(header(run.message.head.headers, b'kv-fetch'))

    @in_virtual_time
    async def test_serve_deadline_passed_on(self) -> None:
        async with open_bench(configuration(), fleet()) as bench:
            await bench.new_caller('front-1').send(new_request('/card/a', deadline_s=0.7))
            run = next(run for runner in bench.runners.values() for run in runner.runs)
            left_ms = int(header(run.message.head.headers, b'sesamepoint-deadline-ms') or 0)
            self.assertLessEqual(left_ms, 700)
            self.assertGreater(left_ms, 600)

    @in_virtual_time
    async def test_serve_long_prompt_prefilled_remotely(self) -> None:
        """A long prompt is prefilled at the prefill engine, and its answer runs at another engine."""
        async with open_bench(configuration(), fleet()) as bench:
            request = new_prompt_request('/verdict/a', tokens=4000, shared_prefix=('s2', 13000))
            answer = await bench.new_caller('front-1').send(request)
            self.assertEqual(answer.body, request.expected_body)
            self.assertEqual([run.prefill for run in bench.runners['i-llm1'].runs], [True])

    @in_virtual_time
    async def test_serve_shared_block_prefilled_once(self) -> None:
        """Fronts announce cached prefix blocks to each other, so that the second request prefills only the rest."""
        async with open_bench(configuration(), fleet(), fronts=2) as bench:
            for front in ('front-1', 'front-2'):
                request = new_prompt_request('/verdict/a', tokens=500, shared_prefix=('s3', 20000))
                answer = await bench.new_caller(front).send(request)
                self.assertTrue(answer.complete)
                await trio.sleep(0.1)
            # The prefill of 20,000 tokens takes 0.18 s at the fastest engine.
            self.assertLess(answer.first_byte_s, 0.15)

    @in_virtual_time
    async def test_serve_unknown_route(self) -> None:
        async with open_bench(configuration(), fleet()) as bench:
            answer = await bench.new_caller('front-1').send(new_request('/none/a'))
            self.assertEqual(answer.status, 404)

    @in_virtual_time
    async def test_serve_persistent_connection(self) -> None:
        async with open_bench(configuration(), fleet()) as bench:
            caller = bench.new_caller('front-1')
            for _ in range(5):
                request = new_request('/thumb/a')
                self.assertEqual((await caller.send(request)).body, request.expected_body)
