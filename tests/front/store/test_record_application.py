"""Whole lists that are applied as changes of a topic."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.store.record_application import RecordApplication
from sesamepoint.platform.store import HistoryGoneError, KeyedRecord, TopicRecords

KEPT = KeyedRecord('kept', b'1')
GONE = KeyedRecord('gone', b'1')
END = 7


class RecordApplicationTest(TestCase):
    """Changes that a whole list shows."""

    def test_changes_deleted_key(self) -> None:
        """Guards against a runner that was removed from the list, and goes on getting requests."""
        found = _applied().changes_since(END - 1, TopicRecords((KEPT,), END))
        self.assertEqual(found.records, (KEPT, KeyedRecord('gone', b'')))

    def test_changes_no_new_offset(self) -> None:
        """Guards against updates of a list that has not changed."""
        self.assertEqual(_applied().changes_since(END, TopicRecords((KEPT, GONE), END)).records, ())

    def test_changes_list_of_shorter_log(self) -> None:
        """Guards against the list of an older copy of the store that counts as changes."""
        with self.assertRaises(HistoryGoneError):
            _applied().changes_since(END, TopicRecords((KEPT,), END - 1))


def _applied() -> RecordApplication:
    application = RecordApplication('keyed.x', lambda _: None, lambda _: True)
    application.replace_all((KEPT,))
    application.update(GONE)
    application.update(KeyedRecord('deleted before', b''))
    return application
