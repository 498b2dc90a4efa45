"""Streams that callers take up after real processes were killed amid a release."""

from __future__ import annotations

from unittest import TestCase

import trio

from tests.front.streams.killed_instances import FRONTS, Kill, Moment
from tests.front.streams.killed_processes import play


class KilledProcessesTest(TestCase):
    """Streams of two versions of a service at three processes."""

    def test_all_killed(self) -> None:
        """Guards against streams joined of two versions by processes that have just started."""
        outcome = trio.run(play, Kill(Moment.amid_release))
        self.assertGreater(outcome.taken_up, 0)
        self.assertEqual(outcome.joined, 0)

    def test_one_left(self) -> None:
        """Guards against streams that don't go on although a process that lives knows their version."""
        outcome = trio.run(play, Kill(Moment.amid_release, killed=FRONTS - 1))
        self.assertGreater(outcome.went_on, 0)
        self.assertEqual(outcome.joined, 0)
