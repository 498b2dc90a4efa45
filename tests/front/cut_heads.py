"""Runners that stop inside the head of an answer, at each of its bytes, against a whole instance."""

from __future__ import annotations

from contextlib import suppress
from functools import partial
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.bench import open_bench
from tests.front.builders import configuration, engine, new_prompt_request, new_request, plain_runner

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint.http1.transport import Transport
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

RECEIVE_BYTES = 65536
# Pause between requests in seconds, in which an ejected runner comes back.
PAUSE_S = 1.0
CLOSE_AFTER_S = 0.05
# Bytes between two cuts where a request takes long to play.
STEP = 3
BODY = b'hello'
EARLY_HEADS = b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
LATE_ANSWER = b'HTTP/1.1 200 OK\r\nsesamepoint-request-id: other\r\ncontent-length: 2\r\n\r\nno'


def head_of(request_id: bytes, framing: bytes, line_end: bytes = b'\r\n', folded: bytes = b'') -> bytes:
    """Return the head of a success."""
    lines = (
        b'HTTP/1.1 200 OK',
        b'sesamepoint-request-id: %b' % request_id,
        b'sesamepoint-server-stamp: s',
        b'content-type: text/plain',
        b'x-note: a%b' % folded,
        framing,
    )
    return line_end.join((*(line for line in lines if line), b'', b''))


class Cut(NamedTuple):
    """An answer that ends inside its head.

    Parameters
    ----------
    framing
        Header that frames its body; empty if the end of the connection does.
    before
        What comes before the head.
    reset, later
        Whether the connection is reset, and whether it ends some time after the bytes.
    """

    framing: bytes = b'content-length: 5'
    before: bytes = b''
    line_end: bytes = b'\r\n'
    folded: bytes = b''
    reset: bool = False
    later: bool = False

    def head(self, request_id: bytes) -> bytes:
        """Return the whole head."""
        return head_of(request_id, self.framing, self.line_end, self.folded)

    def sizes(self, step: int = 1) -> range:
        """Return the numbers of bytes of the head to try."""
        return range(0, len(self.head(b'r1')), step)

    def answer(self, request_id: bytes, size: int) -> bytes:
        """Return what is sent, with as many bytes of the head."""
        return b''.join((self.before, self.head(request_id)[:size]))


CUTS: Mapping[str, Cut] = MappingProxyType(
    {
        'length': Cut(),
        'chunks': Cut(b'transfer-encoding: chunked'),
        'until close': Cut(b''),
        'reset': Cut(reset=True),
        'close later': Cut(b'', later=True),
        'early heads': Cut(b'', before=EARLY_HEADS),
        'late answer': Cut(b'', before=LATE_ANSWER),
        'bare line feeds': Cut(b'', line_end=b'\n'),
        'folded line': Cut(b'', folded=b'\r\n  b'),
    }
)


class CutRunner:
    """Serves connections of one runner with heads that are cut."""

    def __init__(self, cut: Cut, after_answer: bytes = b'') -> None:
        """Cut heads as ``cut`` says, after a whole answer on the same connection if there is one."""
        self.size = 0
        self.served = 0
        # Streams that would go on here.
        self.resumed = 0
        self._cut = cut
        self._first = after_answer

    async def serve(self, transport: Transport) -> None:
        """Serve a connection."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            request = await transport.receive_some(RECEIVE_BYTES)
            if self._first and request:
                await transport.send_all(head_of(_request_id(request), b'content-length: 5'))
                await transport.send_all(self._first)
                request = await transport.receive_some(RECEIVE_BYTES)
            if request:
                self.served += 1
                self.resumed += b'last-event-id' in request.lower()
                await transport.send_all(self._cut.answer(_request_id(request), self.size))
                await trio.sleep(CLOSE_AFTER_S if self._cut.later else 0)
        (transport.reset if self._cut.reset else transport.close)()


def _request_id(request: bytes) -> bytes:
    return request.lower().partition(b'sesamepoint-request-id: ')[2].partition(b'\r\n')[0]


async def sweep_plain(cut: Cut, new_spec: Callable[[], RequestSpec], *, kept: bool = False) -> list[str]:
    """Cut the head at each byte, at the only runner of a plain service; return violations."""
    found: list[str] = []
    async with open_bench(configuration(), [plain_runner(1)]) as bench:
        runner = CutRunner(cut, after_answer=BODY if kept else b'')
        bench.network.listen(bench.runners['i-web1'].address, runner.serve)
        for size in cut.sizes():
            runner.size = size
            served = runner.served
            caller = bench.new_caller('front-1')
            if kept:
                await caller.send(new_spec())
            found += _judge(await caller.send(new_spec()), size)
            if runner.served == served:
                found.append(f'nothing was cut at {size}')
            await trio.sleep(PAUSE_S)
    return found


async def sweep_engines(cut: Cut, stage: str, new_spec: Callable[[], RequestSpec]) -> list[str]:
    """Cut the head at each byte, at the engines of one stage; return violations."""
    found: list[str] = []
    runners = [engine(1, 'prefill'), engine(2, 'decode')]
    async with open_bench(configuration(), runners) as bench:
        runner = CutRunner(cut)
        for each in runners:
            if each.stage == stage:
                bench.network.listen(each.address, runner.serve)
        for size in cut.sizes(STEP):
            runner.size = size
            spec = new_spec()
            answer = await bench.new_caller('front-1').send(spec)
            found += _judge(answer, size, spec.expected_body)
            await trio.sleep(PAUSE_S)
    return found if runner.served else [*found, 'nothing was cut']


async def sweep_resumed(cut: Cut) -> list[str]:
    """Break streams off at one engine, and cut the head at each byte where they go on; return violations."""
    found: list[str] = []
    runners = [engine(number, 'decode', marks_events=True) for number in (1, 2)]
    async with open_bench(configuration(), runners) as bench:
        runners[0].faults.breaks_at_event = 2
        runner = CutRunner(cut)
        bench.network.listen(runners[1].address, runner.serve)
        for size in cut.sizes(STEP):
            runner.size = size
            spec = new_prompt_request('/tag/a', output=4)
            found += _judge(await bench.new_caller('front-1').send(spec), size, spec.expected_body)
            await trio.sleep(PAUSE_S)
    return found if runner.resumed else [*found, 'no stream went on where heads are cut']


def _judge(answer: CallerAnswer, size: int, whole: bytes | None = None) -> list[str]:
    """Return a violation if an answer looks whole and is not."""
    looks_whole = answer.complete and answer.status in range(200, 300)
    if not looks_whole or answer.body == whole:
        return []
    return [f'cut at {size}: status {answer.status} and {len(answer.body)} bytes, framed as whole']


SPECS: Mapping[str, Callable[[], RequestSpec]] = MappingProxyType(
    {
        'idempotent': partial(new_request, '/thumb/a'),
        'non-idempotent': partial(new_request, '/card/a'),
        'HTTP/1.0': partial(new_request, '/thumb/a', http10=True),
        'HEAD': partial(new_request, '/thumb/a', method='HEAD'),
    }
)

__all__ = ('CUTS', 'SPECS', 'Cut', 'CutRunner', 'head_of', 'sweep_engines', 'sweep_plain', 'sweep_resumed')
