"""Finding runners that fail or hang, from what their answers show."""

from __future__ import annotations

# Failures in a row after which a runner is left out. One may be chance: even
# sound runners lose an answer now and then.
FAILURES_TO_EJECT = 3
# The share of recent failures from which on a runner is left out although
# some answers are good. Sound runners of today's deployments fail up to 15%.
FAILING_SHARE = 0.4
# Weight of the newest answer in that share: about the last ten count.
LEARNING = 0.15
# How long a runner is left out the first time, and at the most, in seconds.
FIRST_OUT_S = 1.0
MAX_OUT_S = 4.0
BACKOFF = 2.0
# A runner that owes an answer and has given no sign at all for this long, in
# seconds, gets no other requests until it does. Under load sound engines give
# some sign every few tens of milliseconds.
SILENT_S = 0.7


class Health:
    """Beliefs about one runner's soundness.

    A runner that is left out is tried again by real requests afterwards; if
    the first of those fails too, it is out for twice as long.
    """

    def __init__(self) -> None:
        """Take the runner for sound."""
        self._in_a_row = 0
        self._unreached = 0
        self._failing: float = 0
        self._out_until: float = 0
        self._out_s = FIRST_OUT_S
        self._waiting: dict[int, float] = {}
        self._heard_at: float = 0
        self._serial = 0

    def usable(self, now: float) -> bool:
        """Tell whether requests may go there."""
        return now >= self._out_until and not self.silent(now)

    @property
    def failing(self) -> float:
        """Return the share of recent requests that failed, newest most."""
        return self._failing

    def works_at_times(self, now: float) -> bool:
        """Tell whether it answers some requests, though it may be left out."""
        return not self.silent(now) and self._unreached == 0

    def unreached(self) -> None:
        """Note that no connection to it came about."""
        self._unreached += 1

    def silent(self, now: float) -> bool:
        """Tell whether a request has waited there for too long."""
        oldest = next(iter(self._waiting.values()), now)
        return now - max(oldest, self._heard_at) > SILENT_S

    def heard(self, now: float) -> None:
        """Note a sign of life: a part of any answer."""
        self._heard_at = now

    def heard_since(self, moment: float) -> bool:
        """Tell whether there was a sign of life after ``moment``."""
        return self._heard_at > moment

    def sent(self, now: float) -> int:
        """Note that a request waits for a first sign; returns its ticket."""
        self._serial += 1
        self._waiting[self._serial] = now
        return self._serial

    def settled(self, ticket: int) -> None:
        """Note that the request with ``ticket`` no longer waits."""
        self._waiting.pop(ticket, None)

    def good(self) -> None:
        """Count a sound answer."""
        self._in_a_row = 0
        self._unreached = 0
        self._out_s = FIRST_OUT_S
        self._failing *= 1 - LEARNING

    def bad(self, now: float, *, answered: bool = False) -> bool:
        """Count a failure; True if the runner is left out from now on.

        A failure that it ``answered`` may lie in the request: only their
        share counts, not that some came in a row.
        """
        self._in_a_row += 0 if answered else 1
        self._failing += LEARNING * (1 - self._failing)
        if self._in_a_row < FAILURES_TO_EJECT and self._failing < FAILING_SHARE:
            return False
        self._out_until = now + self._out_s
        self._out_s = min(self._out_s * BACKOFF, MAX_OUT_S)
        # One more failure after the return is enough to leave it out again.
        self._in_a_row = FAILURES_TO_EJECT - 1
        self._failing = min(self._failing, FAILING_SHARE - LEARNING)
        return True


__all__ = ('MAX_OUT_S', 'Health')
