"""Streams that their runner breaks off while it lives on.

An engine closed the connection of an answer with neither a length nor chunks in the middle of an event. The instance
took the close for the end of the answer, sent the half event on and framed the answer as complete, so its caller
had no reason to ask again.
"""

from __future__ import annotations

from itertools import product
from typing import TYPE_CHECKING
from unittest import TestCase

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint_standins.platform.bench import open_bench
from tests.front.streams.cut_streams import (
    FRAMINGS,
    LINE_ENDS,
    POLICIES,
    CutStream,
    all_cuts,
    cut_configuration,
    framed_engine,
    run_cut,
    whole_body,
)
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_standins.platform.framed_answer import Cut

ENGINES = 6
# A lasting fault may use the reserve of the retry budget once; it has 40 sends.
WITHIN_BUDGET = 30


class CutStreamsTest(TestCase):
    """What callers get of streams that end inside an event."""

    @in_virtual_time
    async def test_connection_ends_inside_event(self) -> None:
        """Guards against a stream whose connection ends inside an event and that reaches its caller as complete."""
        for framing, line_end in product(FRAMINGS, LINE_ENDS):
            cuts = [cut for cut in _cuts(line_end) if cut.read_end is not ReadEnd.last_byte]
            streams = await _run_cuts(framing, line_end, cuts, POLICIES)
            self.assertEqual(_wrong(streams), [], f'{framing} {line_end}')

    @in_virtual_time
    async def test_framing_ends_inside_event(self) -> None:
        """Guards against a stream that ends inside an event and is passed on as complete since its framing says so."""
        for framing, line_end in product(FRAMINGS, LINE_ENDS):
            cuts = [cut for cut in _cuts(line_end) if cut.read_end is ReadEnd.last_byte]
            streams = await _run_cuts(framing, line_end, cuts, POLICIES)
            self.assertEqual(_wrong(streams), [], f'{framing} {line_end}')

    @in_virtual_time
    async def test_cut_stream_goes_on(self) -> None:
        """Guards against a resumable stream that is not taken to another runner after it ended inside an event."""
        for framing, line_end in product(FRAMINGS, LINE_ENDS):
            cuts = _cuts(line_end)
            for start in range(0, len(cuts), WITHIN_BUDGET):
                group = cuts[start : start + WITHIN_BUDGET]
                streams = await _run_cuts(framing, line_end, group, ['resume'])
                unserved = [stream for stream in streams if not stream.at_edge and stream.answer.raw != stream.whole]
                self.assertEqual([stream.cut for stream in unserved][:3], [], f'{framing} {line_end}')


def _wrong(streams: Sequence[CutStream]) -> list[str]:
    """Describe some of the streams whose callers got what they may not get."""
    wrong = [
        f'{stream.policy}, {stream.cut}: {stream.faults} in {stream.answer.raw!r}'
        for stream in streams
        if stream.faults
    ]
    return wrong[:3]


def _cuts(line_end: str) -> list[Cut]:
    return list(all_cuts(len(whole_body('p000', LINE_ENDS[line_end]))))


async def _run_cuts(framing: Framing, line_end: str, cuts: Sequence[Cut], policies: Sequence[str]) -> list[CutStream]:
    engines = [framed_engine(number, framing, line_end) for number in range(1, ENGINES + 1)]
    async with open_bench(cut_configuration(), engines) as bench:
        return [await run_cut(bench, engines, policy, cut) for cut in cuts for policy in policies]
