"""What callers must not send: a clear answer, and nothing reaches a runner."""

from __future__ import annotations

from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import HOST, configuration, fleet
from tests.virtual import virtual

HEAD = f'POST /card/a HTTP/1.1\r\nHost: {HOST}\r\nSesamepoint-Request-Id: q1\r\n'


async def send_raw(bed: PlatformBed, raw: str) -> bytes:
    """Send bytes to the first front and return all that comes within two seconds."""
    transport = await bed.network.seen_from('10.2.0.9').connect(bed.fronts['front-1'].cfg.listen, 1)
    await transport.send_all(raw.encode())
    received = b''
    with trio.move_on_after(2):
        while chunk := await transport.receive_some(4096):
            received += chunk
    transport.close()
    return received


def runs(bed: PlatformBed) -> int:
    """Return how many requests reached any runner."""
    return sum(len(runner.runs) for runner in bed.runners.values())


class BadInputTest(TestCase):
    """Malformed, oversized and smuggled requests."""

    @virtual
    async def test_reject_two_lengths(self) -> None:
        """Read by one length, the body ends early and a second request follows.

        A runner behind might run that second one, which no caller sent.
        """
        async with running_bed(configuration(), fleet()) as bed:
            raw = f'{HEAD}Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /thumb/a HTTP/1.1\r\n\r\n'
            self.assertTrue((await send_raw(bed, raw)).startswith(b'HTTP/1.1 400'))
            self.assertEqual(runs(bed), 0)

    @virtual
    async def test_reject_long_body(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            raw = f'{HEAD}Content-Length: 100001\r\n\r\n{"x" * 100001}'
            self.assertTrue((await send_raw(bed, raw)).startswith(b'HTTP/1.1 413'))
            self.assertEqual(runs(bed), 0)

    @virtual
    async def test_reject_long_head(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            raw = f'{HEAD}X: {"x" * 20000}\r\n\r\n'
            self.assertTrue((await send_raw(bed, raw)).startswith(b'HTTP/1.1 431'))
            self.assertEqual(runs(bed), 0)

    @virtual
    async def test_reject_no_http(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            self.assertTrue((await send_raw(bed, 'nonsense\r\n\r\n')).startswith(b'HTTP/1.1 400'))

    @virtual
    async def test_reject_malformed_counts(self) -> None:
        async with running_bed(configuration(), fleet()) as bed:
            raw = f'{HEAD}Sesamepoint-Token-Count: many\r\nContent-Length: 0\r\n\r\n'
            self.assertTrue((await send_raw(bed, raw)).startswith(b'HTTP/1.1 400'))
            self.assertEqual(runs(bed), 0)

    @virtual
    async def test_hidden_request_in_body(self) -> None:
        """A body that looks like a request stays a body."""
        async with running_bed(configuration(), fleet()) as bed:
            hidden = 'GET /thumb/a HTTP/1.1\r\nHost: x\r\n\r\n'
            await send_raw(bed, f'{HEAD}Content-Length: {len(hidden)}\r\n\r\n{hidden}')
            self.assertEqual(runs(bed), 1)

    @virtual
    async def test_listed_headers_kept(self) -> None:
        """A Connection header that lists the request id must not strip it."""
        async with running_bed(configuration(), fleet()) as bed:
            raw = f'{HEAD}Connection: sesamepoint-request-id, x-gone\r\nX-Gone: 1\r\nContent-Length: 0\r\n\r\n'
            await send_raw(bed, raw)
            run = next(run for runner in bed.runners.values() for run in runner.runs)
            self.assertEqual(run.request_id, 'q1')
            self.assertNotIn(b'x-gone', dict(run.message.head.headers))
