"""Telling a request that ends its runners from those that were beside it."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.suspects import QUARANTINE_S, REMEMBERED, Start, Suspects


def starts(count: int) -> list[Start]:
    """Return so many runners."""
    return [Start(f'i-{number}') for number in range(count)]


def ended_under(content_id: str, found: list[Start]) -> Suspects:
    """Return what is known when the runners ``found`` have ended under a request."""
    known = Suspects()
    for start in found:
        known.note_end(content_id, start)
    return known


class SuspectsTest(TestCase):
    """Counting ends, and explaining them."""

    def test_one_end_tells_nothing(self) -> None:
        self.assertFalse(ended_under('a', starts(1)).needs_trial('a'))

    def test_two_ends_need_a_trial(self) -> None:
        self.assertTrue(ended_under('a', starts(2)).needs_trial('a'))

    def test_one_end_told_twice(self) -> None:
        """Each entry that had the request at a runner tells of its end."""
        self.assertFalse(ended_under('a', starts(1) * 2).needs_trial('a'))

    def test_two_starts_of_one_runner(self) -> None:
        self.assertTrue(ended_under('a', [Start('i-1', 1), Start('i-1', 2)]).needs_trial('a'))

    def test_answered(self) -> None:
        known = ended_under('a', starts(2))
        self.assertTrue(known.note_served('a'))
        self.assertFalse(known.needs_trial('a'))
        self.assertFalse(known.note_served('a'))

    def test_ends_explained_count_against_no_other(self) -> None:
        """Two requests were at the same runners; one is known to end them, the other keeps its retry."""
        known = ended_under('a', starts(3))
        known.note_end('b', starts(1)[0])
        known.note_end('b', starts(2)[1])
        known.quarantine('a', 0)
        self.assertEqual((known.ends('a'), known.ends('b')), (3, 0))
        # Another entry tells of it late.
        known.note_end('b', starts(3)[2])
        self.assertEqual(known.ends('b'), 0)

    def test_other_ends_stay(self) -> None:
        known = ended_under('a', starts(2))
        known.note_end('b', starts(1)[0])
        known.note_end('b', Start('another'))
        known.quarantine('a', 0)
        self.assertEqual(known.starts('b'), (Start('another'),))

    def test_quarantine_lapses(self) -> None:
        """After its time it is tried once more, alone."""
        known = ended_under('a', starts(3))
        known.quarantine('a', 10)
        self.assertEqual(known.left_s('a', 10), QUARANTINE_S)
        self.assertEqual((known.lapsed(10 + QUARANTINE_S - 1), known.lapsed(10 + QUARANTINE_S)), ([], ['a']))
        self.assertTrue(known.release('a'))
        self.assertEqual((known.quarantined('a'), known.needs_trial('a'), known.release('a')), (False, True, False))

    def test_answered_in_quarantine(self) -> None:
        known = ended_under('a', starts(3))
        known.quarantine('a', 0)
        known.note_served('a')
        self.assertEqual((known.quarantined('a'), known.needs_trial('a')), (False, False))

    def test_bounded(self) -> None:
        """Whatever comes, no more is kept than there is room for; the longest untouched goes first."""
        known = Suspects()
        for number in range(REMEMBERED + 10):
            known.note_end(f'c{number}', Start(f'i-{number}'))
        self.assertEqual(len(known.all_suspect()), REMEMBERED)
        self.assertEqual((known.ends('c0'), known.ends(f'c{REMEMBERED}')), (0, 1))
