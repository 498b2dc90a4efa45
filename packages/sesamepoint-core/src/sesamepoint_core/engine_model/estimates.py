"""Estimators of one engine's prefill time and pause, from samples of one instance."""

from __future__ import annotations

import math
from typing import NamedTuple

# Variance that is added for each sample, so that an engine that changes is followed
# within some tens of samples.
DRIFT_VARIANCE = 0.0002
# Standard deviation of a prefill time around the model: seconds, and a share of the time.
NOISE_S = 0.01
NOISE_SHARE = 0.1
# Further noise of a prefill that began when another one ended, in seconds: peers report
# that end some milliseconds later.
SUCCESSION_NOISE_S = 0.015
# Further noise of the time to the first event of a whole run, in seconds: the steps of the
# first event come after the prefill, and the other streams at the engine lengthen them.
WHOLE_RUN_NOISE_S = 0.06
# A prefill shorter than this many times its noise in seconds says nothing on the speed.
MIN_SIGNAL = 2.0
# Samples that are slower than the noise explains may have waited for work that is not
# known here. They count as if their noise were this many times as large.
SLOW_NOISE_FACTOR = 5.0
# A sample that is faster than the noise explains makes the estimate as uncertain as this
# factor on its variance.
FAST_VARIANCE_FACTOR = 2.0
MIN_TIME_S = 0.001
# Bounds of the log of an engine's prefill time to that of the reference speed; a sample or
# a report beyond them is cut to them.
MAX_LOG_RATIO = 4.0
# Quantile of the pauses that is tracked: most pauses of a busy engine are lengthened by
# prefills.
PAUSE_QUANTILE = 0.1
# Step of the log of the estimated pause: the first for few samples, the last for many.
FIRST_PAUSE_STEP = 0.5
LAST_PAUSE_STEP = 0.01
# Samples of a pause that count as much as one unit of weight, and the largest weight.
SAMPLES_PER_PAUSE_WEIGHT = 20
MAX_PAUSE_WEIGHT = 50.0


class Estimate(NamedTuple):
    """An estimated value and its weight, which is the inverse of its variance; without samples the weight is 0."""

    mean: float = 0
    weight: float = 0


class PrefillSample(NamedTuple):
    """Duration of one prefill.

    Parameters
    ----------
    expected_s
        Seconds of the prefill alone at an engine of reference speed.
    took_s
        Observed seconds of the prefill alone.
    succeeded
        Whether the engine had another prefill before, whose end was taken for the begin of this one.
    whole
        Whether it was measured by the first event of a whole run.
    """

    expected_s: float
    took_s: float
    succeeded: bool = False
    whole: bool = False


class PrefillTimeEstimator:
    """Kalman filter of the log ratio of an engine's prefill time to that of the reference speed."""

    def __init__(self) -> None:
        """Start without samples."""
        self._log_ratio: float = 0
        self._variance = math.inf

    @property
    def estimate(self) -> Estimate:
        """Return the estimated log ratio with its weight."""
        return Estimate(self._log_ratio, 1 / self._variance)

    def observe(self, sample: PrefillSample) -> bool:
        """Update the estimate by one prefill; return whether it was long enough to count."""
        noise_s = _noise_s(sample)
        if sample.expected_s < MIN_SIGNAL * noise_s:
            return False
        ratio = math.log(max(sample.took_s, MIN_TIME_S) / sample.expected_s)
        self._update(min(max(ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO), (NOISE_SHARE + noise_s / sample.expected_s) ** 2)
        return True

    def _update(self, log_ratio: float, noise_variance: float) -> None:
        if math.isinf(self._variance):
            self._log_ratio = log_ratio
            self._variance = noise_variance
            return
        self._variance += DRIFT_VARIANCE
        surplus = log_ratio - self._log_ratio
        if surplus > math.sqrt(self._variance + noise_variance):
            noise_variance *= SLOW_NOISE_FACTOR**2
        elif surplus < -math.sqrt(self._variance + noise_variance):
            # The earlier samples may have been disturbed.
            self._variance *= FAST_VARIANCE_FACTOR
        gain = self._variance / (self._variance + noise_variance)
        self._log_ratio += gain * surplus
        self._variance *= 1 - gain


class PauseEstimator:
    """Tracker of a low quantile of the pauses between two events at one engine."""

    def __init__(self) -> None:
        """Start without samples."""
        self._log_pause: float = 0
        self._samples = 0

    @property
    def estimate(self) -> Estimate:
        """Return the estimated pause in seconds with its weight."""
        weight = min(self._samples / SAMPLES_PER_PAUSE_WEIGHT, MAX_PAUSE_WEIGHT)
        return Estimate(math.exp(self._log_pause) if self._samples else 0, weight)

    def observe(self, pause_s: float) -> None:
        """Update the estimate by one pause."""
        log_pause = math.log(max(pause_s, MIN_TIME_S))
        self._samples += 1
        if self._samples == 1:
            self._log_pause = log_pause
        step = max(LAST_PAUSE_STEP, FIRST_PAUSE_STEP / self._samples)
        change = step * (PAUSE_QUANTILE - (log_pause < self._log_pause))
        # A step does not pass the sample.
        distance = log_pause - self._log_pause
        self._log_pause += math.copysign(min(abs(change), abs(distance)), distance)


def _noise_s(sample: PrefillSample) -> float:
    """Return the standard deviation of a prefill time in seconds, besides that of its share."""
    succession_s = SUCCESSION_NOISE_S if sample.succeeded else 0
    whole_run_s = WHOLE_RUN_NOISE_S if sample.whole else 0
    return NOISE_S + succession_s + whole_run_s


__all__ = ('MAX_LOG_RATIO', 'MIN_TIME_S', 'Estimate', 'PauseEstimator', 'PrefillSample', 'PrefillTimeEstimator')
