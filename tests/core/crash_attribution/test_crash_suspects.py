"""Which part of their prompts is held to have ended runners, and what is sent with it."""

from __future__ import annotations

from itertools import repeat
from unittest import TestCase

from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.crash_attribution.evidence import PartAnswer
from sesamepoint_core.crash_attribution.part_quarantine import (
    MAX_QUARANTINED,
    MAX_REPEATED,
    MAX_TRIALS,
    TRIAL_DELAYS_S,
    PartVerdict,
)
from sesamepoint_core.crash_attribution.suspect_parts import MAX_CLEARED, MAX_ENDS, MAX_SUSPECT
from sesamepoint_core.serving.poison_requests import Incarnation
from tests.core.crash_attribution.builders import SCOPE, end, harmful_ends, note_all, part

NEXT_VERSION = 'llm/m/v2'


class NamingTest(TestCase):
    """From ends and answers to a verdict."""

    def setUp(self) -> None:
        """Start without evidence."""
        self.suspects = CrashSuspects()

    def test_suspect_from_first_end(self) -> None:
        note_all(self.suspects, [end('p', 'i1')])
        self.assertEqual(self.suspects.suspect_parts((part('f'), part('p'))), (part('p'),))

    def test_named_after_three_ends(self) -> None:
        verdicts = note_all(self.suspects, harmful_ends('p'))
        self.assertEqual([verdict.key for verdict in verdicts], ['p'])
        self.assertEqual(self.suspects.quarantined_parts((part('f'), part('p'))), (part('p'),))
        self.assertEqual(self.suspects.suspect_parts((part('p'),)), ())

    def test_not_named_without_probes(self) -> None:
        """Guards against a verdict on a new part whose requests were at runners that all ended by themselves."""
        self.assertEqual(note_all(self.suspects, [end('p', f'i{number}') for number in range(6)]), [])

    def test_not_named_by_one_probe(self) -> None:
        """Guards against a verdict by a probe whose runner ended by itself."""
        ends = [end('p', 'i1'), end('p', 'i2'), end('p', 'i3', alone=True)]
        self.assertEqual(note_all(self.suspects, ends), [])

    def test_repeated_reports(self) -> None:
        """Guards against a verdict by reports of several instances on one end."""
        self.assertEqual(note_all(self.suspects, [end('p', 'i1'), *repeat(end('p', 'i2', alone=True), 5)]), [])

    def test_probe_reported_late(self) -> None:
        """An end is one under a probe if any instance says so, whatever comes first."""
        ends = harmful_ends('p')
        late = [*(each._replace(alone=False) for each in ends), *ends]
        self.assertEqual([verdict.key for verdict in note_all(self.suspects, late)], ['p'])

    def test_answered_part_not_suspect(self) -> None:
        """Guards against holding requests for a part that sound requests share, as first parts are."""
        self.suspects.parts.note_answered((part('f'),), SCOPE)
        self.assertEqual(note_all(self.suspects, harmful_ends('f')), [])
        self.assertEqual(self.suspects.suspect_parts((part('f'),)), ())

    def test_answer_clears_suspect(self) -> None:
        note_all(self.suspects, [end('p', 'i1'), end('p', 'i2')])
        self.assertEqual(self.suspects.parts.note_answered((part('p'),), SCOPE), (PartAnswer('p', 50, SCOPE),))
        self.assertEqual(self.suspects.suspect_parts((part('p'),)), ())

    def test_cleared_for_another_version(self) -> None:
        """Guards against a part that is never named since an older software version could answer it."""
        self.suspects.parts.note_answered((part('p'),), SCOPE)
        ends = [each._replace(scope=NEXT_VERSION) for each in harmful_ends('p')]
        self.assertEqual([verdict.key for verdict in note_all(self.suspects, ends)], ['p'])

    def test_older_version_clears_nothing_of_newer(self) -> None:
        note_all(self.suspects, [end('p', 'i1', scope=NEXT_VERSION)])
        self.assertEqual(self.suspects.parts.note_answered((part('p'),), SCOPE), ())
        self.assertEqual(self.suspects.suspect_parts((part('p'),)), (part('p'),))

    def test_other_size_of_a_key(self) -> None:
        """A harmful key is refused in each size, but for one that was answered whole."""
        note_all(self.suspects, harmful_ends('p'))
        self.suspects.parts.note_answered((part('p', 7),), SCOPE)
        self.assertEqual(self.suspects.quarantined_parts((part('p', 7), part('p', 8))), (part('p', 8),))

    def test_neighbours_freed(self) -> None:
        """Guards against neighbours of the part that stay suspect after the verdict."""
        note_all(self.suspects, [end('q', 'i1'), end('q', 'i2')])
        note_all(self.suspects, harmful_ends('p'))
        self.assertEqual(self.suspects.suspect_parts((part('q'),)), ())
        note_all(self.suspects, [end('q', 'i3')])
        self.assertEqual(self.suspects.suspect_parts((part('q'),)), ())

    def test_contents_beside_suspect_part(self) -> None:
        """Guards against sound requests that wait for a probe of their own after two ends beside a suspect part."""
        for runner in ('i1', 'i2'):
            self.suspects.note_end('content', Incarnation(runner))
        self.assertTrue(self.suspects.needs_probe('content'))
        note_all(self.suspects, [end('p', 'i1'), end('p', 'i2')])
        self.assertFalse(self.suspects.needs_probe('content'))
        self.suspects.parts.note_answered((part('p'),), SCOPE)
        self.assertTrue(self.suspects.needs_probe('content'))

    def test_contents_freed_by_verdict(self) -> None:
        for runner in ('i1', 'i2'):
            self.suspects.note_end('content', Incarnation(runner))
        note_all(self.suspects, harmful_ends('p'))
        self.assertEqual(self.suspects.end_count('content'), 0)

    def test_bounded(self) -> None:
        """Guards against memory that grows with the parts, the ends of one part or the answers."""
        for number in range(MAX_SUSPECT + 5):
            note_all(self.suspects, [end(f'p{number}', f'i{number}')])
        for number in range(MAX_ENDS + 5):
            note_all(self.suspects, [end('many', f'j{number}')])
        for number in range(MAX_CLEARED + 5):
            self.suspects.parts.note_answered((part(f'c{number}'),), SCOPE)
        self.assertEqual(len(self.suspects.parts.all_suspect()), MAX_SUSPECT)
        self.assertEqual(len(self.suspects.parts.ends_of('many')), MAX_ENDS)
        self.assertFalse(self.suspects.parts.is_cleared(PartAnswer('c0', 50, SCOPE)))


