"""Detection of a poison request among the requests that ran beside it."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.suspects import QUARANTINE_S, REMEMBERED, Start, Suspects


def starts(count: int) -> list[Start]:
    """Return incarnations of ``count`` runners."""
    return [Start(f'i-{number}') for number in range(count)]


def ended_under(content_id: str, found: list[Start]) -> Suspects:
    """Return the suspects after the given runners have ended under a request."""
    suspects = Suspects()
    for start in found:
        suspects.note_end(content_id, start)
    return suspects


class SuspectsTest(TestCase):
    """Counts of ended runners, and quarantine."""

    def test_one_end_tells_nothing(self) -> None:
        self.assertFalse(ended_under('a', starts(1)).needs_trial('a'))

    def test_two_ends_need_a_trial(self) -> None:
        self.assertTrue(ended_under('a', starts(2)).needs_trial('a'))

    def test_one_end_told_twice(self) -> None:
        """Each instance that had sent the request to a runner reports the end of that runner."""
        self.assertFalse(ended_under('a', starts(1) * 2).needs_trial('a'))

    def test_two_starts_of_one_runner(self) -> None:
        self.assertTrue(ended_under('a', [Start('i-1', 1), Start('i-1', 2)]).needs_trial('a'))

    def test_answered(self) -> None:
        suspects = ended_under('a', starts(2))
        self.assertTrue(suspects.note_served('a'))
        self.assertFalse(suspects.needs_trial('a'))
        self.assertFalse(suspects.note_served('a'))

    def test_ends_explained_count_against_no_other(self) -> None:
        """Two requests ran at the same runners. Once one is known as poison, the ends don't count for the other."""
        suspects = ended_under('a', starts(3))
        suspects.note_end('b', starts(1)[0])
        suspects.note_end('b', starts(2)[1])
        suspects.quarantine('a', 0)
        self.assertEqual((suspects.ends('a'), suspects.ends('b')), (3, 0))
        # The report of another instance arrives late.
        suspects.note_end('b', starts(3)[2])
        self.assertEqual(suspects.ends('b'), 0)

    def test_other_ends_stay(self) -> None:
        suspects = ended_under('a', starts(2))
        suspects.note_end('b', starts(1)[0])
        suspects.note_end('b', Start('another'))
        suspects.quarantine('a', 0)
        self.assertEqual(suspects.starts('b'), (Start('another'),))

    def test_quarantine_lapses(self) -> None:
        """After the quarantine the request is sent once more, alone."""
        suspects = ended_under('a', starts(3))
        suspects.quarantine('a', 10)
        self.assertEqual(suspects.left_s('a', 10), QUARANTINE_S)
        self.assertEqual((suspects.lapsed(10 + QUARANTINE_S - 1), suspects.lapsed(10 + QUARANTINE_S)), ([], ['a']))
        self.assertTrue(suspects.release('a'))
        self.assertEqual(
            (suspects.quarantined('a'), suspects.needs_trial('a'), suspects.release('a')), (False, True, False)
        )

    def test_answered_in_quarantine(self) -> None:
        suspects = ended_under('a', starts(3))
        suspects.quarantine('a', 0)
        suspects.note_served('a')
        self.assertEqual((suspects.quarantined('a'), suspects.needs_trial('a')), (False, False))

    def test_bounded(self) -> None:
        """The number of remembered requests is bounded; the least recently updated is dropped first."""
        suspects = Suspects()
        for number in range(REMEMBERED + 10):
            suspects.note_end(f'c{number}', Start(f'i-{number}'))
        self.assertEqual(len(suspects.all_suspect()), REMEMBERED)
        self.assertEqual((suspects.ends('c0'), suspects.ends(f'c{REMEMBERED}')), (0, 1))
