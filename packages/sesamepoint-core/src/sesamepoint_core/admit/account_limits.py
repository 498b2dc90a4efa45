"""Rate limits per account that hold across instances without a message per request."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

# Seconds of its rate that an account may use at once.
BURST_S = 5.0
MAX_ACCOUNTS = 10_000


class AccountBucket(NamedTuple):
    """The requests that an account may send at once, and the time of that state in seconds."""

    tokens: float
    updated_at: float


class AccountLimits:
    """Token buckets of accounts; each instance grants an equal share of the rate.

    The load balancer spreads the requests of an account evenly over the instances, so
    each of them grants the rate divided by their number. They exchange no messages
    about single requests. An account whose requests all reach the same instance gets
    only the share of that instance.
    """

    def __init__(self) -> None:
        """Start without accounts."""
        self._buckets: OrderedDict[str, AccountBucket] = OrderedDict()

    def wait_s(self, now: float, account: str, rate: float, instances: float) -> float:
        """Take a token for one request; return 0, or the seconds until there is one.

        Parameters
        ----------
        now
            Seconds of a monotonic clock.
        account
            Account that the request counts against.
        rate
            Requests a second over all instances.
        instances
            Number of instances.
        """
        share = rate / max(instances, 1)
        burst = max(share * BURST_S, 1)
        bucket = self._buckets.pop(account, AccountBucket(burst, now))
        credit = min(bucket.tokens + (now - bucket.updated_at) * share, burst)
        granted = credit >= 1
        self._buckets[account] = AccountBucket(credit - granted, now)
        if len(self._buckets) > MAX_ACCOUNTS:
            self._buckets.popitem(last=False)
        return 0 if granted else (1 - credit) / share


__all__ = ('AccountLimits',)
