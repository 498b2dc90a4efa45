"""Guards against time in which the store was away being counted as time in which a registration stood."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.runner_status.list_currency import ListCurrency


def currency_after(*moments: float) -> ListCurrency:
    """Return the currency of a list that was current at ``moments``, with gaps of one second at most."""
    currency = ListCurrency(1)
    for moment in moments:
        currency.note_current(moment)
    return currency


class ListCurrencyTest(TestCase):
    """Unbroken time of answers."""

    def test_before_first_answer(self) -> None:
        """Guards against a list that counts as current before it was read."""
        self.assertEqual(currency_after().unbroken_s(0), 0)

    def test_without_break(self) -> None:
        """Guards against time from before the given moment, or after the last answer."""
        self.assertEqual(currency_after(0, 1, 2, 3).unbroken_s(1.5), 1.5)

    def test_after_break(self) -> None:
        """Guards against time before and amid a break."""
        self.assertEqual(currency_after(0, 1, 5, 6).unbroken_s(0), 1)

    def test_moment_after_last_answer(self) -> None:
        """Guards against a negative time."""
        self.assertEqual(currency_after(0, 1).unbroken_s(4), 0)
