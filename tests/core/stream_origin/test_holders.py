"""Choice of the instances that remember a stream."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

from sesamepoint_core.stream_origin.holders import ASKED, HOLDERS, HolderChoice
from sesamepoint_core.stream_origin.origin import stream_digest

INSTANCES = tuple(f'front-{number}' for number in range(350))
DIGESTS = tuple(stream_digest(f'r{number}') for number in range(4000))


class HolderChoiceTest(TestCase):
    """Holders of many streams in a large fleet."""

    def test_spread_evenly(self) -> None:
        """Guards against a few instances that hold most of the streams."""
        choice = HolderChoice()
        held = Counter(name for digest in DIGESTS for name in choice.first(digest, INSTANCES, HOLDERS))
        self.assertEqual(len(held), len(INSTANCES))
        self.assertLess(max(held.values()), 2 * HOLDERS * len(DIGESTS) / len(INSTANCES))

    def test_same_at_any_instance(self) -> None:
        """Guards against instances that choose differently, as by the order of their lists."""
        for digest in DIGESTS[:50]:
            first = HolderChoice().first(digest, INSTANCES, HOLDERS)
            self.assertEqual(first, HolderChoice().first(digest, reversed(INSTANCES), HOLDERS))

    def test_lists_that_differ(self) -> None:
        """Guards against questions that miss all holders when a tenth of the instances has changed since."""
        choice = HolderChoice()
        changed = (*INSTANCES[35:], *(f'new-{number}' for number in range(35)))
        missed = sum(
            set(choice.first(digest, INSTANCES, HOLDERS)).isdisjoint(choice.first(digest, changed, ASKED))
            for digest in DIGESTS
        )
        # Each of three holders has gone with a chance of one in ten.
        self.assertLess(missed, 0.003 * len(DIGESTS))
