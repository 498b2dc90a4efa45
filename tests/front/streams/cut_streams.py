"""Streams that their runner breaks off at a given byte, for each framing, end and repeat policy."""

from __future__ import annotations

from collections import deque
from itertools import product
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint_standins.platform.framed_answer import Cut
from sesamepoint_standins.platform.runner_answers import stream_event
from tests.front.builders import configuration, engine, new_prompt_request, route

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping, Sequence

    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer
    from sesamepoint_standins.platform.runner import RunnerStandIn

EVENTS = 2
LINE_ENDS: Mapping[str, bytes] = MappingProxyType({'lf': b'\n', 'crlf': b'\r\n'})
FRAMINGS = (Framing.length, Framing.chunked, Framing.until_close)
# A reset that comes after the bytes have been read, and one that comes before.
CUT_ENDS = (
    (ReadEnd.closed, 0),
    (ReadEnd.reset, 0.01),
    (ReadEnd.reset, 0),
    (ReadEnd.last_byte, 0),
)
# Repeat policies that streams may have.
POLICIES = ('resume', 'never')
# Pause between two streams, in seconds: the retry budget allows each of them a second runner.
INTERVAL_S = 0.5


class CutStream(NamedTuple):
    """A stream that is broken off, and what its caller got."""

    policy: str
    framing: Framing
    line_end: str
    cut: Cut
    answer: CallerAnswer
    # The whole body, as its first runner makes it.
    whole: bytes

    @property
    def at_edge(self) -> bool:
        """Tell whether the cut is between two events, or before the first."""
        sent = self.whole[: self.cut.at_byte]
        return not sent or sent.endswith(LINE_ENDS[self.line_end] * 2)

    @property
    def faults(self) -> list[str]:
        """Return what its caller may not see; empty if the answer is right."""
        answer = self.answer
        found = []
        succeeded = answer.status == 200
        if succeeded and answer.half_event:
            found.append('half an event')
        if succeeded and answer.complete and not self._whole_enough():
            found.append('a part that is framed as complete')
        if succeeded and not self.whole.startswith(answer.raw):
            found.append('other bytes than those of its runners')
        return found

    def _whole_enough(self) -> bool:
        if self.answer.raw == self.whole:
            return True
        # The runner itself says that the stream is complete, or nothing tells that it isn't.
        said_so = self.cut.read_end is ReadEnd.last_byte
        nothing_tells = self.framing is Framing.until_close and self.cut.read_end is ReadEnd.closed
        return self.at_edge and (said_so or nothing_tells)


def cut_configuration(**changes: Any) -> dict[str, Any]:
    """Return a configuration with a streamed route for each repeat policy."""
    routes = [
        route(policy, f'/{policy}/', 'llm', 'streaming', resumable=policy == 'resume', gap_aim_ms=150)
        for policy in POLICIES
    ]
    return {**configuration(), 'routes': routes, **changes}


def framed_engine(number: int, framing: Framing, line_end: str) -> RunnerStandIn:
    """Return a decode engine that frames its streams in one way."""
    return engine(number, 'decode', framing=framing, line_end=LINE_ENDS[line_end])


def all_cuts(size: int) -> Iterator[Cut]:
    """Return each way to break off a body of ``size`` bytes."""
    for at_byte, (read_end, delay_s) in product(range(size), CUT_ENDS):
        yield Cut(at_byte, read_end, delay_s)


async def run_cut(
    bench: PlatformBench, runners: Sequence[RunnerStandIn], policy: str, cut: Cut, **changes: Any
) -> CutStream:
    """Run one stream that is broken off at its first runner."""
    cuts = deque((cut,))
    for runner in runners:
        runner.habits.cuts = cuts
    spec = new_prompt_request(f'/{policy}/a', output=EVENTS, **changes)
    answer = await bench.new_caller('front-1').send(spec)
    first = runners[0]
    line_end = first.line_end or LINE_ENDS['lf']
    names = {text: name for name, text in LINE_ENDS.items()}
    await trio.sleep(INTERVAL_S)
    whole = whole_body(spec.request_id, line_end)
    return CutStream(policy, first.framing or Framing.chunked, names[line_end], cut, answer, whole)


def whole_body(request_id: str, line_end: bytes) -> bytes:
    """Return the body of the whole stream."""
    events = (stream_event(request_id, number) for number in range(1, EVENTS + 1))
    return b''.join(events).replace(b'\n', line_end)


__all__ = (
    'EVENTS',
    'FRAMINGS',
    'LINE_ENDS',
    'POLICIES',
    'CutStream',
    'all_cuts',
    'cut_configuration',
    'framed_engine',
    'run_cut',
    'whole_body',
)
