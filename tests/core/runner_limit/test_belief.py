"""What is believed of a runner's limit."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.runner_limit.belief import (
    DOUBLINGS,
    END_AFTER_S,
    ZERO_BELIEVED_S,
    LimitBelief,
    LimitWord,
    parse_rate,
)
from sesamepoint_core.runner_limit.stamp import Stamp

NO_RATES = ('', ' ', '-1', '+1', 'abc', 'inf', '-inf', 'nan', '1e3', '1E3', '0x10', '1_000', '1,5', '1.2.3', '9' * 400)


class ParseTest(TestCase):
    """Texts that may name a limit."""

    def test_decimal_number(self) -> None:
        """Guards against limits that are named well and not read."""
        self.assertEqual([parse_rate(text) for text in ('6.8', ' 7 ', '0', '.5', '2.')], [6.8, 7, 0, 0.5, 2])

    def test_no_number(self) -> None:
        """Guards against limits read from texts that name none."""
        for text in NO_RATES:
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_rate(text)


class BeliefTest(TestCase):
    """Words of answers and of other instances."""

    def setUp(self) -> None:
        """Know of a limit since second 10."""
        self.belief = LimitBelief(1)
        self.belief.named(6.8, 10)

    def test_newest_answer_counts(self) -> None:
        """Guards against a limit that stays as it was named first."""
        self.assertTrue(self.belief.named(3, 11))
        self.assertEqual(self.belief.allowed(11), 3)

    def test_answer_to_an_earlier_request(self) -> None:
        """Guards against the end of a limit by an answer that was under way when it was named."""
        self.assertFalse(self.belief.unnamed(9.9, 12))
        self.assertEqual(self.belief.allowed(12), 6.8)

    def test_answers_with_and_without(self) -> None:
        """Guards against the end of a limit that is named in some answers only."""
        self.assertFalse(self.belief.unnamed(10.1, 10 + END_AFTER_S / 2))

    def test_filled_gradually_after_the_end(self) -> None:
        """Guards against a burst when a limit ends."""
        self.assertTrue(self.belief.unnamed(11, 12))
        rates = [self.belief.allowed(12 + second) for second in range(DOUBLINGS)]
        self.assertEqual(rates, [6.8 * 2**second for second in range(DOUBLINGS)])
        self.assertIsNone(self.belief.allowed(12.1 + DOUBLINGS))

    def test_zero_takes_nothing(self) -> None:
        """Guards against requests to a runner that takes none, and against one that is never asked again."""
        self.belief.named(0, 11)
        self.assertEqual(self.belief.allowed(11 + ZERO_BELIEVED_S / 2), 0)
        self.assertEqual(self.belief.allowed(11.1 + ZERO_BELIEVED_S), 1 / ZERO_BELIEVED_S)

    def test_word_of_a_peer(self) -> None:
        """Guards against an older word of a peer that replaces what was heard since."""
        self.assertFalse(self.belief.told(LimitWord(Stamp(2, 500), 30, 9)))
        self.assertTrue(self.belief.told(LimitWord(Stamp(2, 501), 30, 11)))
        self.assertEqual(self.belief.allowed(11), 30)

    def test_word_told_to_and_fro(self) -> None:
        """Guards against an old word that seems young, since it was long under way and told again."""
        old = LimitWord(Stamp(2, 500), 30, 11)
        self.belief.told(old)
        self.belief.named(1, 12)
        self.assertFalse(self.belief.told(old._replace(heard_at=13)))
        self.assertFalse(self.belief.told(LimitWord(Stamp(1, 10), 6.8, 14)))
        self.assertEqual(self.belief.allowed(14), 1)
