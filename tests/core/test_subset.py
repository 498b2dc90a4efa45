"""The subset of runners that an instance uses."""

from __future__ import annotations

from collections import Counter
from unittest import TestCase

from sesamepoint_core.route.subset import SUBSET_SIZE, choose_subset

LARGE = tuple(f'runner-{number}' for number in range(60))
INSTANCES = tuple(f'entry-{number}' for number in range(350))


class SubsetTest(TestCase):
    """All runners of a small fleet, an even share of a large one."""

    def test_subset_small_fleet(self) -> None:
        self.assertEqual(choose_subset('entry-1', LARGE[:9]), LARGE[:9])

    def test_subset_every_runner_is_known(self) -> None:
        # A runner in no subset would be idle; one in many more subsets than the
        # others would be overloaded.
        users = Counter(runner for entry in INSTANCES for runner in choose_subset(entry, LARGE))
        self.assertEqual(set(users), set(LARGE))
        self.assertLess(max(users.values()), 3 * len(INSTANCES) * SUBSET_SIZE / len(LARGE))

    def test_subset_runner_withdrawn(self) -> None:
        before = choose_subset('entry-1', LARGE)
        gone = before[0]
        after = choose_subset('entry-1', [runner for runner in LARGE if runner != gone])
        self.assertEqual(set(before) - set(after), {gone})
