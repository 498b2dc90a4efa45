"""Cutting a stream of server-sent events into whole events."""

from __future__ import annotations

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


class EventSplitter:
    """Collects bytes and hands out whole events.

    A runner may stop in the middle of an event. Only whole events go to the
    caller, so that a stream that goes on at another runner never joins the
    halves of two.
    """

    def __init__(self) -> None:
        """Start with nothing held."""
        self.last_id = ''
        self._held = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that is not whole."""
        return self._held

    def feed(self, received: bytes) -> bytes:
        """Return the whole events up to the end of ``received``."""
        self._held += received
        end = self._held.rfind(_EVENT_END)
        if end < 0:
            return b''
        end += len(_EVENT_END)
        whole = self._held[:end]
        self._held = self._held[end:]
        self._note_id(whole)
        return whole

    def restart(self) -> None:
        """Drop the unfinished event; another runner goes on."""
        self._held = b''

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.split(b'\n')):
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
                return


__all__ = ('EventSplitter',)
