"""Rate limits per account."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.admit.account_limits import BURST_S, AccountLimits

RATE = 4.0


def granted(limits: AccountLimits, entries: float, seconds: int) -> int:
    """Count the requests granted out of twenty a second."""
    times = [number / 20 for number in range(seconds * 20)]
    return sum(not limits.wait_s(now, 'a1', RATE, entries) for now in times)


class AccountLimitsTest(TestCase):
    """The rate over all instances."""

    def test_limit_of_one_entry(self) -> None:
        self.assertLessEqual(granted(AccountLimits(), 1, 60), RATE * (60 + BURST_S) + 1)

    def test_limit_across_entries(self) -> None:
        # An account sends far more than its rate to four instances at once.
        # They don't exchange what they granted, yet together keep to the rate.
        total = sum(granted(AccountLimits(), 4, 60) for _ in range(4))
        self.assertLessEqual(total, RATE * (60 + BURST_S) + 4)
        self.assertGreater(total, RATE * 55)

    def test_retry_time(self) -> None:
        limits = AccountLimits()
        waits = [limits.wait_s(0, 'a1', RATE, 1) for _ in range(100)]
        self.assertEqual(limits.wait_s(waits[-1], 'a1', RATE, 1), 0)

    def test_other_account(self) -> None:
        limits = AccountLimits()
        waits = [limits.wait_s(0, 'a1', RATE, 1) for _ in range(100)]
        self.assertGreater(waits[-1], 0)
        self.assertEqual(limits.wait_s(0, 'a2', RATE, 1), 0)
