"""Requests of each kind, served whole, changed in nothing."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint.http1.messages import header
from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import asked, asked_prompt, configuration, fleet
from tests.virtual import virtual


class ServingTest(TestCase):
    """A calm deployment."""

    @virtual
    async def test_serve_each_kind(self) -> None:
        async with running_bed(configuration(), fleet(), fronts=2) as bed:
            for path in ('/card/a', '/thumb/a'):
                req = asked(path)
                seen = await bed.caller('front-1').ask(req)
                self.assertEqual((seen.status, seen.body, seen.whole, seen.signed), (200, req.expected, True, True))
            for path in ('/verdict/a', '/tag/a'):
                req = asked_prompt(path)
                seen = await bed.caller('front-2').ask(req)
                self.assertEqual((seen.status, seen.body, seen.whole, seen.signed), (200, req.expected, True, True))

    @virtual
    async def test_serve_request_unchanged(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            extra = ((b'x-own', b'1'), (b'sesamepoint-kv-hold', b'stolen'), (b'kv-fetch', b'10.0.0.1:1'))
            req = asked('/card/a?q=%20x', body=b'\x00binary', extra=extra)
            await bed.caller('front-1').ask(req)
            run = next(run for runner in bed.runners.values() for run in runner.runs)
            self.assertEqual((run.message.head.target, run.message.body), (b'/card/a?q=%20x', b'\x00binary'))
            self.assertEqual(header(run.message.head.headers, b'x-own'), b'1')
            self.assertIsNone(header(run.message.head.headers, b'sesamepoint-kv-hold'))
            self.assertIsNone(header(run.message.head.headers, b'kv-fetch'))

    @virtual
    async def test_serve_deadline_passed_on(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            await bed.caller('front-1').ask(asked('/card/a', deadline_s=0.7))
            run = next(run for runner in bed.runners.values() for run in runner.runs)
            left_ms = int(header(run.message.head.headers, b'sesamepoint-deadline-ms') or 0)
            self.assertLessEqual(left_ms, 700)
            self.assertGreater(left_ms, 600)

    @virtual
    async def test_serve_long_prompt_in_two_steps(self) -> None:
        """A long prompt is read at the prefill engine while answers run elsewhere."""
        async with running_bed(configuration(), fleet()) as bed:
            req = asked_prompt('/verdict/a', tokens=4000, shared=('s2', 13000))
            seen = await bed.caller('front-1').ask(req)
            self.assertEqual(seen.body, req.expected)
            self.assertEqual([run.prefill for run in bed.runners['i-llm1'].runs], [True])

    @virtual
    async def test_serve_shared_part_read_once(self) -> None:
        """Fronts tell each other what engines hold, so that the second reads only its own."""
        async with running_bed(configuration(), fleet(), fronts=2) as bed:
            for front in ('front-1', 'front-2'):
                req = asked_prompt('/verdict/a', tokens=500, shared=('s3', 20000))
                seen = await bed.caller(front).ask(req)
                self.assertTrue(seen.whole)
                await trio.sleep(0.1)
            # Reading 20,000 tokens takes 0.18 s at the fastest engine.
            self.assertLess(seen.first_s, 0.15)

    @virtual
    async def test_serve_unknown_route(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            seen = await bed.caller('front-1').ask(asked('/none/a'))
            self.assertEqual(seen.status, 404)

    @virtual
    async def test_serve_kept_connection(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            caller = bed.caller('front-1')
            for _ in range(5):
                req = asked('/thumb/a')
                self.assertEqual((await caller.ask(req)).body, req.expected)
