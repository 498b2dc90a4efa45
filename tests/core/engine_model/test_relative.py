"""Engines relative to the others of their service."""

from __future__ import annotations

import math
from unittest import TestCase

from sesamepoint_core.engine_model.engine_model import MAX_SLOWNESS, LastingModel, ModelReport
from sesamepoint_core.engine_model.estimates import Estimate
from sesamepoint_core.engine_model.relative import center_of, lasting_model
from sesamepoint_core.serving.health import SILENCE_TIMEOUT_S, RunnerSilence
from tests.core.engine_model.builders import learned_model


def lasting_models(*factors: float, count: int = 20) -> list[LastingModel]:
    """Return the models in use of engines with these factors on the reference prefill time."""
    reports = [learned_model(factor, count, seed).merged(0).report for seed, factor in enumerate(factors, start=1)]
    center = center_of(reports)
    return [lasting_model(one, center) for one in reports]


def pause_report(pause_s: float) -> ModelReport:
    """Return estimates of the pause alone."""
    return ModelReport(Estimate(), Estimate(pause_s, 20))


class RelativeTest(TestCase):
    """Which engines count as different."""

    def test_equal_engines(self) -> None:
        """Guards against the noise of samples that makes equal engines unequal; their model is that of none known."""
        for count in (1, 5, 50):
            self.assertEqual(set(lasting_models(*(2.1,) * 12, count=count)), {LastingModel()})

    def test_unequal_engines(self) -> None:
        """Guards against engines of the known range of speeds that count as equal."""
        factors = [one.prefill_factor for one in lasting_models(1 / 0.6, 1, 1 / 1.6)]
        for factor, speed in zip(factors, (0.6, 1, 1.6), strict=True):
            self.assertAlmostEqual(factor * speed, 1, delta=0.1)

    def test_new_incarnation(self) -> None:
        """Guards against a new incarnation that starts with another model than its service's."""
        center = center_of([learned_model(3).merged(0).report])
        self.assertEqual(lasting_model(learned_model(1, 0).merged(0).report, center), LastingModel())

    def test_pause_own(self) -> None:
        """Guards against a slow step time that is hidden by the other engines."""
        reports = [pause_report(0.04), pause_report(0.042), pause_report(0.08)]
        center = center_of(reports)
        self.assertEqual([lasting_model(one, center).pause_s for one in reports], [0, 0, 0.08])

    def test_slowness_bounded(self) -> None:
        """Guards against an engine whose silence is tolerated for ever because it was slow."""
        model = lasting_model(ModelReport(Estimate(math.log(50), 100), Estimate()), center_of([]))
        self.assertEqual(model.slowness, MAX_SLOWNESS)

    def test_silence_slow_engine(self) -> None:
        """Guards against a slow engine that counts as silent while it works, and against one that never does."""
        health = RunnerSilence()
        health.slowness = 1.7
        health.note_sent(10)
        self.assertFalse(health.silent(10 + 1.5 * SILENCE_TIMEOUT_S))
        self.assertTrue(health.silent(10 + 2 * SILENCE_TIMEOUT_S))
