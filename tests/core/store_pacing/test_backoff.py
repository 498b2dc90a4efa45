"""Backoff between failed calls to the store."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sesamepoint_core.store_pacing.backoff import FIXED_SHARE, Backoff, RetryLimits
from sesamepoint_core.store_pacing.suppression import draw_suppressing_share

LIMITS = RetryLimits(0.1, 1.5)
DRAWS = 200


class BackoffTest(TestCase):
    """Pauses of one caller."""

    def test_pauses_grow_to_limit(self) -> None:
        """Guards against a fixed pause, with which each instance called a store that is down four times a second."""
        backoff = Backoff(LIMITS, Random(1))
        pauses = [backoff.next_pause_s(1) for _ in range(40)]
        for failures, pause_s in enumerate(pauses):
            span_s = min(LIMITS.first_s * 2**failures, LIMITS.longest_s)
            self.assertTrue(FIXED_SHARE * span_s <= pause_s <= span_s, (failures, pause_s))

    def test_pause_scaled_by_instances(self) -> None:
        """Guards against load that grows with the number of instances which have the same fault."""
        self.assertGreaterEqual(Backoff(LIMITS, Random(1)).next_pause_s(10), FIXED_SHARE * 10 * LIMITS.first_s)
        self.assertLessEqual(Backoff(LIMITS, Random(1)).next_pause_s(300), LIMITS.longest_s)

    def test_first_pause_after_success(self) -> None:
        """Guards against a long pause after a single lost answer that follows an outage."""
        backoff = Backoff(LIMITS, Random(1))
        for _ in range(10):
            backoff.next_pause_s(1)
        backoff.reset()
        self.assertLessEqual(backoff.next_pause_s(1), LIMITS.first_s)

    def test_pauses_differ(self) -> None:
        """Guards against instances that repeat their calls at the same moments."""
        pauses = {Backoff(LIMITS, Random(seed)).next_pause_s(30) for seed in range(DRAWS)}
        self.assertGreater(len(pauses), DRAWS / 2)


class SuppressionTest(TestCase):
    """Random delays of which the first suppresses the others."""

    def test_few_instances_early(self) -> None:
        """Guards against many instances that act before the first one's message has arrived."""
        early = 0.02
        for instances in (5, 30, 300):
            rng = Random(instances)
            extra = 0
            for _ in range(DRAWS):
                shares = sorted(draw_suppressing_share(instances, rng) for _ in range(instances))
                extra += sum(share < shares[0] + early for share in shares) - 1
            self.assertLess(extra / DRAWS, 1, instances)

    def test_shares_within_bounds(self) -> None:
        """Guards against a delay beyond the time within which one instance has to act."""
        rng = Random(1)
        shares = [draw_suppressing_share(instances, rng) for instances in (0, 1, 300) for _ in range(DRAWS)]
        self.assertTrue(all(0 <= share <= 1 for share in shares))
