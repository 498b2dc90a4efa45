"""Correction of expected times by the observed ones of a runner."""

from __future__ import annotations

import math

LEARNING_RATE = 0.1
DECAY_S = 30.0
MIN_LOG_RATIO = -0.7
MAX_LOG_RATIO = 1.5
MIN_TIME_S = 0.001


class TimeCorrection:
    """Moving average of the ratio of observed to expected times, which decays to one.

    Load reports are incomplete: a runner may be slow for a reason that it
    does not notice, and urgent requests that arrive later overtake small ones.
    Observed times therefore correct the next estimates. Because the factor
    decays, a runner that was avoided is tried again after some time.
    """

    def __init__(self) -> None:
        """Start with a factor of one."""
        self._log_factor: float = 0
        self._observed_at: float = 0

    def observe(self, now: float, expected_s: float, took_s: float) -> None:
        """Update the factor after an answer, or after a request given up at its deadline; times are in seconds."""
        ratio = math.log(max(took_s, MIN_TIME_S) / max(expected_s, MIN_TIME_S))
        bounded = min(max(ratio, MIN_LOG_RATIO), MAX_LOG_RATIO)
        self._log_factor = self._decayed(now) + LEARNING_RATE * bounded
        self._observed_at = now

    def scale(self, now: float, factor: float) -> None:
        """Multiply the factor by ``factor``."""
        self._log_factor = self._decayed(now) + math.log(factor)
        self._observed_at = now

    def factor(self, now: float) -> float:
        """Return the factor to multiply expected times by."""
        return math.exp(self._decayed(now))

    def _decayed(self, now: float) -> float:
        return self._log_factor * math.exp((self._observed_at - now) / DECAY_S)


__all__ = ('TimeCorrection',)
