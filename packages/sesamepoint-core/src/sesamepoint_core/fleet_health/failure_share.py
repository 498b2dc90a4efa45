"""Share of the recent requests at one runner that failed."""

from __future__ import annotations

import math

# Weight of the newest outcome in the share of failures: about the last ten count.
FAILURE_SHARE_GAIN = 0.15
# Time after which the share counts half for the placement, in seconds. A runner that is
# avoided gives no new outcomes, and must be used again within 2 s of its recovery.
SHARE_HALF_LIFE_S = 0.4


class FailureShare:
    """The share of recent requests of all instances that failed, as a moving average."""

    def __init__(self) -> None:
        """Start without failures."""
        self.recent: float = 0
        self._failed_at: float = 0

    def expected(self, now: float) -> float:
        """Return the share of requests that are expected to fail now, for the placement."""
        return self.recent * math.pow(2, -max(now - self._failed_at, 0) / SHARE_HALF_LIFE_S)

    def add(self, now: float, successes: int, failures: int) -> None:
        """Count outcomes, the successes first."""
        share = self.expected(now) if failures else self.recent
        share *= math.pow(1 - FAILURE_SHARE_GAIN, successes)
        self.recent = 1 - (1 - share) * math.pow(1 - FAILURE_SHARE_GAIN, failures)
        if failures:
            self._failed_at = now

    def clear(self) -> None:
        """Forget the failures, since the runner has recovered."""
        self.recent = 0


__all__ = ('FAILURE_SHARE_GAIN', 'FailureShare')
