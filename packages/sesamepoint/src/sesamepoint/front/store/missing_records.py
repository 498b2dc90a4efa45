"""Records of a topic that updates of peers left out, and the peers to ask for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sesamepoint.front.store.record_handlers import RecordHandlers


class MissingRecords:
    """Asks peers for what neither the store nor an update brings to this instance.

    A store that refuses this instance, or does not answer it, returns no records of a gap either. When peers were not
    asked, requests reached a leaving runner for 10 s: the peers had read its leaving from a list, after which they
    send no update.
    """

    def __init__(self, handlers: RecordHandlers) -> None:
        """Ask by ``handlers``."""
        self._handlers = handlers
        # The sender of the latest update that lacked its records.
        self._update_sender = ''
        # The sender of the latest update that left a gap which this instance has not read since.
        self._gap_sender = ''

    def note_incomplete(self, sender: str) -> None:
        """Note that an update lacked its records."""
        self._update_sender = sender

    def note_gap(self, sender: str) -> None:
        """Note that an update left a gap to what is known."""
        self._gap_sender = sender

    def note_read(self) -> None:
        """Note that the store has answered, so that there is no gap any more."""
        self._gap_sender = ''

    def ask(self) -> None:
        """Ask the senders of such updates, since the store does not answer this instance."""
        if self._handlers.request_from and self._update_sender:
            self._handlers.request_from(self._update_sender)
            self._update_sender = ''
        if self._gap_sender:
            self._handlers.ask_about_gap(self._gap_sender)
            self._gap_sender = ''


__all__ = ('MissingRecords',)
