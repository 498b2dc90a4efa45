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
        self.last_id = ''
        self._held = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return self._held

    def feed(self, received: bytes) -> bytes:
        """Return the events that are complete with ``received``."""
        self._held += received
        end = self._held.rfind(_EVENT_END)
        if end < 0:
            return b''
        end += len(_EVENT_END)
        complete = self._held[:end]
        self._held = self._held[end:]
        self._note_id(complete)
        return complete

    def restart(self) -> None:
        """Drop the incomplete event, as before another runner resumes the stream."""
        self._held = b''

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b'\n')):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return


__all__ = ('EventSplitter',)
