"""A retry budget that limits retries to a share of the requests."""

from __future__ import annotations

# In retries.
STARTING_CREDIT = 5.0
MAX_CREDIT = 20.0


class RetryBudget:
    """Credit for retries: each request adds a fraction of a retry, each retry takes one.

    When upstreams fail, all requests are retried, and the added load makes more
    requests fail. The budget limits the added load to the fraction that each request
    adds, whatever fails.

    Parameters
    ----------
    max_credit
        Most retries that may be saved up for a burst of failures.
    """

    def __init__(self, max_credit: float = MAX_CREDIT) -> None:
        """Start with some credit, so that a single failure can be retried."""
        self._max_credit = max_credit
        self._credit = min(STARTING_CREDIT, max_credit)

    def earn(self, share: float) -> None:
        """Add the credit of one request: ``share`` of a retry."""
        self._credit = min(self._credit + share, self._max_credit)

    def resize(self, max_credit: float) -> None:
        """Change the most retries that may be saved up."""
        self._max_credit = max_credit
        self._credit = min(self._credit, max_credit)

    def spend(self) -> bool:
        """Take one retry from the credit; returns False if there is none left."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def charge(self) -> None:
        """Take one retry that has already happened, even beyond the credit."""
        self._credit -= 1


__all__ = ('RetryBudget',)
