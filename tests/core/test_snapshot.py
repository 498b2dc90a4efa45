"""Snapshots and the choice among them."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.fold.snapshot import Snapshot, choose, decode_snapshot, encode_snapshot
from tests.builders import FoldBuilder, publish


class SnapshotTest(TestCase):
    """What a joiner starts from."""

    def test_choose_stale_writer(self) -> None:
        # A former holder sleeps, its successor writes a snapshot, and the
        # former one wakes and writes its old state last. A joiner with
        # nothing to compare it to must not start from the old one.
        fold = FoldBuilder()
        old = Snapshot(3, fold.add(publish(0)).state)
        new = Snapshot(9, fold.add(publish(1)).state)
        self.assertEqual(choose([new, old]), new)
        self.assertEqual(choose([old, new]), new)

    def test_choose_longer_prefix(self) -> None:
        fold = FoldBuilder()
        short = Snapshot(3, fold.add(publish(0)).state)
        longer = Snapshot(3, fold.add(publish(1)).state)
        self.assertEqual(choose([longer, short]), longer)

    def test_decode_round_trip(self) -> None:
        fold = FoldBuilder()
        snapshot = Snapshot(5, fold.add(publish(0)).state)
        self.assertEqual(decode_snapshot(encode_snapshot(snapshot)), snapshot)
