"""Estimates of prefill time and pause from the samples of one instance."""

from __future__ import annotations

import math
from random import Random
from unittest import TestCase

from sesamepoint_core.engine_model.estimates import PauseEstimator, PrefillSample, PrefillTimeEstimator
from tests.core.engine_model.builders import EXPECTED_S, samples


class PrefillTimeTest(TestCase):
    """The log ratio of prefill times."""

    def test_ratio_without_samples(self) -> None:
        """Guards against an engine without samples that counts as a known one."""
        self.assertEqual(PrefillTimeEstimator().estimate.weight, 0)

    def test_ratio_few_samples(self) -> None:
        """Guards against an engine of another speed that is taken for a usual one for long."""
        for factor in (1 / 0.6, 1 / 1.6):
            estimator = PrefillTimeEstimator()
            for sample in samples(factor, 5):
                estimator.observe(sample)
            self.assertAlmostEqual(estimator.estimate.mean, math.log(factor), delta=0.1)

    def test_ratio_disturbed_samples(self) -> None:
        """Guards against hidden waits that count as a slow engine: half of the prefills wait for as long again."""
        estimator = PrefillTimeEstimator()
        for sample in samples(1, 60, delay_s=EXPECTED_S):
            estimator.observe(sample)
        self.assertLess(estimator.estimate.mean, 0.2)

    def test_ratio_first_sample_disturbed(self) -> None:
        """Guards against a first sample that waited and keeps the engine slow."""
        estimator = PrefillTimeEstimator()
        estimator.observe(PrefillSample(EXPECTED_S, 3 * EXPECTED_S))
        for sample in samples(1, 3):
            estimator.observe(sample)
        self.assertLess(estimator.estimate.mean, 0.2)

    def test_ratio_short_slowness(self) -> None:
        """Guards against slowness of some hundred ms, here three prefills of three times the length, that lasts."""
        estimator = PrefillTimeEstimator()
        for sample in samples(1, 20):
            estimator.observe(sample)
        for _ in range(3):
            estimator.observe(PrefillSample(EXPECTED_S, 3 * EXPECTED_S))
        self.assertLess(estimator.estimate.mean, 0.12)

    def test_ratio_engine_changes(self) -> None:
        """Guards against an estimate that no longer moves: an engine becomes slower by a half for good."""
        estimator = PrefillTimeEstimator()
        for sample in (*samples(1, 300), *samples(1.5, 100)):
            estimator.observe(sample)
        self.assertAlmostEqual(estimator.estimate.mean, math.log(1.5), delta=0.1)

    def test_ratio_short_prefill(self) -> None:
        """Guards against times that are mostly overhead being taken for the speed."""
        estimator = PrefillTimeEstimator()
        self.assertFalse(estimator.observe(PrefillSample(0.01, 0.05)))
        self.assertFalse(estimator.observe(PrefillSample(0.1, 0.15, whole=True)))
        self.assertEqual(estimator.estimate.weight, 0)


class PauseTest(TestCase):
    """The undisturbed pause."""

    def test_pause_slow_engine(self) -> None:
        """Guards against a slow engine whose pause stays at the initial one: nothing disturbs a tenth of its pauses."""
        rng = Random(1)
        estimator = PauseEstimator()
        for _ in range(200):
            disturbance_s = rng.choice((0, 1, 1, 1, 1)) * rng.uniform(0, 0.3)
            estimator.observe(0.1 * rng.uniform(0.95, 1.05) + disturbance_s)
        self.assertAlmostEqual(estimator.estimate.mean, 0.1, delta=0.03)

    def test_pause_burst(self) -> None:
        """Guards against 500 disturbed pauses in a row that count as undisturbed ones."""
        estimator = PauseEstimator()
        for pause_s in (0.04,) * 100 + (0.28,) * 500:
            estimator.observe(pause_s)
        self.assertLess(estimator.estimate.mean, 0.08)
