"""Requests that arrive while no runner is known: how long they wait, and their Retry-After."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import HOST, configuration, fleet, new_prompt_request, new_request
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# How long the store shows the configuration but no runners, as after a loss of all
# instances while some answers of the store were lost.
RUNNERS_MISSING_S = 2.0
FRONT_START_S = 0.1
# Longer than callers wait for the first event of a stream, and shorter than a request may take to arrive.
UPLOAD_S = 2.5
ANSWER_S = 10.0


class RestartTest(TestCase):
    """All instances restart, and are up before the list of runners is available."""

    @in_virtual_time
    async def test_restart_without_runners(self) -> None:
        """A caller that retries once is served, although the front knows no runner at first.

        Guards against an immediate refusal with a Retry-After of 0.1 s: the retry came too
        early and was refused too. The request waits up to 1 s, and Retry-After is a third of its time.
        """
        async with bench_without_runners(RUNNERS_MISSING_S) as bench:
            first = await bench.new_caller('front-1').send(new_prompt_request('/tag/a', deadline_s=8.0))
            self.assertEqual(first.status, 503)
            self.assertLess(first.took_s, 1.1)
            self.assertGreater(first.retry_after_s or 0, 2.0)
            await trio.sleep(first.retry_after_s or 0)
            second = await bench.new_caller('front-1').send(new_prompt_request('/tag/a', deadline_s=5.0))
            self.assertEqual((second.status, second.complete), (200, True))

    @in_virtual_time
    async def test_restart_with_short_deadline(self) -> None:
        """A request with a deadline of 1 s can't be served, and is refused after a third of that."""
        async with bench_without_runners(RUNNERS_MISSING_S) as bench:
            answer = await bench.new_caller('front-1').send(new_request('/card/a', deadline_s=1.0))
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.took_s, 0.35)
            self.assertAlmostEqual(answer.retry_after_s or 0, 0.22, places=2)

    @in_virtual_time
    async def test_runners_back_soon(self) -> None:
        """The list of runners arrives while a request waits whose caller can't retry: it is served."""
        async with bench_without_runners(0.4) as bench:
            answer = await bench.new_caller('front-1').send(new_prompt_request('/tag/a', deadline_s=3.0))
            self.assertEqual((answer.status, answer.complete), (200, True))
            self.assertLess(answer.first_byte_s, 0.6)


class LateRequestTest(TestCase):
    """Requests that are whole only after the time in which their answer should have begun."""

    @in_virtual_time
    async def test_long_upload(self) -> None:
        """Guards against a connection that ends without an answer since nothing is left of the time to wait."""
        async with open_bench(configuration(), fleet()) as bench:
            network = bench.network.for_host('10.2.0.9')
            transport = await network.connect(bench.fronts['front-1'].cfg.listen, 1)
            head = f'POST /tag/a HTTP/1.1\r\nHost: {HOST}\r\nSesamepoint-Request-Id: q1\r\nContent-Length: 2\r\n\r\n'
            await transport.send_all(head.encode())
            await trio.sleep(UPLOAD_S)
            await transport.send_all(b'{}')
            with trio.fail_after(ANSWER_S):
                self.assertTrue((await transport.receive_some(4096)).startswith(b'HTTP/1.1 '))


@asynccontextmanager
async def bench_without_runners(missing_s: float) -> AsyncIterator[PlatformBench]:
    """Start a front with a configuration, and add the runners ``missing_s`` seconds later."""
    async with trio.open_nursery() as nursery:
        bench = PlatformBench(nursery)
        bench.publish(configuration())
        bench.add_front(1)
        await trio.sleep(FRONT_START_S)
        nursery.start_soon(_register_later, bench, missing_s)
        yield bench
        nursery.cancel_scope.cancel()


async def _register_later(bench: PlatformBench, missing_s: float) -> None:
    await trio.sleep(missing_s)
    for runner in fleet():
        bench.add_runner(runner)
