"""Applying records of a topic, so that one that fails does not keep the others from being applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint import events
from sesamepoint.platform.store import HistoryGoneError, KeyedRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.platform.store import TopicRecords


class RecordApplication:
    """Applies records by the handlers of a topic.

    An error of a handler would end the task that follows the topic, which would read the same record after each
    restart, and end again.
    """

    def __init__(
        self,
        topic: str,
        replace_all: Callable[[tuple[KeyedRecord, ...]], None],
        update: Callable[[KeyedRecord], bool],
    ) -> None:
        """Apply records of ``topic`` by the given handlers."""
        self._topic = topic
        self._replace_all = replace_all
        self._update = update
        # Keys that the topic has now, by what was applied.
        self._keys: set[str] = set()

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace the local state by the whole topic, or by those of its records that can be applied."""
        self._keys = {record.key for record in records}
        try:
            self._replace_all(records)
        except Exception as exc:
            self._log('', exc)
            self._replace_all(tuple(filter(self._can_be_applied, records)))

    def update(self, record: KeyedRecord) -> bool:
        """Apply one record; return whether it changed the local state."""
        if record.text:
            self._keys.add(record.key)
        else:
            self._keys.discard(record.key)
        try:
            return self._update(record)
        except Exception as exc:
            self._log(record.key, exc)
            return False

    def changes_since(self, start: int, listing: TopicRecords) -> TopicRecords:
        """Return a whole list as the records that the log may have from ``start`` on, deleted keys among them.

        Raises
        ------
        HistoryGoneError
            If the log ends before ``start``.
        """
        if listing.end < start:
            raise HistoryGoneError
        if listing.end == start:
            return listing._replace(records=())
        deleted = self._keys - {record.key for record in listing.records}
        return listing._replace(records=listing.records + tuple(KeyedRecord(key, b'') for key in sorted(deleted)))

    def _can_be_applied(self, record: KeyedRecord) -> bool:
        try:
            self._update(record)
        except Exception as exc:
            self._log(record.key, exc)
            return False
        return True

    def _log(self, key: str, exc: Exception) -> None:
        events.log_event(events.RECORD_NOT_APPLIED, topic=self._topic, key=key, cause=repr(exc))


__all__ = ('RecordApplication',)
