"""A budget that keeps retries a small share of the traffic."""

from __future__ import annotations

STARTING_CREDIT = 5.0
MAX_CREDIT = 20.0


class RetryBudget:
    """Each request earns a share of a retry; each retry costs a whole one.

    When upstreams fail, every request wants a retry, and the retries are
    load that makes more requests fail. With a budget the added load is
    bounded by ``share`` of the traffic, whatever fails.
    """

    def __init__(self) -> None:
        """Start with a little credit, so that a lone failure is retried."""
        self._credit = STARTING_CREDIT

    def earn(self, share: float) -> None:
        """Count one request."""
        self._credit = min(self._credit + share, MAX_CREDIT)

    def spend(self) -> bool:
        """Take a retry's cost, if there is credit for it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True


__all__ = ('RetryBudget',)
