"""Answers to callers for whom the end of the connection is the end of an answer, and answers without a body.

A caller of HTTP/1.0 gets a stream without a length and chunks. When its runner broke off, the instance closed the
connection in order, which such a caller takes for the end of a whole answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import TestCase

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.framed_answer import Cut
from tests.front.builders import configuration, engine, new_prompt_request, new_request, plain_runner
from tests.front.streams.cut_streams import cut_configuration, run_cut
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

OK = 200
NO_CONTENT = 204
UNAVAILABLE = 503
INSIDE_SECOND_EVENT = 30


class CallerFramingTest(TestCase):
    """What callers learn of the end of an answer."""

    @in_virtual_time
    async def test_broken_stream_without_chunks(self) -> None:
        """Guards against a broken stream that a caller of HTTP/1.0 takes for whole, and against losing its events."""
        runners = [engine(number, 'decode', framing=Framing.chunked, line_end=b'\n') for number in (1, 2)]
        async with open_bench(cut_configuration(), runners) as bench:
            for read_end in (ReadEnd.closed, ReadEnd.reset):
                stream = await run_cut(bench, runners, 'never', Cut(INSIDE_SECOND_EVENT, read_end), http10=True)
                self.assertEqual((stream.answer.status, stream.answer.complete), (OK, False), read_end)
                self.assertEqual(stream.faults, [], read_end)
                self.assertIn(b'id: 1\n', stream.answer.body, read_end)

    @in_virtual_time
    async def test_whole_stream_without_chunks(self) -> None:
        """Guards against a whole stream that a caller of HTTP/1.0 takes for broken."""
        async with open_bench(cut_configuration(), [engine(1, 'decode')]) as bench:
            spec = new_prompt_request('/never/a', http10=True)
            answer = await bench.new_caller('front-1').send(spec)
        self.assertEqual((answer.status, answer.complete, answer.body), (OK, True, spec.expected_body))

    @in_virtual_time
    async def test_stream_at_its_timeout_without_chunks(self) -> None:
        """Guards against a stream that its route's timeout ends and that a caller of HTTP/1.0 takes for whole."""
        cfg = cut_configuration()
        cfg['routes'] = [{**each, 'timeout_ms': 300} for each in cfg['routes']]
        async with open_bench(cfg, [engine(1, 'decode')]) as bench:
            spec = new_prompt_request('/never/a', http10=True, output=50)
            answer = await bench.new_caller('front-1').send(spec)
        self.assertEqual((answer.status, answer.complete), (OK, False))
        self.assertIn(b'id: 1\n', answer.body)

    @in_virtual_time
    async def test_head_request(self) -> None:
        """Guards against a HEAD request whose answer has another length than that of its runner, or none."""
        spec = new_request('/card/a', method='HEAD')
        served = await _send(spec)
        self.assertEqual((served.status, served.complete, served.body), (OK, True, b''))
        self.assertEqual(served.length, len(spec.expected_body))

    @in_virtual_time
    async def test_refused_head_request(self) -> None:
        """Guards against a refused HEAD request whose connection ends without an answer."""
        async with open_bench(configuration(), []) as bench:
            answer = await bench.new_caller('front-1').send(new_request('/card/a', method='HEAD', deadline_s=0.5))
        self.assertEqual((answer.status, answer.complete), (UNAVAILABLE, True))

    @in_virtual_time
    async def test_answer_without_content(self) -> None:
        """Guards against an answer without content that has a length, which its status doesn't allow."""
        served = await _send(new_request('/card/a'), NO_CONTENT)
        self.assertEqual((served.status, served.complete, served.length), (NO_CONTENT, True, None))


async def _send(spec: RequestSpec, status: int = OK) -> CallerAnswer:
    runner = plain_runner(1)
    runner.faults.fails = status != OK
    runner.faults.failure_status = status
    async with open_bench(configuration(), [runner]) as bench:
        return await bench.new_caller('front-1').send(spec)
