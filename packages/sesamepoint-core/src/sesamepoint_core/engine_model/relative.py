"""Models of the engines of one service and stage relative to each other."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.engine_model.engine_model import LastingModel, ModelReport, slowness
from sesamepoint_core.engine_model.estimates import Estimate

if TYPE_CHECKING:
    from collections.abc import Sequence

# An engine counts as different from its service only by more than this log ratio, which is
# the noise of a prefill time, and by more than this many standard deviations. Equal engines
# are treated equally whatever the noise of their samples.
MIN_DIFFERENCE = 0.15
MIN_DEVIATIONS = 3.0
# A pause differs from that of the service if it is longer or shorter by this factor and is
# known by this weight.
MIN_PAUSE_RATIO = 1.2
MIN_PAUSE_WEIGHT = 2.0
# Bounds of the prefill factor in use. Beyond them an engine is at fault, which is the
# matter of runner health.
MIN_FACTOR = 0.25
MAX_FACTOR = 4.0


class Center(NamedTuple):
    """Median engine of a service and stage.

    Parameters
    ----------
    log_ratio
        Log ratio of its prefill time to that of the reference speed.
    pause_s
        Its undisturbed pause, in seconds; 0 if no pause is known.
    """

    log_ratio: float = 0
    pause_s: float = 0


def center_of(reports: Sequence[ModelReport]) -> Center:
    """Return the median engine; engines without samples do not count."""
    ratios = [one.prefill.mean for one in reports if one.prefill.weight > 0]
    pauses = [one.pause.mean for one in reports if one.pause.weight >= MIN_PAUSE_WEIGHT]
    return Center(median(ratios) if ratios else 0, median(pauses) if pauses else 0)


def lasting_model(merged: ModelReport, center: Center) -> LastingModel:
    """Return the model in use of an engine with ``merged`` estimates."""
    factor = _prefill_factor(merged.prefill, center.log_ratio)
    pause_ratio = _pause_ratio(merged.pause, center.pause_s)
    return LastingModel(
        prefill_factor=factor,
        pause_s=0 if pause_ratio == 1 else merged.pause.mean,
        slowness=slowness(factor, pause_ratio),
    )


def _prefill_factor(prefill: Estimate, center: float) -> float:
    if not prefill.weight:
        return 1.0
    difference = prefill.mean - center
    if abs(difference) < max(MIN_DIFFERENCE, MIN_DEVIATIONS / math.sqrt(prefill.weight)):
        return 1.0
    return min(max(math.exp(difference), MIN_FACTOR), MAX_FACTOR)


def _pause_ratio(pause: Estimate, center_s: float) -> float:
    if pause.weight < MIN_PAUSE_WEIGHT or not center_s:
        return 1.0
    ratio = pause.mean / center_s
    return ratio if ratio > MIN_PAUSE_RATIO or ratio < 1 / MIN_PAUSE_RATIO else 1.0


__all__ = ('Center', 'center_of', 'lasting_model')
