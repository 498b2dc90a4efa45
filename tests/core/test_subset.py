"""Which runners an entry knows."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

from sesamepoint_core.route.subset import SUBSET, subset

LARGE = tuple(f'runner-{number}' for number in range(60))
ENTRIES = tuple(f'entry-{number}' for number in range(350))


class SubsetTest(TestCase):
    """Small fleets whole, large ones in even shares."""

    def test_subset_small_fleet(self) -> None:
        self.assertEqual(subset('entry-1', LARGE[:9]), LARGE[:9])

    def test_subset_every_runner_is_known(self) -> None:
        # A runner that no entry knew would stand idle; one known to many
        # more than the others would be overrun.
        known = Counter(runner for entry in ENTRIES for runner in subset(entry, LARGE))
        self.assertEqual(set(known), set(LARGE))
        self.assertLess(max(known.values()), 3 * len(ENTRIES) * SUBSET / len(LARGE))

    def test_subset_runner_withdrawn(self) -> None:
        before = subset('entry-1', LARGE)
        gone = before[0]
        after = subset('entry-1', [runner for runner in LARGE if runner != gone])
        self.assertEqual(set(before) - set(after), {gone})
