"""How a runner's answers compare to what was expected of them."""

from __future__ import annotations

import math

LEARNING = 0.1
FORGET_S = 30.0
MIN_LOG_RATIO = -0.7
MAX_LOG_RATIO = 1.5
MIN_S = 0.001


class Pace:
    """A factor from observed over expected times, which fades to one.

    Reports cannot tell all: a runner may be slow for a reason it does not
    see, and small jobs are overtaken by urgent ones that come later. What
    was observed corrects what is expected next. Since the factor fades, a
    runner that was shunned is tried again after a while.
    """

    def __init__(self) -> None:
        """Start at one."""
        self._log_factor: float = 0
        self._at: float = 0

    def observe(self, now: float, expected_s: float, took_s: float) -> None:
        """Learn from one answer, or from one given up at its deadline."""
        ratio = math.log(max(took_s, MIN_S) / max(expected_s, MIN_S))
        bounded = min(max(ratio, MIN_LOG_RATIO), MAX_LOG_RATIO)
        self._log_factor = self._faded(now) + LEARNING * bounded
        self._at = now

    def factor(self, now: float) -> float:
        """Return what to multiply expected times by."""
        return math.exp(self._faded(now))

    def _faded(self, now: float) -> float:
        return self._log_factor * math.exp((self._at - now) / FORGET_S)


__all__ = ('Pace',)
