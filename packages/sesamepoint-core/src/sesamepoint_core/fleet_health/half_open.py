"""Ejection of a runner and its return through probes, one at a time."""

from __future__ import annotations

import math
from typing import NamedTuple

# Seconds from an ejection to the first probe, and the most after failed probes. A runner that
# has recovered must be used within 2 s, the probe included.
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 1.5
EJECTION_BACKOFF = 1.5
# If the instance that is to probe reports no probe for this long, in seconds, the next one probes.
TAKEOVER_S = 0.3
# For this long, in seconds, the prober waits for a request that may be repeated before it
# calls the health page instead.
REQUEST_WAIT_S = 0.15
# A trial without an outcome after this many seconds is given up: its caller may have left, or
# the instance that sent it may have been killed.
TRIAL_TIMEOUT_S = 1.0


class TrialRequest(NamedTuple):
    """A request that could be sent to an ejected runner as a trial.

    Parameters
    ----------
    repeatable
        Whether it may run more than once.
    rank
        Place of this instance among those that may probe; 0 for the first.
    repeatable_come
        Whether requests that may be repeated come to the service at any instance.
    """

    repeatable: bool
    rank: int = 0
    repeatable_come: bool = False


class HalfOpen:
    """State of one runner between its ejection and its return."""

    def __init__(self) -> None:
        """Start in use."""
        self.ejected = False
        # Whether the health page reported the runner healthy since the ejection.
        self.opened = False
        self.retry_at: float = 0
        self._trial_at = -math.inf
        self._ejection_s = MIN_EJECTION_S

    def eject(self, now: float) -> None:
        """Take the runner out of use; after a failed probe for longer."""
        self.retry_at = now + self._ejection_s
        self._ejection_s = min(self._ejection_s * EJECTION_BACKOFF, MAX_EJECTION_S)
        self.ejected = True
        self.opened = False
        self._trial_at = -math.inf

    def restore(self) -> None:
        """Put the runner back into use."""
        self.ejected = False
        self.opened = False
        self._trial_at = -math.inf

    def note_healthy(self) -> None:
        """Note an answer of a runner in use: the next ejection is a short one again."""
        self._ejection_s = MIN_EJECTION_S

    def open(self, now: float) -> None:
        """Let all instances send trials, since the health page reports the runner healthy."""
        self.opened = True
        self.retry_at = min(self.retry_at, now)

    def begin_trial(self, now: float) -> None:
        """Note that an instance has sent a trial."""
        self._trial_at = now

    def due(self, now: float, rank: int) -> bool:
        """Tell whether the instance with this rank may probe now."""
        if not self.ejected or now - self._trial_at < TRIAL_TIMEOUT_S:
            return False
        return self.opened or now >= self.retry_at + rank * TAKEOVER_S

    def call_due(self, now: float, rank: int) -> bool:
        """Tell whether the instance with this rank must call the health page, since no request served as a probe."""
        return not self.opened and self.due(now - REQUEST_WAIT_S, rank) and self.due(now, rank)

    def admits(self, now: float, trial: TrialRequest) -> bool:
        """Tell whether a request may be sent as a trial.

        A health page may be wrong, so after its call a request that must not be repeated
        waits for the success of one that may, if such requests come at all.
        """
        if not self.due(now, trial.rank):
            return False
        return trial.repeatable or (self.opened and not trial.repeatable_come)


__all__ = ('MAX_EJECTION_S', 'MIN_EJECTION_S', 'REQUEST_WAIT_S', 'TAKEOVER_S', 'HalfOpen', 'TrialRequest')
