"""Requests of each kind in a deployment without faults."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.http1.messages import header
from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import asked, asked_prompt, configuration, fleet
from tests.virtual import virtual


class ServingTest(TestCase):
    """Requests are forwarded unchanged, and answers are complete."""

    @virtual
    async def test_serve_each_kind(self) -> None:
        async with running_bed(configuration(), fleet(), fronts=2) as bench:
            for path in ('/card/a', '/thumb/a'):
                request = asked(path)
                answer = await bench.caller('front-1').ask(request)
                self.assertEqual(
                    (answer.status, answer.body, answer.whole, answer.signed), (200, request.expected, True, True)
                )
            for path in ('/verdict/a', '/tag/a'):
                request = asked_prompt(path)
                answer = await bench.caller('front-2').ask(request)
                self.assertEqual(
                    (answer.status, answer.body, answer.whole, answer.signed), (200, request.expected, True, True)
                )

    @virtual
    async def test_serve_request_unchanged(self) -> None:
        async with running_bed(configuration(), fleet()) as bench:
            extra = ((b'x-own', b'1'), (b'sesamepoint-kv-hold', b'stolen'), (b'kv-fetch', b'10.0.0.1:1'))
            request = asked('/card/a?q=%20x', body=b'\x00binary', extra=extra)
            await bench.caller('front-1').ask(request)
            run = next(run for runner in bench.runners.values() for run in runner.runs)
            self.assertEqual((run.message.head.target, run.message.body), (b'/card/a?q=%20x', b'\x00binary'))
            self.assertEqual(header(run.message.head.headers, b'x-own'), b'1')
            self.assertIsNone(header(run.message.head.headers, b'sesamepoint-kv-hold'))
            self.assertIsNone(header(run.message.head.headers, b'kv-fetch'))

    @virtual
    async def test_serve_deadline_passed_on(self) -> None:
        async with running_bed(configuration(), fleet()) as bench:
            await bench.caller('front-1').ask(asked('/card/a', deadline_s=0.7))
            run = next(run for runner in bench.runners.values() for run in runner.runs)
            left_ms = int(header(run.message.head.headers, b'sesamepoint-deadline-ms') or 0)
            self.assertLessEqual(left_ms, 700)
            self.assertGreater(left_ms, 600)

    @virtual
    async def test_serve_long_prompt_in_two_steps(self) -> None:
        """A long prompt is prefilled at the prefill engine, and its answer runs at another engine."""
        async with running_bed(configuration(), fleet()) as bench:
            request = asked_prompt('/verdict/a', tokens=4000, shared=('s2', 13000))
            answer = await bench.caller('front-1').ask(request)
            self.assertEqual(answer.body, request.expected)
            self.assertEqual([run.prefill for run in bench.runners['i-llm1'].runs], [True])

    @virtual
    async def test_serve_shared_part_read_once(self) -> None:
        """Fronts announce cached prefix blocks to each other, so that the second request prefills only the rest."""
        async with running_bed(configuration(), fleet(), fronts=2) as bench:
            for front in ('front-1', 'front-2'):
                request = asked_prompt('/verdict/a', tokens=500, shared=('s3', 20000))
                answer = await bench.caller(front).ask(request)
                self.assertTrue(answer.whole)
                await trio.sleep(0.1)
            # The prefill of 20,000 tokens takes 0.18 s at the fastest engine.
            self.assertLess(answer.first_s, 0.15)

    @virtual
    async def test_serve_unknown_route(self) -> None:
        async with running_bed(configuration(), fleet()) as bench:
            answer = await bench.caller('front-1').ask(asked('/none/a'))
            self.assertEqual(answer.status, 404)

    @virtual
    async def test_serve_kept_connection(self) -> None:
        async with running_bed(configuration(), fleet()) as bench:
            caller = bench.caller('front-1')
            for _ in range(5):
                request = asked('/thumb/a')
                self.assertEqual((await caller.ask(request)).body, request.expected)
