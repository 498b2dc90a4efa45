"""Exponential backoff with jitter, scaled by the number of instances."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from random import Random

# Share of a pause that is not random: pauses that may be arbitrarily short would
# repeat a call at once.
FIXED_SHARE = 0.5
# Beyond this many doublings every pause has reached its limit.
MAX_DOUBLINGS = 16


class RetryLimits(NamedTuple):
    """Limits of the pauses between failed calls, in seconds.

    Parameters
    ----------
    first_s
        Longest pause after the first failure of an instance that is alone.
    longest_s
        Longest pause after any number of failures.
    """

    first_s: float
    longest_s: float


class Backoff:
    """Pauses between the failed calls of one caller of the store."""

    def __init__(self, limits: RetryLimits, rng: Random) -> None:
        """Start without failures."""
        self.failures = 0
        self._limits = limits
        self._rng = rng

    def next_pause_s(self, instances: int) -> float:
        """Count a failure, and return the pause before the call is repeated, in seconds.

        All instances that have the same fault together make as many calls as one
        would, until the limit is reached.
        """
        doublings = min(self.failures, MAX_DOUBLINGS)
        self.failures += 1
        scaled_s = math.ldexp(self._limits.first_s * max(instances, 1), doublings)
        span_s = min(scaled_s, self._limits.longest_s)
        return span_s * self._rng.uniform(FIXED_SHARE, 1)

    def reset(self) -> None:
        """Note that a call succeeded."""
        self.failures = 0


__all__ = ('Backoff', 'RetryLimits')
