"""Tests of the plugin that marks known failures as expected."""

from __future__ import annotations

from types import SimpleNamespace
from unittest import TestCase
from unittest.mock import patch

from tests import known_red


def failure_is_expected(listed: str, test_id: str, outcome: str = 'failed', exc: BaseException | None = None) -> bool:
    """Tell whether the plugin marks the outcome of one test as expected when ``listed`` is on the list."""
    exc_info = (type(exc), exc, None) if exc else None
    event = SimpleNamespace(
        outcome=outcome, expected=False, exc_info=exc_info, test=SimpleNamespace(id=lambda: test_id)
    )
    with patch.object(known_red, 'listed', lambda: (listed,)):
        known_red.KnownRed().setTestOutcome(event)
    return bool(event.expected)


class KnownRedTest(TestCase):
    """Only failures of listed tests are expected."""

    def test_listed_failure_expected(self) -> None:
        self.assertTrue(failure_is_expected('tests.a.T.test_x', 'tests.a.T.test_x'))

    def test_other_failure_not_expected(self) -> None:
        self.assertFalse(failure_is_expected('tests.a.T.test_x', 'tests.a.T.test_xy'))

    def test_assertion_in_nursery_expected(self) -> None:
        exc = ExceptionGroup('nursery', [ExceptionGroup('inner', [AssertionError()])])
        self.assertTrue(failure_is_expected('tests.a.T.test_x', 'tests.a.T.test_x', 'error', exc))
        self.assertFalse(failure_is_expected('tests.a.T.test_x', 'tests.a.T.test_y', 'error', exc))

    def test_other_error_not_expected(self) -> None:
        mixed = ExceptionGroup('nursery', [AssertionError(), KeyError()])
        for exc in (KeyError(), mixed):
            self.assertFalse(failure_is_expected('tests.a.T.test_x', 'tests.a.T.test_x', 'error', exc))

    def test_fourth_entry_rejected(self) -> None:
        with patch.object(known_red, 'listed', lambda: ('a', 'b', 'c', 'd')), self.assertRaises(ValueError):
            known_red.KnownRed()
