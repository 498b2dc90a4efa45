"""What an instance sends to its peers after it has polled a topic."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.store.out_of_order import Position
from sesamepoint.front.store.topic_updates import TopicUpdate
from sesamepoint.platform.store import KeyedRecord
from tests.front.topic_simulation import TOPIC, TopicSimulation
from tests.virtual_time import in_virtual_time

CHANGED = KeyedRecord('k1', b'changed')


class ChangedRecordsTest(TestCase):
    """The changed records of a poll."""

    @in_virtual_time
    async def test_changed_by_out_of_order_update(self) -> None:
        """An out-of-order update has changed a record before the poll returns it.

        Guards against leaving the record out of the update to the peers: those that had not
        received the out-of-order update then moved past the record and kept the old one.
        """
        watch = TopicSimulation(3).instances['e0'].watch
        watch._has_records = True  # noqa: SLF001
        watch.turns.end = 10
        watch.on_update(TopicUpdate('e1', TOPIC, 12, 14, (CHANGED,)))
        self.assertEqual(watch._update(Position(0, 14), (CHANGED,)), [CHANGED])  # noqa: SLF001

    @in_virtual_time
    async def test_unchanged_record(self) -> None:
        """Guards against updates that repeat every renewal of a registration."""
        watch = TopicSimulation(3).instances['e0'].watch
        watch._update(Position(0, 10), (CHANGED,))  # noqa: SLF001
        self.assertEqual(watch._update(Position(0, 11), (CHANGED,)), [])  # noqa: SLF001

    @in_virtual_time
    async def test_changed_twice(self) -> None:
        """Guards against peers that never learn of a removal, since the record was back in the same poll."""
        watch = TopicSimulation(3).instances['e0'].watch
        watch._update(Position(0, 9), (CHANGED,))  # noqa: SLF001
        removal = KeyedRecord(CHANGED.key, b'')
        found = watch._update(Position(0, 10), (removal, CHANGED))  # noqa: SLF001
        self.assertEqual(found, [removal, CHANGED])
