"""Snapshots, and the choice of one for a process that joins."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.fold.snapshot import Snapshot, choose_snapshot, decode_snapshot, encode_snapshot
from tests.builders import StateBuilder, publish


class SnapshotTest(TestCase):
    """Snapshots that a process restores its state from when it joins."""

    def test_choose_stale_writer(self) -> None:
        # A former lease holder is suspended, its successor writes a snapshot, then
        # the former one resumes and writes its old state last. A process that joins
        # must not start from the old state.
        fold = StateBuilder()
        old = Snapshot(3, fold.add(publish(0)).state)
        new = Snapshot(9, fold.add(publish(1)).state)
        self.assertEqual(choose_snapshot([new, old]), new)
        self.assertEqual(choose_snapshot([old, new]), new)

    def test_choose_longer_prefix(self) -> None:
        fold = StateBuilder()
        short = Snapshot(3, fold.add(publish(0)).state)
        longer = Snapshot(3, fold.add(publish(1)).state)
        self.assertEqual(choose_snapshot([longer, short]), longer)

    def test_decode_round_trip(self) -> None:
        fold = StateBuilder()
        snapshot = Snapshot(5, fold.add(publish(0)).state)
        self.assertEqual(decode_snapshot(encode_snapshot(snapshot)), snapshot)
