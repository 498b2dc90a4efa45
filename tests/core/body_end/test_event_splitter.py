"""Splitting of event streams, whatever their line ends and wherever they are cut.

The splitter knew events that end with two LF only. A stream with other line ends was held back until its end, and
whether its last event was whole could not be told.
"""

from __future__ import annotations

import re
from itertools import pairwise
from time import process_time
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sesamepoint_core.body_end.event_splitter import MAX_EVENT_BYTES, EventSplitter

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
LINE_ENDS = (b'\n', b'\r\n', b'\r')
LINES = ('data: a', 'data', 'id: 7', 'id:8', 'id', 'id:', 'idle: 1', ': kept open', ':', 'event: x', 'data: \u00e9')
BLOCKS = st.lists(st.sampled_from(LINES), min_size=0, max_size=4)


@st.composite
def streams(draw: st.DrawFn) -> bytes:
    """Return the bytes of some whole events, with the same line ends in all of them."""
    line_end = draw(st.sampled_from(LINE_ENDS))
    blocks = draw(st.lists(BLOCKS, min_size=0, max_size=5))
    lines = [line.encode() for block in blocks for line in (*block, '')]
    mark = BYTE_ORDER_MARK if draw(st.booleans()) else b''
    return mark + b''.join(line + line_end for line in lines)


@st.composite
def cut_streams(draw: st.DrawFn) -> tuple[bytes, list[bytes]]:
    """Return a stream and the parts in which it arrives."""
    stream = draw(streams())
    cuts = sorted(draw(st.sets(st.integers(0, len(stream)), max_size=8)))
    return stream, [stream[start:end] for start, end in pairwise((0, *cuts, len(stream)))]


