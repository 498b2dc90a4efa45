"""Memory of the origins of streams."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.stream_origin.origin import StreamOrigin
from sesamepoint_core.stream_origin.origin_memory import MIN_RETENTION_S, OriginMemory

OLD, NEW = StreamOrigin('llm', 'v1'), StreamOrigin('llm', 'v2')


class OriginMemoryTest(TestCase):
    """What is remembered, and for how long."""

    def test_expires(self) -> None:
        """Guards against memory that grows with the age of an instance."""
        memory = OriginMemory()
        memory.remember(b'a', OLD, 0)
        memory.remember(b'b', OLD, MIN_RETENTION_S + 1)
        self.assertIsNone(memory.find(b'a', MIN_RETENTION_S + 1))
        self.assertEqual((len(memory), memory.dropped), (1, 0))

    def test_refreshed_by_a_take_up(self) -> None:
        """Guards against a stream that is forgotten while its caller goes on with it."""
        memory = OriginMemory()
        memory.remember(b'a', OLD, 0)
        memory.remember(b'a', OLD, MIN_RETENTION_S - 1)
        known = memory.find(b'a', MIN_RETENTION_S + 1)
        self.assertEqual(known and known.origin, OLD)

    def test_bounded(self) -> None:
        """Guards against a burst of streams that fills the memory of an instance, or drops the newest ones."""
        memory = OriginMemory(max_streams=2)
        for digest in (b'a', b'b', b'c'):
            memory.remember(digest, OLD, 0)
        self.assertEqual((len(memory), memory.dropped), (2, 1))
        self.assertIsNone(memory.find(b'a', 0))
        self.assertIsNotNone(memory.find(b'c', 0))

    def test_id_used_twice(self) -> None:
        """Guards against one of two origins that is trusted although a caller has used an id twice."""
        memory = OriginMemory()
        for origin in (OLD, NEW, OLD):
            memory.remember(b'a', origin, 0)
        self.assertIsNone(memory.find(b'a', 0))
        self.assertTrue(memory.is_ambiguous(b'a'))

    def test_id_used_again_later(self) -> None:
        """Guards against an id that stays ambiguous although its first stream is long over."""
        memory = OriginMemory()
        memory.remember(b'a', OLD, 0)
        later = MIN_RETENTION_S + 1
        memory.remember(b'a', NEW, later)
        known = memory.find(b'a', later)
        self.assertEqual(known and known.origin, NEW)
