"""Slowness of single engines that passes."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.engine_model.passing import EXCESS_DECAY_S, MAX_USUAL_RATIO, excess_decay


class ExcessDecayTest(TestCase):
    """What an engine deviates from the others fades."""

    def test_decay_usual_factor(self) -> None:
        """Guards against a change of the factors of equal engines under one load."""
        for factor in (1.6, 2, 2.4):
            self.assertEqual(excess_decay(factor, 2, 10), 1)

    def test_decay_disturbed_engine(self) -> None:
        """Guards against an engine that is avoided for half a minute after some hundred ms of slowness."""
        factor = 3 * excess_decay(3, 1, EXCESS_DECAY_S)
        self.assertLess(factor, 1.8)
        self.assertAlmostEqual(3 * excess_decay(3, 1, 100), MAX_USUAL_RATIO)

    def test_decay_fast_engine(self) -> None:
        """Guards against an engine that is preferred for long after it was quick for a moment."""
        self.assertAlmostEqual(0.5 * excess_decay(0.5, 1, 100), 1 / MAX_USUAL_RATIO)