class GroupTest(TestCase):
    """Parts that always come together."""

    def setUp(self) -> None:
        """Name two parts by the same ends."""
        self.suspects = CrashSuspects()
        for pair in zip(harmful_ends('p'), harmful_ends('q'), strict=True):
            self.suspects.note_part_ends(pair, 0)

    def test_part_with_fewer_ends_spared(self) -> None:
        """Guards against a verdict on a part that nobody has answered yet, for a request in which the harmful one is.

        It stays suspect: its next request is sent alone.
        """
        suspects = CrashSuspects()
        note_all(suspects, [end('p', 'i1')])
        for runner in ('i2', 'i3'):
            suspects.note_part_ends([end('p', runner, alone=True), end('q', runner, alone=True)], 0)
        self.assertEqual(suspects.quarantined_parts((part('p'), part('q'))), (part('p'),))
        self.assertEqual(suspects.suspect_parts((part('q'),)), (part('q'),))

    def test_both_refused(self) -> None:
        self.assertEqual(self.suspects.quarantined_parts((part('p'), part('q'))), (part('p'), part('q')))

    def test_one_without_the_other_is_tried(self) -> None:
        """Guards against a sound neighbour that stays refused, although it comes without the harmful part too."""
        self.assertFalse(self.suspects.trial_due((part('p'), part('q')), 0))
        self.assertTrue(self.suspects.trial_due((part('q'), part('r')), 0))


class QuarantineTest(TestCase):
    """Trials, and the end of a quarantine."""

    def setUp(self) -> None:
        """Name one part."""
        self.suspects = CrashSuspects()
        self.verdict = note_all(self.suspects, harmful_ends('p'))[0]

    def test_trials_limited(self) -> None:
        """Guards against trials that the users' bound on further sends does not leave."""
        spent = 0
        for now in range(0, 200_000, 5):
            if self.suspects.trial_due((part('p'),), now):
                spent += 1
                # The first trials show nothing.
                repeated = min(spent, MAX_REPEATED)
                self.suspects.quarantine_part(self.verdict._replace(trials=spent, repeated=repeated), now)
        self.assertEqual(spent, MAX_TRIALS)
        self.assertLessEqual(spent, 3)

    def test_first_trial_soon(self) -> None:
        due = [self.suspects.trial_due((part('p'),), now) for now in (TRIAL_DELAYS_S[0] - 1, TRIAL_DELAYS_S[0])]
        self.assertEqual(due, [False, True])

    def test_older_verdict_restores_no_trial(self) -> None:
        """Guards against a second first trial after a verdict of before the first one arrives late."""
        self.suspects.quarantine_part(self.verdict._replace(trials=1), 0)
        self.suspects.quarantine_part(self.verdict, 1)
        self.assertFalse(self.suspects.trial_due((part('p'),), TRIAL_DELAYS_S[0] + 1))

    def test_all_parts_of_a_trial_due(self) -> None:
        """A request with two parts in quarantine is no trial of the one that was tried already."""
        note_all(self.suspects, harmful_ends('q', 'j'))
        self.suspects.quarantine_part(self.verdict._replace(trials=1), 0)
        self.assertFalse(self.suspects.trial_due((part('p'), part('q')), TRIAL_DELAYS_S[0]))

    def test_released(self) -> None:
        self.assertTrue(self.suspects.refutes(PartAnswer('p', 50, SCOPE)))
        self.assertFalse(self.suspects.refutes(PartAnswer('p', 50, NEXT_VERSION)))
        self.assertTrue(self.suspects.release_part('p'))
        self.assertEqual(self.suspects.quarantined_parts((part('p'),)), ())

    def test_late_reports_after_verdict(self) -> None:
        """Guards against a released part that late reports of its old ends name again."""
        self.suspects.release_part('p')
        self.assertEqual(note_all(self.suspects, harmful_ends('p')), [])

    def test_hundreds_of_parts(self) -> None:
        """Guards against memory that grows with the parts in quarantine; the oldest is released first."""
        for number in range(MAX_QUARANTINED - 1):
            self.assertEqual(self.suspects.quarantine_part(PartVerdict(f'x{number}'), 0), ())
        self.assertEqual(self.suspects.quarantine_part(PartVerdict('last'), 0), ('p',))
