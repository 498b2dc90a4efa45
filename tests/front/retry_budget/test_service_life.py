"""When requests may pay for repeats at a service that shows no life."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint.front.retry_budget.service_life import STANDSTILL_S, ServiceLife

WINDOW_S = 10.0


class ServiceLifeTest(TestCase):
    """Requests for a service whose runners stand still, or don't."""

    def setUp(self) -> None:
        """Start a process."""
        self.now = 50.0
        self.life = ServiceLife(WINDOW_S, lambda: self.now)

    def test_earning_before_life(self) -> None:
        """Guards against a new process whose requests pay for repeats while all runners stand still."""
        self._request()
        self.assertEqual(self.life.take_earning(), 0)
        self.assertFalse(self.life.reserve_counts)

    def test_earning_at_first_life(self) -> None:
        """Guards against the first requests of a process that never pay for anything."""
        for _ in range(3):
            self._request()
        self.now += 0.1
        self.life.note_life()
        self.assertEqual((self.life.take_earning(), self.life.take_earning()), (3, 0))
        self.assertTrue(self.life.reserve_counts)

    def test_earning_while_service_stands_still(self) -> None:
        """Guards against requests that pay for repeats while all runners stand still."""
        self._show_life()
        self._request()
        self.assertEqual(self.life.take_earning(), 1)
        self.now += STANDSTILL_S + 0.1
        self._request()
        self.assertEqual(self.life.take_earning(), 0)
        self.life.note_life()
        self.assertEqual(self.life.take_earning(), 0)
        self._request()
        self.assertEqual(self.life.take_earning(), 1)

    def test_reserve_after_late_first_life(self) -> None:
        """Guards against a reserve that the process before has spent, on sends that are read when the runners go on."""
        self._request()
        self.now += 20
        self.life.note_life()
        self.assertFalse(self.life.reserve_counts)
        self.now += WINDOW_S
        self.assertTrue(self.life.reserve_counts)

    def _show_life(self) -> None:
        self._request()
        self.life.note_life()
        self.life.take_earning()

    def _request(self) -> None:
        self.life.note_request()
        self.life.note_send()
