"""The profile of hypothesis is in force in each test process."""

from __future__ import annotations

from unittest import TestCase

from hypothesis import HealthCheck, settings


class ProfileTest(TestCase):
    """Guards against tests that fail on a busy machine because of wall-clock limits."""

    def test_profile_without_wall_clock_limits(self) -> None:
        # Failure: without CI=true a slow machine exceeds the limits of the default profile.
        in_force = settings()
        self.assertIsNone(in_force.deadline)
        self.assertIn(HealthCheck.too_slow, in_force.suppress_health_check)
        self.assertTrue(in_force.derandomize)
