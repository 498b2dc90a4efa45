"""Known rate limit of a runner."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.runner_limit.known_limit import (
    RAMP_DOUBLINGS,
    MIN_SILENCE_S,
    ZERO_PROBE_S,
    KnownLimit,
    ReportedLimit,
    parse_rate,
)
from sesamepoint_core.runner_limit.stamp import Stamp

INVALID_RATES = (
    '',
    ' ',
    '-1',
    '+1',
    'abc',
    'inf',
    '-inf',
    'nan',
    '1e3',
    '1E3',
    '0x10',
    '1_000',
    '1,5',
    '1.2.3',
    '9' * 400,
)


class ParseTest(TestCase):
    """Parsing of the text of a limit."""

    def test_decimal_number(self) -> None:
        """Guards against valid limits that are rejected or misread."""
        self.assertEqual([parse_rate(text) for text in ('6.8', ' 7 ', '0', '.5', '2.')], [6.8, 7, 0, 0.5, 2])

    def test_no_number(self) -> None:
        """Guards against limits parsed from invalid texts."""
        for text in INVALID_RATES:
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_rate(text)


class KnownLimitTest(TestCase):
    """Reports of answers and updates of peers."""

    def setUp(self) -> None:
        """Report a limit at second 10."""
        self.belief = KnownLimit(1)
        self.belief.on_reported(6.8, 10)

    def test_newest_answer_counts(self) -> None:
        """Guards against a limit that stays as it was first reported."""
        self.assertTrue(self.belief.on_reported(3, 11))
        self.assertEqual(self.belief.allowed_rate(11), 3)

    def test_answer_to_an_earlier_request(self) -> None:
        """Guards against a limit that is ended by an answer to a request sent before the limit was reported."""
        self.assertFalse(self.belief.on_not_reported(9.9, 12))
        self.assertEqual(self.belief.allowed_rate(12), 6.8)

    def test_answers_with_and_without(self) -> None:
        """Guards against the end of a limit that only some answers report."""
        self.assertFalse(self.belief.on_not_reported(10.1, 10 + MIN_SILENCE_S / 2))

    def test_filled_gradually_after_the_end(self) -> None:
        """Guards against a burst when a limit ends."""
        self.assertTrue(self.belief.on_not_reported(11, 12))
        rates = [self.belief.allowed_rate(12 + second) for second in range(RAMP_DOUBLINGS)]
        self.assertEqual(rates, [6.8 * 2**second for second in range(RAMP_DOUBLINGS)])
        self.assertIsNone(self.belief.allowed_rate(12.1 + RAMP_DOUBLINGS))

    def test_zero_takes_nothing(self) -> None:
        """Guards against requests to a runner with a limit of 0, and against one that is never probed again."""
        self.belief.on_reported(0, 11)
        self.assertEqual(self.belief.allowed_rate(11 + ZERO_PROBE_S / 2), 0)
        self.assertEqual(self.belief.allowed_rate(11.1 + ZERO_PROBE_S), 1 / ZERO_PROBE_S)

    def test_peer_update(self) -> None:
        """Guards against an older update of a peer that replaces a newer report."""
        self.assertFalse(self.belief.on_peer_update(ReportedLimit(Stamp(2, 500), 30, 9)))
        self.assertTrue(self.belief.on_peer_update(ReportedLimit(Stamp(2, 501), 30, 11)))
        self.assertEqual(self.belief.allowed_rate(11), 30)

    def test_update_sent_back(self) -> None:
        """Guards against an old update that seems new, since it was long in transit or was sent back."""
        update = ReportedLimit(Stamp(2, 500), 30, 11)
        self.belief.on_peer_update(update)
        self.belief.on_reported(1, 12)
        self.assertFalse(self.belief.on_peer_update(update._replace(reported_at=13)))
        self.assertFalse(self.belief.on_peer_update(ReportedLimit(Stamp(1, 10), 6.8, 14)))
        self.assertEqual(self.belief.allowed_rate(14), 1)
