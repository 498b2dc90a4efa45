"""Builders of samples, reports and engine models."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from sesamepoint_core.engine_model.engine_model import EngineModel, ModelReport
from sesamepoint_core.engine_model.estimates import Estimate, PrefillSample

if TYPE_CHECKING:
    from collections.abc import Iterator

EXPECTED_S = 0.3
NOISE_SHARE = 0.05


def samples(factor: float, count: int, *, delay_s: float = 0, seed: int = 1) -> Iterator[PrefillSample]:
    """Yield prefills of an engine that takes ``factor`` times the expected time; half of them are delayed."""
    rng = Random(seed)
    for number in range(count):
        took_s = EXPECTED_S * factor * math.exp(rng.gauss(0, NOISE_SHARE))
        yield PrefillSample(EXPECTED_S, took_s + delay_s * (number % 2))


def learned_model(factor: float, count: int = 20, seed: int = 1) -> EngineModel:
    """Return the model of an engine after ``count`` prefills at this instance."""
    model = EngineModel()
    for sample in samples(factor, count, seed=seed):
        model.observe_prefill(sample, 0)
    return model


def prefill_report(factor: float, weight: float = 50) -> ModelReport:
    """Return a peer's report on the prefill time alone."""
    return ModelReport(Estimate(math.log(factor), weight), Estimate())


__all__ = ('EXPECTED_S', 'learned_model', 'prefill_report', 'samples')