class EventSplitterTest(TestCase):
    """What is passed on of a stream, and what is kept back."""

    @given(cut_streams())
    def test_no_byte_is_lost(self, cut_stream: tuple[bytes, list[bytes]]) -> None:
        """Guards against bytes that are lost, doubled or reordered between the parts of a stream."""
        stream, parts = cut_stream
        splitter = EventSplitter()
        passed_on = b''.join(splitter.feed(part) for part in parts)
        left_over = splitter.left_over_bytes
        passed_on += splitter.take_comments()
        self.assertTrue(stream.startswith(passed_on))
        self.assertEqual(len(stream), len(passed_on) + left_over)

    @given(cut_streams())
    def test_whole_stream_is_passed_on(self, cut_stream: tuple[bytes, list[bytes]]) -> None:
        """Guards against whole events that are kept back, whatever their line ends."""
        stream, parts = cut_stream
        splitter = EventSplitter()
        passed_on = b''.join(splitter.feed(part) for part in parts) + splitter.take_comments()
        # A byte order mark with no line after it is no event.
        expected = b'' if stream == BYTE_ORDER_MARK else stream
        # A CR may be the first byte of a line end as long as no other line has shown the opposite.
        if stream.count(b'\r') == 1 and stream.endswith(b'\r'):
            return
        self.assertEqual(passed_on, expected)
        self.assertEqual(splitter.whole_events, _events_in(stream))
        self.assertEqual(splitter.last_event_id, _last_id_in(stream))

    @given(streams(), st.integers(0, 200))
    def test_no_half_event_is_passed_on(self, stream: bytes, at_byte: int) -> None:
        """Guards against a part of an event that is passed on, or that is not seen to be left over."""
        splitter = EventSplitter()
        passed_on = splitter.feed(stream[:at_byte])
        self.assertEqual(_open_fields(passed_on), [])
        if _open_fields(stream[:at_byte]):
            self.assertGreater(splitter.left_over_bytes, 0)

    def test_event_with_cr_is_not_late(self) -> None:
        """Guards against an event that waits for the next one because its line ends are CR alone."""
        self.assertEqual(EventSplitter().feed(b'data: a\r\r'), b'data: a\r\r')

    def test_line_end_cut_in_two(self) -> None:
        """Guards against a CR LF that is taken for two line ends, or for one, when it arrives in two parts."""
        splitter = EventSplitter()
        passed_on = [splitter.feed(part) for part in (b'data: a\r\n\r', b'\ndata: b\r', b'\ndata: c\r\n\r\n')]
        self.assertEqual(passed_on, [b'', b'data: a\r\n\r\n', b'data: b\r\ndata: c\r\n\r\n'])
        self.assertEqual(splitter.whole_events, 2)

    def test_stream_that_ends_within_line_end(self) -> None:
        """Guards against a stream that ends between CR and LF and is taken for whole."""
        splitter = EventSplitter()
        splitter.feed(b'data: a\r\n\r')
        self.assertGreater(splitter.left_over_bytes, 0)

    def test_comment_is_passed_on_at_once(self) -> None:
        """Guards against a comment that keeps a connection open and is held back until the next event."""
        splitter = EventSplitter()
        splitter.feed(b'data: a\n\n')
        self.assertEqual([splitter.feed(part) for part in (b': b\n', b'data: c\n: d\n')], [b': b\n', b''])
        self.assertEqual(splitter.whole_events, 1)

    def test_comment_before_first_event(self) -> None:
        """Guards against a comment after which a stream without an event can't come from another runner."""
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b': a\n\n'), b'')
        self.assertEqual(splitter.left_over_bytes, 0)
        self.assertEqual(splitter.feed(b'data: b\n\n'), b': a\n\ndata: b\n\n')

    def test_stream_of_comments(self) -> None:
        """Guards against a complete stream without events that loses its bytes or counts as broken off."""
        splitter = EventSplitter()
        splitter.feed(b': a\n')
        self.assertEqual((splitter.left_over_bytes, splitter.take_comments()), (0, b': a\n'))

    def test_id_without_value(self) -> None:
        """Guards against a stream that goes on after an id that its runner has taken back."""
        splitter = EventSplitter()
        splitter.feed(b'id: 7\ndata: a\n\nid\ndata: b\n\n')
        self.assertEqual(splitter.last_event_id, '')

    def test_id_of_incomplete_event(self) -> None:
        """Guards against a stream that goes on after an event which its caller does not have."""
        splitter = EventSplitter()
        splitter.feed(b'id: 7\ndata: a\n\nid: 8\ndata: b\n')
        self.assertEqual(splitter.last_event_id, '7')

    def test_id_that_no_header_holds(self) -> None:
        """Guards against an id that breaks the request which would go on after it."""
        splitter = EventSplitter()
        splitter.feed(b'id: 7\x0b8\ndata: a\n\n')
        self.assertEqual(splitter.last_event_id, '')

    def test_byte_order_mark_of_second_runner(self) -> None:
        """Guards against a byte order mark in the middle of a stream, which spoils the event after it."""
        splitter = EventSplitter()
        first = splitter.feed(b'\xef\xbb\xbfid: 1\ndata: a\n\n')
        splitter.restart()
        second = b''.join(splitter.feed(part) for part in (b'\xef', b'\xbb\xbfid: 2\n', b'data: b\n\n'))
        self.assertEqual((first, second), (b'\xef\xbb\xbfid: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n'))
        self.assertEqual(splitter.last_event_id, '2')

    def test_long_event(self) -> None:
        """Guards against a time that grows with the square of an event's length."""
        parts = [b'data: ', *(b'x' * 1024 for _ in range(10_240)), b'\n\n']
        splitter = EventSplitter()
        started = process_time()
        passed_on = b''.join(splitter.feed(part) for part in parts)
        # Joining the kept bytes at each part takes over ten seconds.
        self.assertLess(process_time() - started, 2)
        self.assertEqual(len(passed_on), sum(len(part) for part in parts))
        self.assertFalse(splitter.too_long)

    def test_event_without_end(self) -> None:
        """Guards against an event that fills the memory of an instance."""
        splitter = EventSplitter()
        part = b'x' * 65_536
        for _ in range(MAX_EVENT_BYTES // len(part) + 1):
            splitter.feed(part)
        self.assertTrue(splitter.too_long)


def _blocks_of(stream: bytes) -> list[list[bytes]]:
    """Return the lines of each block that a blank line ends, by the text of the standard."""
    text = re.sub(rb'\r\n|\r', b'\n', stream.removeprefix(BYTE_ORDER_MARK))
    blocks: list[list[bytes]] = [[]]
    for line in text.split(b'\n')[:-1]:
        if line:
            blocks[-1].append(line)
        else:
            blocks.append([])
    return blocks[:-1]


def _fields_of(block: list[bytes]) -> list[bytes]:
    return [line for line in block if not line.startswith(b':')]


def _events_in(stream: bytes) -> int:
    return sum(bool(_fields_of(block)) for block in _blocks_of(stream))


def _last_id_in(stream: bytes) -> str:
    lines = [line for block in _blocks_of(stream) for line in _fields_of(block)]
    ids = [line.partition(b':')[2].strip() for line in lines if line.partition(b':')[0] == b'id']
    return ids[-1].decode() if ids else ''


def _open_fields(stream: bytes) -> list[bytes]:
    """Return the field lines, or parts of them, after the last blank line."""
    text = re.sub(rb'\r\n|\r', b'\n', stream.removeprefix(BYTE_ORDER_MARK))
    after = re.split(rb'\A\n|\n\n', text)[-1]
    return [line for line in after.split(b'\n') if line and not line.startswith(b':')]
