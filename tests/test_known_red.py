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


class EntryFormTest(TestCase):
    """Each line of the list is one entry, of a test or of a review's case."""

    def test_entries_of_the_repository(self) -> None:
        """Guards against a listed test that the test runner does not know by its id."""
        run = sum('python -m nose2' in line for line in known_red.entries())
        self.assertEqual(len(known_red.listed()), run)

    def test_seed_is_no_test(self) -> None:
        """Guards against a seed that is run by hand, and lets the test runner pass over a test."""
        line = 'tests.front.word_faults: python -m tests.front.word_faults 11 11 (virtual time), seen; issue 69'
        with patch.object(known_red, 'entries', lambda: (line,)):
            self.assertEqual(known_red.listed(), ())

    def test_case_is_no_test(self) -> None:
        """Guards against a case of a review that takes the place of a test, or hides behind one."""
        line = 'review/4 (MIXED): bash review/4/run.sh (no seed), half an answer, 5 of 5 runs, issue 66'
        with patch.object(known_red, 'entries', lambda: (line,)):
            self.assertEqual(known_red.listed(), ())

    def test_other_lines_rejected(self) -> None:
        """Guards against entries without command or issue, and against cases that don't exist."""
        lines = (
            'tests.a.T.test_x',
            'tests.a.T.test_x: python -m nose2 -N 1 tests.a; seen',
            'review/99 (MIXED): bash review/99/run.sh (no seed), seen, issue 66',
            'review/4 (MIXED): bash review/5/run.sh (no seed), seen, issue 66',
            'a note',
        )
        for line in lines:
            with (
                self.subTest(line=line),
                patch.object(known_red, 'entries', lambda line=line: (line,)),
                self.assertRaises(ValueError),
            ):
                known_red.listed()
