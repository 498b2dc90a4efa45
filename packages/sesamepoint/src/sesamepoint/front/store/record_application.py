"""Applying records of a topic, so that one that fails does not keep the others from being applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.platform.store import KeyedRecord


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

    def replace_all(self, records: tuple[KeyedRecord, ...]) -> None:
        """Replace the local state by the whole topic, or by those of its records that can be applied."""
        try:
            self._replace_all(records)
        except Exception as exc:
            self._log('', exc)
            self._replace_all(tuple(filter(self._can_be_applied, records)))

    def update(self, record: KeyedRecord) -> bool:
        """Apply one record; return whether it changed the local state."""
        try:
            return self._update(record)
        except Exception as exc:
            self._log(record.key, exc)
            return False

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
