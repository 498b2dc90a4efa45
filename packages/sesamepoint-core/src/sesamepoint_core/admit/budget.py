"""A budget that keeps retries a small share of the traffic."""

from __future__ import annotations

STARTING_CREDIT = 5.0
MAX_CREDIT = 20.0


class RetryBudget:
    """Each request earns a share of a retry; each retry costs a whole one.

    When upstreams fail, every request wants a retry, and the retries are
    load that makes more requests fail. With a budget the added load is
    bounded by ``share`` of the traffic, whatever fails.

    Parameters
    ----------
    max_credit
        Retries that may be saved up for a burst of failures.
    """

    def __init__(self, max_credit: float = MAX_CREDIT) -> None:
        """Start with a little credit, so that a lone failure is retried."""
        self._max_credit = max_credit
        self._credit = min(STARTING_CREDIT, max_credit)

    def earn(self, share: float) -> None:
        """Count one request."""
        self._credit = min(self._credit + share, self._max_credit)

    def resize(self, max_credit: float) -> None:
        """Allow ``max_credit`` to be saved up from now on."""
        self._max_credit = max_credit
        self._credit = min(self._credit, max_credit)

    def spend(self) -> bool:
        """Take a retry's cost, if there is credit for it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def charge(self) -> None:
        """Take the cost of an extra arrival that has already happened."""
        self._credit -= 1


__all__ = ('RetryBudget',)
