"""Malformed, oversized and smuggled requests of callers: rejected, and kept from runners."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import HOST, configuration, fleet
from tests.virtual_time import in_virtual_time

HEAD = f'POST /card/a HTTP/1.1\r\nHost: {HOST}\r\nSesamepoint-Request-Id: q1\r\n'


async def send_raw(bench: PlatformBench, raw: str) -> bytes:
    """Send ``raw`` to the first instance and return all that it answers within two seconds."""
    transport = await bench.network.for_host('10.2.0.9').connect(bench.fronts['front-1'].cfg.listen, 1)
    await transport.send_all(raw.encode())
    received = b''
    with trio.move_on_after(2):
        while chunk := await transport.receive_some(4096):
            received += chunk
    transport.close()
    return received


def run_count(bench: PlatformBench) -> int:
    """Return how many requests the runners have run."""
    return sum(len(runner.runs) for runner in bench.runners.values())


class BadInputTest(TestCase):
    """Malformed, oversized and smuggled requests."""

    @in_virtual_time
    async def test_reject_two_lengths(self) -> None:
        """Guard against request smuggling by a request with two lengths.

        By one of them the body ends early and a second request follows, which a runner might run.
        """
        async with open_bench(configuration(), fleet()) as bench:
            raw = f'{HEAD}Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /thumb/a HTTP/1.1\r\n\r\n'
            self.assertTrue((await send_raw(bench, raw)).startswith(b'HTTP/1.1 400'))
            self.assertEqual(run_count(bench), 0)

    @in_virtual_time
    async def test_reject_long_body(self) -> None:
        """Guard against runners that get a body over the configured size."""
        async with open_bench(configuration(), fleet()) as bench:
            raw = f'{HEAD}Content-Length: 100001\r\n\r\n{"x" * 100001}'
            self.assertTrue((await send_raw(bench, raw)).startswith(b'HTTP/1.1 413'))
            self.assertEqual(run_count(bench), 0)

    @in_virtual_time
    async def test_reject_long_head(self) -> None:
        """Guard against runners that get a head over the configured size."""
        async with open_bench(configuration(), fleet()) as bench:
            raw = f'{HEAD}X: {"x" * 20000}\r\n\r\n'
            self.assertTrue((await send_raw(bench, raw)).startswith(b'HTTP/1.1 431'))
            self.assertEqual(run_count(bench), 0)

    @in_virtual_time
    async def test_reject_no_http(self) -> None:
        """Guard against a connection without an answer after bytes that are not HTTP."""
        async with open_bench(configuration(), fleet()) as bench:
            self.assertTrue((await send_raw(bench, 'nonsense\r\n\r\n')).startswith(b'HTTP/1.1 400'))

    @in_virtual_time
    async def test_reject_malformed_counts(self) -> None:
        """Guard against runners that get a token count that is not a number."""
        async with open_bench(configuration(), fleet()) as bench:
            raw = f'{HEAD}Sesamepoint-Token-Count: many\r\nContent-Length: 0\r\n\r\n'
            self.assertTrue((await send_raw(bench, raw)).startswith(b'HTTP/1.1 400'))
            self.assertEqual(run_count(bench), 0)

    @in_virtual_time
    async def test_hidden_request_in_body(self) -> None:
        """Guard against a body that is parsed as a second request."""
        async with open_bench(configuration(), fleet()) as bench:
            hidden = 'GET /thumb/a HTTP/1.1\r\nHost: x\r\n\r\n'
            await send_raw(bench, f'{HEAD}Content-Length: {len(hidden)}\r\n\r\n{hidden}')
            self.assertEqual(run_count(bench), 1)

    @in_virtual_time
    async def test_listed_headers_kept(self) -> None:
        """Guard against a Connection header that makes the instance remove the request id."""
        async with open_bench(configuration(), fleet()) as bench:
            raw = f'{HEAD}Connection: sesamepoint-request-id, x-gone\r\nX-Gone: 1\r\nContent-Length: 0\r\n\r\n'
            await send_raw(bench, raw)
            run = next(run for runner in bench.runners.values() for run in runner.runs)
            self.assertEqual(run.request_id, 'q1')
            self.assertNotIn(b'x-gone', dict(run.message.head.headers))
