"""Detection of retries by the time that callers have left."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.requests.retry_detection import WINDOW_S, RetryDetector


class RetryDetectorTest(TestCase):
    """Comparison with the longest recent deadline of the route."""

    def setUp(self) -> None:
        """Record a first attempt of one route, with a deadline of 8 s."""
        self.detector = RetryDetector()
        self.detector.is_retry('tag', 8.0, now=0)

    def test_retry_after_third(self) -> None:
        self.assertTrue(self.detector.is_retry('tag', 5.2, now=1))

    def test_first_attempts_vary(self) -> None:
        """Deadlines of first attempts of a route may differ by up to 15%."""
        self.assertFalse(self.detector.is_retry('tag', 6.8, now=1))

    def test_other_route(self) -> None:
        self.assertFalse(self.detector.is_retry('card', 1.5, now=1))

    def test_without_deadline(self) -> None:
        self.assertFalse(self.detector.is_retry('tag', None, now=1))

    def test_deadlines_shortened(self) -> None:
        """Once callers use a shorter deadline, it soon counts as that of first attempts."""
        self.assertTrue(self.detector.is_retry('tag', 3.0, now=1))
        for moment in (WINDOW_S + 1, 2 * WINDOW_S + 2, 3 * WINDOW_S + 3):
            is_retry = self.detector.is_retry('tag', 3.0, now=moment)
        self.assertFalse(is_retry)
