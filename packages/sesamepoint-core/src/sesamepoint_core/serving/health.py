"""Failure detection for one runner, from the outcomes of its requests."""

from __future__ import annotations

# Consecutive failures after which a runner is ejected. A single failure may be
# chance: healthy runners lose an answer now and then too.
FAILURES_TO_EJECT = 3
# Share of recent failures from which on a runner is ejected although some requests
# succeed. Healthy runners of the known deployments fail up to 15%.
FAILING_SHARE = 0.4
# Weight of the newest request in that share: about the last ten count.
LEARNING = 0.15
# Seconds for which a runner is ejected the first time, and at the most.
FIRST_OUT_S = 1.0
MAX_OUT_S = 4.0
BACKOFF = 2.0
# A runner with a request outstanding that has sent nothing for this many seconds
# gets no other requests until it sends something. Healthy engines under load send
# something every few tens of milliseconds.
SILENT_S = 0.7


class Health:
    """Health of one runner and its ejections.

    After an ejection, real requests are sent to the runner again. If the first
    of them fails too, the runner is ejected for twice as long.
    """

    def __init__(self) -> None:
        """Assume that the runner is healthy."""
        self._in_a_row = 0
        self._unreached = 0
        self._failing: float = 0
        self._out_until: float = 0
        self._out_s = FIRST_OUT_S
        self._waiting: dict[int, float] = {}
        self._heard_at: float = 0
        self._serial = 0

    def usable(self, now: float) -> bool:
        """Tell whether requests may be sent to the runner."""
        return now >= self._out_until and not self.silent(now)

    @property
    def failing(self) -> float:
        """Return the share of recent requests that failed, as a moving average."""
        return self._failing

    def works_at_times(self, now: float) -> bool:
        """Tell whether the runner answers some requests, even if it is ejected."""
        return not self.silent(now) and self._unreached == 0

    def unreached(self) -> None:
        """Count a failure to connect to the runner."""
        self._unreached += 1

    def silent(self, now: float) -> bool:
        """Tell whether the runner has sent nothing for too long while a request is outstanding."""
        oldest = next(iter(self._waiting.values()), now)
        return now - max(oldest, self._heard_at) > SILENT_S

    def heard(self, now: float) -> None:
        """Note that the runner has sent a part of any answer."""
        self._heard_at = now

    def heard_since(self, moment: float) -> bool:
        """Tell whether the runner has sent anything after ``moment``."""
        return self._heard_at > moment

    def sent(self, now: float) -> int:
        """Note that a request awaits its first response; returns its ticket."""
        self._serial += 1
        self._waiting[self._serial] = now
        return self._serial

    def settled(self, ticket: int) -> None:
        """Note that the request with ``ticket`` no longer awaits its first response."""
        self._waiting.pop(ticket, None)

    def good(self) -> None:
        """Count a successful request."""
        self._in_a_row = 0
        self._unreached = 0
        self._out_s = FIRST_OUT_S
        self._failing *= 1 - LEARNING

    def bad(self, now: float, *, answered: bool = False) -> bool:
        """Count a failed request; returns whether the runner is ejected now.

        A failure that the runner ``answered`` may be due to the request: such
        failures count in the share, not as consecutive ones.
        """
        self._in_a_row += 0 if answered else 1
        self._failing += LEARNING * (1 - self._failing)
        if self._in_a_row < FAILURES_TO_EJECT and self._failing < FAILING_SHARE:
            return False
        self._out_until = now + self._out_s
        self._out_s = min(self._out_s * BACKOFF, MAX_OUT_S)
        # One more failure after the ejection is enough to eject it again.
        self._in_a_row = FAILURES_TO_EJECT - 1
        self._failing = min(self._failing, FAILING_SHARE - LEARNING)
        return True


__all__ = ('MAX_OUT_S', 'Health')
