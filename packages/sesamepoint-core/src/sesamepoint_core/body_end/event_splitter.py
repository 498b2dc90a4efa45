"""Splitter of byte streams into complete server-sent events."""

from __future__ import annotations

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """Buffers bytes and returns complete events.

    A runner may fail in the middle of an event. Callers get only complete events,
    so that a stream resumed at another runner never joins parts of two events.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.last_event_id = ''
        # Number of complete events since the last restart.
        self.whole_events = 0
        self._buffer = b''

    @property
    def remainder(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return self._buffer

    def feed(self, received: bytes) -> bytes:
        """Return the events that are complete with ``received``."""
        self._buffer += received
        end = self._buffer.rfind(_EVENT_END)
        if end < 0:
            return b''
        end += len(_EVENT_END)
        complete = self._buffer[:end]
        self.whole_events += complete.count(_EVENT_END)
        self._buffer = self._buffer[end:]
        self._note_last_event_id(complete)
        return complete

    def restart(self) -> None:
        """Drop the incomplete event, as before another runner resumes the stream."""
        self._buffer = b''
        self.whole_events = 0

    def _note_last_event_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b'\n')):
            if line.startswith(_ID_FIELD):
                self.last_event_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return


__all__ = ('EventSplitter',)
