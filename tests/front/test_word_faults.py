"""Runners that leave, rest and name limits by their answers, among random faults by fixed seeds."""

from __future__ import annotations

import math
from unittest import TestCase
from unittest.mock import patch

from sesamepoint_core.runner_words.belief import Belief
from sesamepoint_standins.virtual_time import run_virtual
from tests.front.word_faults import play

# 21: the word that a runner leaves came in the answer to a request for the one before at its
# address, and was dropped. 15, 24: the oracle counted requests that were turned away with the
# name of another runner, and a leaving that was written while the store had just gone back.
SEEDS = (1, 2, 15, 21, 24)
TWIN_SEEDS = (1, 2, 3, 4)


def _never(self: Belief) -> bool:
    return False


def _always_room(self: Belief, now: float) -> float:
    return math.inf


def _no_rest(self: Belief, now: float) -> float:
    return 0


class WordFaultsTest(TestCase):
    """What reaches runners under kills, cuts, lost words, and a store that is away, slow or gone back."""

    def test_words_kept(self) -> None:
        """Guards against requests to runners that did not want them, whatever befalls instances and the store."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_virtual(play, seed, seed=seed), [])


class WordTwinTest(TestCase):
    """The oracle finds what each safeguard prevents."""

    def test_twin_that_heeds_no_leaving(self) -> None:
        """Answers say that a runner leaves, and nobody heeds it."""
        with patch.object(Belief, 'leave', _never):
            self._finds('leaving')

    def test_twin_that_heeds_no_rest(self) -> None:
        """Answers ask for rest, and nobody heeds it."""
        with patch.object(Belief, 'room', _always_room), patch.object(Belief, 'rest_left_s', _no_rest):
            self._finds('rest')

    def _finds(self, kind: str) -> None:
        for seed in TWIN_SEEDS:
            if any(line.startswith(kind) for line in run_virtual(play, seed, seed=seed)):
                return
        self.fail(f'no seed showed {kind}')
