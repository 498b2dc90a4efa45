"""A stream over one hop: its caller sees a complete one only if its runner's was, and never half an event.

Framing holds for one hop. An instance that translates the end of a connection into the end of an answer says
something that nobody told it.
"""

from __future__ import annotations

from itertools import product
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sesamepoint_core.body_end.body_facts import BodyFacts, Framing, ReadEnd
from sesamepoint_core.body_end.decision import BodyEnd, BreakCause, BrokenOff, Complete, Unmarked, decide_end
from sesamepoint_core.body_end.event_splitter import EventSplitter
from sesamepoint_core.body_end.response_end import ResponseEnd
from tests.core.body_end.relay_model import Decisions, Hop, faults, relay

LINE_ENDS = ('\n', '\r\n', '\r')
EVENTS = ('id: 1\ndata: a\n\n', ': open\n\n', 'data: b\ndata: c\n\n', 'id\ndata: d\n\n')
FRAMINGS = (Framing.length, Framing.chunked, Framing.until_close)
CALLER_FRAMINGS = (Framing.chunked, Framing.until_close)
READ_ENDS = tuple(end for end in ReadEnd if end is not ReadEnd.given_up)


@st.composite
def hops(draw: st.DrawFn) -> Hop:
    """Return a stream that ends somewhere, somehow."""
    line_end = draw(st.sampled_from(LINE_ENDS))
    events = draw(st.lists(st.sampled_from(EVENTS), max_size=4))
    stream = ''.join(events).replace('\n', line_end).encode()
    sent = draw(st.integers(0, len(stream)))
    return Hop(
        stream,
        sent,
        tuple(draw(st.lists(st.integers(1, max(len(stream), 1)), max_size=5))),
        draw(st.sampled_from(FRAMINGS)),
        draw(st.sampled_from(READ_ENDS)),
        draw(st.booleans()),
        draw(st.sampled_from(CALLER_FRAMINGS)),
    )


class LineFeedSplitter(EventSplitter):
    """Takes two LF for the only end of an event."""

    def feed(self, received: bytes) -> bytes:
        """Return the bytes up to the last two LF, and know nothing of those after them."""
        end = received.rfind(b'\n\n') + 2
        self.whole_events += received.count(b'\n\n')
        return received if end == 1 else received[:end]


class RelayModelTest(TestCase):
    """One hop with all decisions, and with one of them faulty."""

    @given(hops())
    def test_no_fault(self, hop: Hop) -> None:
        """Guards against a caller that takes a broken stream for whole, or gets half an event."""
        if hop.possible:
            self.assertEqual(faults(hop, relay(hop, Decisions())), [])

    def test_close_is_an_end(self) -> None:
        """A close is taken for the end under every framing."""
        self._assert_caught(Decisions(decide=_close_is_an_end))

    def test_reset_is_an_end(self) -> None:
        """A reset is taken for the end of an answer without a length and chunks."""
        self._assert_caught(Decisions(decide=_reset_is_an_end))

    def test_left_over_is_ignored(self) -> None:
        """A stream may end inside an event."""
        self._assert_caught(Decisions(decide=_left_over_is_ignored))

    def test_sender_is_ignored(self) -> None:
        """The end of the runner's process tells nothing."""
        self._assert_caught(Decisions(settle=_sender_is_ignored))

    def test_empty_stream_is_believed(self) -> None:
        """A stream without any event may be whole."""
        self._assert_caught(Decisions(settle=_believed))

    def test_connection_is_closed_in_order(self) -> None:
        """A caller without chunks gets an orderly end of a broken answer."""
        self._assert_caught(Decisions(respond=_closed_in_order))

    def test_line_feeds_only(self) -> None:
        """Events end with two LF only."""
        self._assert_caught(Decisions(splitter=LineFeedSplitter))

    def _assert_caught(self, decisions: Decisions) -> None:
        self.assertTrue(any(faults(hop, relay(hop, decisions)) for hop in _all_hops()))


def _all_hops() -> list[Hop]:
    """Return a stream with each line end, broken off at each byte in each way."""
    ways = product(LINE_ENDS, FRAMINGS, READ_ENDS, (False, True), CALLER_FRAMINGS)
    hops_by_way = (_hops_of(*way) for way in ways)
    return [hop for found in hops_by_way for hop in found if hop.possible]


def _hops_of(
    line_end: str, framing: Framing, read_end: ReadEnd, sender_ended: bool, caller_framing: Framing
) -> list[Hop]:
    stream = EVENTS[0].replace('\n', line_end).encode() * 2
    first = Hop(stream, 0, (), framing, read_end, sender_ended, caller_framing)
    return [first._replace(sent=sent) for sent in range(len(stream) + 1)]


def _close_is_an_end(facts: BodyFacts) -> BodyEnd:
    return Complete(facts) if facts.read_end is ReadEnd.closed else decide_end(facts)


def _reset_is_an_end(facts: BodyFacts) -> BodyEnd:
    if facts.framing is Framing.until_close and facts.read_end is ReadEnd.reset:
        return decide_end(facts._replace(read_end=ReadEnd.closed))
    return decide_end(facts)


def _left_over_is_ignored(facts: BodyFacts) -> BodyEnd:
    return decide_end(facts._replace(left_over_bytes=0))


def _sender_is_ignored(end: Unmarked, *, sender_ended: bool) -> Complete:
    return Complete(end.facts)


def _believed(end: Unmarked, *, sender_ended: bool) -> Complete | BrokenOff:
    return BrokenOff(end.facts, BreakCause.sender_ended) if sender_ended else Complete(end.facts)


def _closed_in_order(framing: Framing, *, complete: bool) -> ResponseEnd:
    return ResponseEnd.close
