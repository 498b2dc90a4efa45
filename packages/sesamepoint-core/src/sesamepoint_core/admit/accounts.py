"""Limits per account that hold across entries without a message per request."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

BURST_S = 5.0
MAX_ACCOUNTS = 10_000


class Bucket(NamedTuple):
    """What an account may still send at once, and as of when."""

    credit: float
    at: float


class AccountLimits:
    """A token bucket per account, each entry with its share of the rate.

    The balancer spreads an account's requests over the entries evenly, so
    each grants the rate over the number of entries. Nothing is said between
    them about single requests. An account that comes by one entry only gets
    that entry's share.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self._buckets: OrderedDict[str, Bucket] = OrderedDict()

    def wait_s(self, now: float, account: str, rate: float, entries: float) -> float:
        """Take one request's credit; return 0, or when to come back.

        Parameters
        ----------
        now
            Seconds on any steady clock.
        account
            Whom it is counted against.
        rate
            Requests a second over all entries.
        entries
            How many entries there are.
        """
        share = rate / max(entries, 1)
        burst = max(share * BURST_S, 1)
        bucket = self._buckets.pop(account, Bucket(burst, now))
        credit = min(bucket.credit + (now - bucket.at) * share, burst)
        granted = credit >= 1
        self._buckets[account] = Bucket(credit - granted, now)
        if len(self._buckets) > MAX_ACCOUNTS:
            self._buckets.popitem(last=False)
        return 0 if granted else (1 - credit) / share


__all__ = ('AccountLimits',)
