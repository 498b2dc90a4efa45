"""Random heads of callers and random answers of runners, against a whole instance.

Run by hand: python -m tests.front.http_fuzz FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import re
import sys
from contextlib import contextmanager, suppress
from random import Random
from typing import TYPE_CHECKING, Any, TypeVar
from unittest.mock import patch

import trio

from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnectFailedError
from sesamepoint.http1.server import ServerConn
from sesamepoint.single_error import single_error
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import HOST, configuration, new_request, plain_runner

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

    from sesamepoint.http1.transport import Transport
    from sesamepoint_standins.platform.bench import PlatformBench

ChoiceT = TypeVar('ChoiceT')

CALLERS = 40
MAX_REQUESTS = 3
# Callers begin within this time, and each leaves after a time, in seconds.
SPREAD_S = 2.0
LEAVES_AFTER_S = 1.5
MAX_PAUSE_S = 0.3
PAUSE_SHARE = 0.3
# All connections of callers have ended, and an ejected runner is in use again, after this time in seconds.
SETTLE_S = 12.0
# At one moment a connection asks its parser once for each byte of a receive at most, and so often
# beside that: request, end, paused.
EVENTS_BESIDE_BYTES = 50
RECEIVE_BYTES = 65536
OK = 200
SIGNATURE = b'sesamepoint-server-stamp'
# An instance writes no reason. A head with one is a part of a body: an answer that ends with its connection.
_ANSWER_HEAD = re.compile(rb'HTTP/1\.1 (\d{3}) \r\n(.*?)\r\n\r\n', re.DOTALL)
METHODS = (
    'GET',
    'POST',
    'POST',
    'POST',
    'HEAD',
    'HEAD',
    'PUT',
    'DELETE',
    'OPTIONS',
    'TRACE',
    'PATCH',
    'CONNECT',
    'BREW',
    'get',
)
TARGETS = (
    '/card/a',
    '/thumb/a',
    '/card/a',
    '/thumb/a',
    '/nowhere/a',
    '*',
    f'http://{HOST}/card/a',
    'h:443',
    '/card/a?b=c',
)
# The first of each are sound, and drawn for most messages.
SOUND_SHARE = 0.8
VERSIONS = ('HTTP/1.1', 'HTTP/1.0', 'HTTP/2.0', 'HTTP/1.', '')
CALLER_HEADERS = (
    'Upgrade: websocket\r\nConnection: Upgrade',
    'Upgrade: h2c\r\nConnection: upgrade, HTTP2-Settings\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA',
    'Expect: 100-continue',
    'Connection: close',
    'Connection: keep-alive',
    'TE: trailers',
    'Sesamepoint-Deadline-Ms: 800',
    f'Sesamepoint-Deadline-Ms: {"9" * 400}',
    'Sesamepoint-Deadline-Ms: soon',
    f'X: {"x" * 20000}',
)
REQUEST_BODIES = (
    ('Content-Length: 2', '{}'),
    ('Content-Length: 0', ''),
    ('Content-Length: 5', '{}'),
    ('Content-Length: 2', '{}{}'),
    ('Content-Length: -1', ''),
    ('Content-Length: 2\r\nContent-Length: 2', '{}'),
    ('Transfer-Encoding: chunked', '2\r\n{}\r\n0\r\n\r\n'),
    ('Transfer-Encoding: chunked', '2\r\n{}\r\nzz\r\n'),
    ('Transfer-Encoding: chunked\r\nContent-Length: 2', '2\r\n{}\r\n0\r\n\r\n'),
    ('Transfer-Encoding: gzip', '{}'),
    ('Content-Length: 200000', 'x' * 1000),
    ('', ''),
)
EARLY_ANSWERS = (
    '',
    '',
    '',
    'HTTP/1.1 100 Continue\r\n\r\n',
    'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n' * 5,
    'HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n',
)
STATUSES = (
    '200 OK',
    '200 OK',
    '200 OK',
    '204 No Content',
    '304 Not Modified',
    '500 Failed',
    '503 Full',
    '421 Other',
    '999 ?',
)
ANSWER_HEADERS = (
    'Connection: close',
    'Connection: keep-alive\r\nKeep-Alive: timeout=1',
    'Upgrade: websocket\r\nConnection: Upgrade',
    'Sesamepoint-Not-Executed: 1',
    'Content-Encoding: gzip',
    'Content-Type: text/event-stream',
    f'Y: {"y" * 70000}',
)
ANSWER_BODIES = (
    ('Content-Length: 5', 'hello'),
    ('Content-Length: 5', 'hello'),
    ('Content-Length: 0', ''),
    ('Content-Length: 9', 'hello'),
    ('Content-Length: 2', 'hello'),
    ('Content-Length: 2\r\nContent-Length: 3', 'hello'),
    ('Transfer-Encoding: chunked', '5\r\nhello\r\n0\r\n\r\n'),
    ('Transfer-Encoding: chunked', '5\r\nhello\r\n'),
    ('Transfer-Encoding: chunked', 'zz\r\nhello'),
    ('', 'hello'),
    ('', ''),
)


class SpinError(BaseException):  # noqa: WPS418
    """A parser was asked far more often than bytes have arrived; no handler of errors takes it for one of a caller."""


class HttpFuzz:
    """Callers and a runner that send random bytes in the form of HTTP, at random times."""

    def __init__(self, bench: PlatformBench, rng: Random) -> None:
        """Draw all from ``rng``."""
        self._bench = bench
        self._rng = rng
        self._front = bench.fronts['front-1']
        self.violations: list[str] = []

    async def run(self) -> None:
        """Send random requests, then check that the instance serves a sound one and has no active request left."""
        runner = self._bench.runners['i-web1']
        self._bench.network.listen(runner.address, self._serve_runner)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(self._call, self._rng.uniform(0, SPREAD_S))
        self._bench.network.listen(runner.address, runner.serve)
        await trio.sleep(SETTLE_S)
        answer = await self._bench.new_caller('front-1').send(new_request('/card/a'))
        if answer.status != OK:
            self.violations.append(f'served: a sound request was answered {answer.status}')
        if self._front.http_handler.active:
            self.violations.append(f'active: {self._front.http_handler.active} requests after all callers have left')

    async def _call(self, after_s: float) -> None:
        await trio.sleep(after_s)
        network = self._bench.network.for_host('10.2.0.1')
        try:
            transport = await network.connect(self._front.cfg.listen, 1)
        except ConnectFailedError:
            return
        requests = [self._request() for _ in range(self._rng.randint(1, MAX_REQUESTS))]
        received = bytearray()
        with trio.move_on_after(LEAVES_AFTER_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_pieces, transport, b''.join(requests))
                nursery.start_soon(_receive_all, transport, received.extend)
        self._judge(bytes(received), len(requests))
        self._rng.choice((transport.close, transport.reset))()

    async def _serve_runner(self, transport: Transport) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while b'\r\n\r\n' in await transport.receive_some(RECEIVE_BYTES):
                await self._send_pieces(transport, self._answer())
                if self._rng.random() < PAUSE_SHARE:
                    break
        self._rng.choice((transport.close, transport.close, transport.reset))()

    async def _send_pieces(self, transport: Transport, wire: bytes) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while wire:
                size = self._rng.choice((1, 10, len(wire), len(wire)))
                await transport.send_all(wire[:size])
                wire = wire[size:]
                if self._rng.random() < PAUSE_SHARE:
                    await trio.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    def _mostly_first(self, choices: Sequence[ChoiceT]) -> ChoiceT:
        return choices[0] if self._rng.random() < SOUND_SHARE else self._rng.choice(choices)

    def _judge(self, received: bytes, sent: int) -> None:
        """Note answers beyond the requests of a connection, and successes without the signature of a runner."""
        heads = [head for head in _ANSWER_HEAD.findall(received) if not head[0].startswith(b'1')]
        if len(heads) > sent:
            self.violations.append(f'mixed: {len(heads)} answers to {sent} requests')
        unsigned = [status for status, fields in heads if status.startswith(b'2') and SIGNATURE not in fields.lower()]
        self.violations += [f'mixed: status {status.decode()} without a signature' for status in unsigned]

    def _request(self) -> bytes:
        rng = self._rng
        length, body = self._mostly_first(REQUEST_BODIES)
        version = self._mostly_first(VERSIONS)
        lines = [f'{rng.choice(METHODS)} {rng.choice(TARGETS)} {version}'.rstrip(), f'Host: {HOST}']
        lines += [
            f'Sesamepoint-Request-Id: f{rng.randrange(10**9)}',
            *rng.sample(CALLER_HEADERS, rng.choice((0, 0, 1, 2))),
        ]
        return _message([*lines, length], body)

    def _answer(self) -> bytes:
        rng = self._rng
        length, body = rng.choice(ANSWER_BODIES)
        lines = [f'HTTP/1.{rng.choice("1110")} {rng.choice(STATUSES)}', 'Sesamepoint-Server-Stamp: s']
        answer = _message([*lines, *rng.sample(ANSWER_HEADERS, rng.randint(0, 2)), length], body)
        return rng.choice(EARLY_ANSWERS).encode() + answer * rng.choice((1, 1, 1, 2))


def _message(lines: list[str], body: str) -> bytes:
    head = '\r\n'.join(line for line in lines if line)
    return f'{head}\r\n\r\n{body}'.encode()


async def _receive_all(transport: Transport, keep: Callable[[bytes], None]) -> None:
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        while part := await transport.receive_some(RECEIVE_BYTES):
            keep(part)


@contextmanager
def bounded_parsing() -> Iterator[None]:
    """Raise ``SpinError`` where a connection asks its parser again and again without new bytes."""
    with patch.object(ClientConn, '_next_event', _bounded(ClientConn._next_event)):  # noqa: SLF001
        with patch.object(ServerConn, '_next_event', _bounded(ServerConn._next_event)):  # noqa: SLF001
            yield


def _bounded(next_event: Callable[[Any], object]) -> Callable[[Any], object]:
    asked: dict[int, tuple[float, int]] = {}

    def count(conn: Any) -> object:
        now = trio.current_time()
        since, number = asked.get(id(conn), (now, 0))
        number = number + 1 if since == now else 1
        asked[id(conn)] = (now, number)
        if number > EVENTS_BESIDE_BYTES + RECEIVE_BYTES:
            raise SpinError(f'{type(conn).__name__} asked its parser {number} times at one moment')
        return next_event(conn)

    return count


async def run_seed(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    async with open_bench(configuration(), [plain_runner(1)]) as bench:
        fuzz = HttpFuzz(bench, Random(seed))
        await fuzz.run()
        return fuzz.violations


def find_violations(seed: int) -> list[str]:
    """Run one seed in virtual time; a loop that spins is a violation too."""
    try:
        with bounded_parsing(), single_error():
            return run_virtual(run_seed, seed, seed=seed)
    except SpinError as exc:
        return [f'spin: {exc}']


def main() -> None:
    """Run a range of seeds and print their violations."""
    disable_logging()
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        sys.stdout.write(f'seed {seed}: {find_violations(seed) or "no violations"}\n')


if __name__ == '__main__':
    main()
