"""Splitter of the bytes of an event stream into whole events."""

from __future__ import annotations

import re

BYTE_ORDER_MARK = b'\xef\xbb\xbf'
# Longest event that is kept until it is whole, in bytes. A runner whose event never ends would otherwise fill the
# memory of its instance.
MAX_EVENT_BYTES = 262_144
_CR = b'\r'
_LF = b'\n'
_LINE_END_BYTES = b'\r\n'
_COMMENT_BYTE = ord(':')
_ID_FIELD = b'id'
_ID_LINE_START = b'\nid'
# First bytes of a comment, a blank line and a byte order mark.
_NO_FIELD_BYTES = b':\n\xef'
# A CR that ends a line by itself.
_LONE_CR = re.compile(rb'\r[^\n]')
_EVENT_END = b'\n\n'
# An id with one of these can't be sent as a header.
_NO_HEADER_BYTES = re.compile(rb'[\0\v\f]')


class EventSplitter:
    """Keeps bytes back until the event that they belong to is whole.

    A runner may fail in the middle of an event. Callers get only whole events,
    so that a stream resumed at another runner never joins parts of two events.

    As in the WHATWG standard of server-sent events, lines end with LF, CR LF or CR, and a
    blank line ends an event. A comment between two events is passed on with its line, since senders
    keep idle connections open with it. Before the first event it is kept: once anything has been passed on,
    the answer can't come from another runner.
    """

    def __init__(self) -> None:
        """Start before the first byte of a stream."""
        self.last_event_id = ''
        # Whether any bytes were passed on, before the last restart too.
        self._passed_on = False
        self.restart()

    def restart(self) -> None:
        """Drop the incomplete event, as before another runner resumes the stream."""
        # Number of whole events since the last restart.
        self.whole_events = 0
        self._at_start = True
        # Bytes whose meaning depends on the next one.
        self._unsettled = b''
        # Whether lines of the body end with CR alone, and whether the latest byte was such a line end.
        self._lone_cr = False
        self._after_lone_cr = False
        self._event_begun = False
        self._new_id: str | None = None
        # Parts of the incomplete event, after those of comments before the first event, and of its incomplete line.
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._comment_bytes = 0
        self._line: list[bytes] = []

    @property
    def kept_bytes(self) -> int:
        """Return the number of bytes that are kept back, comments before the first event included."""
        return self._kept_bytes + len(self._unsettled)

    @property
    def left_over_bytes(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return self._kept_bytes - self._comment_bytes + len(self._unsettled)

    @property
    def too_long(self) -> bool:
        """Tell whether the incomplete event exceeds the limit."""
        return self._kept_bytes > MAX_EVENT_BYTES

    def feed(self, received: bytes) -> bytes:
        """Return the events that are whole with ``received``."""
        if self._holds_only_events(received):
            return self._pass_on(received)
        text = self._unsettled + received
        self._unsettled = b''
        if self._at_start:
            text = self._skip_byte_order_mark(text)
        if _CR in text:
            text = self._hold_back_cr(text)
        whole_bytes = self._scan(text)
        self._after_lone_cr = self._lone_cr and text.endswith(_CR)
        return self._take(text, whole_bytes)

    def take_comments(self) -> bytes:
        """Return the comments of a stream that has ended without any event."""
        comments = b''.join(self._kept)[: self._comment_bytes]
        self._drop_kept()
        return comments

    def _holds_only_events(self, received: bytes) -> bool:
        """Return whether whole events with LF line ends are all that has come since the last whole event.

        That is the usual case, since senders write whole events; scanning each line takes several times as long.
        """
        if self._kept or self._unsettled or not received.endswith(_EVENT_END):
            return False
        if received[0] in _NO_FIELD_BYTES or _CR in received:
            return False
        return b'\n\n\n' not in received and b'\n:' not in received

    def _pass_on(self, whole: bytes) -> bytes:
        self.whole_events += whole.count(_EVENT_END)
        self._note_last_id(whole)
        self._passed_on = True
        self._at_start = False
        self._after_lone_cr = False
        return whole

    def _note_last_id(self, whole: bytes) -> None:
        """Note the id of the last event in ``whole`` that has one."""
        end = len(whole)
        while end > 0 and self._new_id is None:
            start = whole.rfind(_ID_LINE_START, 0, end)
            line_start = start + 1 if start >= 0 else 0
            if whole.startswith(_ID_FIELD, line_start):
                self._note_id(whole[line_start : whole.index(_LF, line_start)])
            end = start
        if self._new_id is not None:
            self.last_event_id = self._new_id
            self._new_id = None

    def _skip_byte_order_mark(self, text: bytes) -> bytes:
        """Take the byte order mark from the start of a body; it is passed on only at the start of the stream."""
        if len(text) < len(BYTE_ORDER_MARK) and BYTE_ORDER_MARK.startswith(text):
            self._unsettled = text
            return b''
        self._at_start = False
        if not text.startswith(BYTE_ORDER_MARK):
            return text
        if not self._passed_on:
            self._keep(BYTE_ORDER_MARK)
        return text.removeprefix(BYTE_ORDER_MARK)

    def _hold_back_cr(self, text: bytes) -> bytes:
        """Hold back a CR at the end of ``text`` if an LF may belong to it.

        Where lines end with CR alone, it ends its line at once: its event would come late otherwise.
        """
        self._lone_cr = self._lone_cr or _LONE_CR.search(text) is not None
        if self._lone_cr or not text.endswith(_CR):
            return text
        self._unsettled = _CR
        return text[:-1]

    def _scan(self, text: bytes) -> int:
        """Return the number of bytes of ``text`` up to the end of its last whole event."""
        whole_bytes = 0
        scanned = 0
        if self._after_lone_cr and text.startswith(_LF):
            # The second byte of a line end that has ended its line already.
            scanned = 1
            whole_bytes = 0 if self._kept else 1
        for line in text[scanned:].splitlines(keepends=True):
            scanned += len(line)
            if line[-1] not in _LINE_END_BYTES:
                self._line.append(line)
            elif self._end_line(line):
                whole_bytes = scanned
        return whole_bytes

    def _end_line(self, line: bytes) -> bool:
        """Take in a line with its end; return whether nothing of an event is left over after it."""
        if self._line:
            line = b''.join((*self._line, line))
            self._line.clear()
        if line[0] in _LINE_END_BYTES:
            self._end_event()
            return True
        if line[0] == _COMMENT_BYTE:
            return not self._event_begun
        self._event_begun = True
        if line.startswith(_ID_FIELD):
            self._note_id(line)
        return False

    def _end_event(self) -> None:
        if not self._event_begun:
            return
        self._event_begun = False
        self.whole_events += 1
        if self._new_id is not None:
            self.last_event_id = self._new_id
            self._new_id = None

    def _note_id(self, line: bytes) -> None:
        name, _, text = line.rstrip(_LINE_END_BYTES).partition(b':')
        if name == _ID_FIELD:
            self._new_id = _decode_id(text)

    def _take(self, text: bytes, whole_bytes: int) -> bytes:
        """Return the kept bytes with the first ``whole_bytes`` of ``text``, and keep the rest."""
        if whole_bytes and not self.whole_events and not self._passed_on:
            self._comment_bytes = self._kept_bytes + whole_bytes
            whole_bytes = 0
        whole = text[:whole_bytes]
        if whole_bytes:
            whole = b''.join((*self._kept, whole)) if self._kept else whole
            self._drop_kept()
            self._passed_on = True
        if whole_bytes < len(text):
            self._keep(text[whole_bytes:])
        return whole

    def _drop_kept(self) -> None:
        self._kept = []
        self._kept_bytes = 0
        self._comment_bytes = 0

    def _keep(self, part: bytes) -> None:
        self._kept.append(part)
        self._kept_bytes += len(part)


def _decode_id(text: bytes) -> str:
    return '' if _NO_HEADER_BYTES.search(text) else text.strip().decode('latin-1')


__all__ = ('MAX_EVENT_BYTES', 'EventSplitter')
