"""Detection of a poison request among the requests that ran beside it."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.poison_requests import MAX_REMEMBERED, QUARANTINE_S, Incarnation, SuspectRequests


def incarnations(count: int) -> list[Incarnation]:
    """Return incarnations of ``count`` runners."""
    return [Incarnation(f'i-{number}') for number in range(count)]


def ended_under(content_id: str, ended: list[Incarnation]) -> SuspectRequests:
    """Return the suspects after the given runners have ended under a request."""
    suspects = SuspectRequests()
    for start in ended:
        suspects.note_end(content_id, start)
    return suspects


class SuspectRequestsTest(TestCase):
    """Counts of ended runners, and quarantine."""

    def test_one_end_needs_no_probe(self) -> None:
        self.assertFalse(ended_under('a', incarnations(1)).needs_probe('a'))

    def test_two_ends_need_probe(self) -> None:
        self.assertTrue(ended_under('a', incarnations(2)).needs_probe('a'))

    def test_one_end_reported_twice(self) -> None:
        """Each instance that had sent the request to a runner reports the end of that runner."""
        self.assertFalse(ended_under('a', incarnations(1) * 2).needs_probe('a'))

    def test_two_incarnations_of_one_runner(self) -> None:
        self.assertTrue(ended_under('a', [Incarnation('i-1', 1), Incarnation('i-1', 2)]).needs_probe('a'))

    def test_answered(self) -> None:
        suspects = ended_under('a', incarnations(2))
        self.assertTrue(suspects.note_served('a'))
        self.assertFalse(suspects.needs_probe('a'))
        self.assertFalse(suspects.note_served('a'))

    def test_attributed_ends_not_counted(self) -> None:
        """Two requests ran at the same runners. Once one is known as poison, the ends don't count for the other."""
        suspects = ended_under('a', incarnations(3))
        suspects.note_end('b', incarnations(1)[0])
        suspects.note_end('b', incarnations(2)[1])
        suspects.quarantine('a', 0)
        self.assertEqual((suspects.end_count('a'), suspects.end_count('b')), (3, 0))
        # The report of another instance arrives late.
        suspects.note_end('b', incarnations(3)[2])
        self.assertEqual(suspects.end_count('b'), 0)

    def test_other_ends_stay(self) -> None:
        suspects = ended_under('a', incarnations(2))
        suspects.note_end('b', incarnations(1)[0])
        suspects.note_end('b', Incarnation('another'))
        suspects.quarantine('a', 0)
        self.assertEqual(suspects.ended_incarnations('b'), (Incarnation('another'),))

    def test_quarantine_expires(self) -> None:
        """After the quarantine the request is sent once more, alone."""
        suspects = ended_under('a', incarnations(3))
        suspects.quarantine('a', 10)
        self.assertEqual(suspects.quarantine_left_s('a', 10), QUARANTINE_S)
        self.assertEqual(
            (suspects.expired_quarantines(10 + QUARANTINE_S - 1), suspects.expired_quarantines(10 + QUARANTINE_S)),
            ([], ['a']),
        )
        self.assertTrue(suspects.release('a'))
        self.assertEqual(
            (suspects.quarantined('a'), suspects.needs_probe('a'), suspects.release('a')), (False, True, False)
        )

    def test_answered_in_quarantine(self) -> None:
        suspects = ended_under('a', incarnations(3))
        suspects.quarantine('a', 0)
        suspects.note_served('a')
        self.assertEqual((suspects.quarantined('a'), suspects.needs_probe('a')), (False, False))

    def test_bounded(self) -> None:
        """The number of remembered requests is bounded; the least recently updated is dropped first."""
        suspects = SuspectRequests()
        for number in range(MAX_REMEMBERED + 10):
            suspects.note_end(f'c{number}', Incarnation(f'i-{number}'))
        self.assertEqual(len(suspects.all_suspect()), MAX_REMEMBERED)
        self.assertEqual((suspects.end_count('c0'), suspects.end_count(f'c{MAX_REMEMBERED}')), (0, 1))
