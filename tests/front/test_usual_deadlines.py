"""Detection of retries by the time that callers have left."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.usual_deadlines import WINDOW_S, UsualDeadlines


class ReturnedTest(TestCase):
    """Comparison with the longest recent deadline of the route."""

    def setUp(self) -> None:
        """Record a first attempt of one route, with a deadline of 8 s."""
        self.usual = UsualDeadlines()
        self.usual.returned('tag', 8.0, now=0)

    def test_returned_after_third(self) -> None:
        self.assertTrue(self.usual.returned('tag', 5.2, now=1))

    def test_returned_spread_of_first_attempts(self) -> None:
        """Deadlines of first attempts of a route may differ by up to 15%."""
        self.assertFalse(self.usual.returned('tag', 6.8, now=1))

    def test_returned_other_route(self) -> None:
        self.assertFalse(self.usual.returned('card', 1.5, now=1))

    def test_returned_without_deadline(self) -> None:
        self.assertFalse(self.usual.returned('tag', None, now=1))

    def test_returned_callers_shorten(self) -> None:
        """Once callers use a shorter deadline, it soon counts as that of first attempts."""
        self.assertTrue(self.usual.returned('tag', 3.0, now=1))
        for moment in (WINDOW_S + 1, 2 * WINDOW_S + 2, 3 * WINDOW_S + 3):
            is_retry = self.usual.returned('tag', 3.0, now=moment)
        self.assertFalse(is_retry)
