"""Tests of the plugin that marks known failures as expected."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import patch

from tests import known_red


def outcome_of(listed: str, failed: str, outcome: str = 'failed') -> bool:
    """Tell whether the plugin marks the outcome of one test as expected when ``listed`` is on the list."""
    event = SimpleNamespace(outcome=outcome, expected=False, test=SimpleNamespace(id=lambda: failed))
    with patch.object(known_red, 'listed', lambda: (listed,)):
        known_red.KnownRed().setTestOutcome(event)
    return bool(event.expected)


class KnownRedTest(TestCase):
    """Only failures of listed tests are expected."""

    def test_listed(self) -> None:
        self.assertTrue(outcome_of('tests.a.T.test_x', 'tests.a.T.test_x'))

    def test_not_listed(self) -> None:
        self.assertFalse(outcome_of('tests.a.T.test_x', 'tests.a.T.test_xy'))

    def test_no_more_than_three(self) -> None:
        with patch.object(known_red, 'listed', lambda: ('a', 'b', 'c', 'd')), self.assertRaises(ValueError):
            known_red.KnownRed()
