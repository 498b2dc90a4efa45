"""Failure detection for one runner, from the outcomes of its requests."""

from __future__ import annotations

# Consecutive failures after which a runner is ejected. A single failure may be
# chance: healthy runners lose an answer now and then too.
FAILURES_TO_EJECT = 3
# Share of recent failures from which on a runner is ejected although some requests
# succeed. Healthy runners of the known deployments fail up to 15%.
EJECTION_FAILURE_SHARE = 0.4
# Weight of the newest request in that share: about the last ten count.
FAILURE_SHARE_GAIN = 0.15
# Seconds for which a runner is ejected the first time, and at the most.
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 4.0
EJECTION_BACKOFF = 2.0
# A runner with a request outstanding that has sent nothing for this many seconds
# gets no other requests until it sends something. Healthy engines under load send
# something every few tens of milliseconds.
SILENCE_TIMEOUT_S = 0.7


class RunnerHealth:
    """Health of one runner and its ejections.

    After an ejection, real requests are sent to the runner again. If the first
    of them fails too, the runner is ejected for twice as long.
    """

    def __init__(self) -> None:
        """Assume that the runner is healthy."""
        self._consecutive_failures = 0
        self._connect_failures = 0
        self._failure_share: float = 0
        self._ejected_until: float = 0
        self._ejection_s = MIN_EJECTION_S
        self._waiting: dict[int, float] = {}
        self._active_at: float = 0
        self._last_ticket = 0

    def eligible(self, now: float) -> bool:
        """Tell whether requests may be sent to the runner."""
        return now >= self._ejected_until and not self.silent(now)

    @property
    def failure_share(self) -> float:
        """Return the share of recent requests that failed, as a moving average."""
        return self._failure_share

    def partly_works(self, now: float) -> bool:
        """Tell whether the runner answers some requests, even if it is ejected."""
        return not self.silent(now) and self._connect_failures == 0

    def note_connect_failure(self, *, local: bool = False) -> None:
        """Count a failure to connect to the runner, unless a limit of this process is the cause."""
        if not local:
            self._connect_failures += 1

    def silent(self, now: float) -> bool:
        """Tell whether the runner has sent nothing for too long while a request is outstanding."""
        oldest = next(iter(self._waiting.values()), now)
        return now - max(oldest, self._active_at) > SILENCE_TIMEOUT_S

    def note_activity(self, now: float) -> None:
        """Note that the runner has sent a part of any answer."""
        self._active_at = now

    def active_since(self, moment: float) -> bool:
        """Tell whether the runner has sent anything after ``moment``."""
        return self._active_at > moment

    def note_sent(self, now: float) -> int:
        """Note that a request awaits its first response; returns its ticket."""
        self._last_ticket += 1
        self._waiting[self._last_ticket] = now
        return self._last_ticket

    def note_settled(self, ticket: int) -> None:
        """Note that the request with ``ticket`` no longer awaits its first response."""
        self._waiting.pop(ticket, None)

    def note_success(self) -> None:
        """Count a successful request."""
        self._consecutive_failures = 0
        self._connect_failures = 0
        self._ejection_s = MIN_EJECTION_S
        self._failure_share *= 1 - FAILURE_SHARE_GAIN

    def note_failure(self, now: float, *, answered: bool = False) -> bool:
        """Count a failed request; returns whether the runner is ejected now.

        A failure that the runner ``answered`` may be due to the request: such
        failures count in the share, not as consecutive ones.
        """
        self._consecutive_failures += 0 if answered else 1
        self._failure_share += FAILURE_SHARE_GAIN * (1 - self._failure_share)
        if self._consecutive_failures < FAILURES_TO_EJECT and self._failure_share < EJECTION_FAILURE_SHARE:
            return False
        self._ejected_until = now + self._ejection_s
        self._ejection_s = min(self._ejection_s * EJECTION_BACKOFF, MAX_EJECTION_S)
        # One more failure after the ejection is enough to eject it again.
        self._consecutive_failures = FAILURES_TO_EJECT - 1
        self._failure_share = min(self._failure_share, EJECTION_FAILURE_SHARE - FAILURE_SHARE_GAIN)
        return True


__all__ = ('MAX_EJECTION_S', 'RunnerHealth')
