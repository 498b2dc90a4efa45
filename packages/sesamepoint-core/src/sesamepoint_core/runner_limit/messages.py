"""Messages between instances about the rate limit of one incarnation of a runner."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.runner_limit.known_limit import ReportedLimit
from sesamepoint_core.runner_limit.stamp import Moment, Stamp

# Bounds on numbers that peers send.
MAX_RATE = 1e9
MAX_AGE_S = 1e6
MAX_COUNT = 100_000
MAX_PRIORITY = 999
MAX_SIZE = 1e9
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
Age = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class LimitUpdate(NamedTuple):
    """A reported limit as sent to peers: with its age in place of times, since clocks differ."""

    origin: Stamp
    rate: Rate
    age_s: Age
    ended: bool

    @classmethod
    def of(cls, reported: ReportedLimit, now: float) -> LimitUpdate:
        """Return the form in which a reported limit is sent at ``now``."""
        rate = min(reported.rate, MAX_RATE)
        age_s = min(max(now - reported.changed_at, 0), MAX_AGE_S)
        return cls(reported.origin, rate, age_s, reported.ended_at is not None)

    def to_reported(self, now: float) -> ReportedLimit:
        """Return the reported limit by the clock of the recipient, which receives this at ``now``."""
        at = now - self.age_s
        return ReportedLimit(self.origin, self.rate, at, at if self.ended else None)


class Rank(NamedTuple):
    """Order in which requests get permits; the smallest rank goes first."""

    priority: Count
    # Negative, since larger requests are worth more; 0 for a request that has not arrived yet.
    minus_size: Annotated[float, msgspec.Meta(ge=-MAX_SIZE, le=0)]

    @classmethod
    def of(cls, priority: int, size: float) -> Rank:
        """Return the rank of a request, with priority and size cut to the bounds that peers accept."""
        return cls(min(priority, MAX_PRIORITY), -min(size, MAX_SIZE))


class PermitRequest(NamedTuple):
    """Leases the share of an instance to the owner of the limit, and requests permits.

    Parameters
    ----------
    requested_at
        Time on the clock of the sender; the grant returns it.
    leased_from
        The newest stamp of the owner, from which the share is leased. None if it is not leased.
    lease_s
        Length of the lease in seconds.
    demand
        How many requests the sender could send now.
    rank
        Rank of the first of these.
    unused
        Permits that the sender returns.
    limit
        The newest report of the limit known to the sender.
    """

    requested_at: Moment
    leased_from: Stamp | None
    lease_s: Age
    demand: Count
    rank: Rank
    unused: Count
    limit: LimitUpdate | None


class PermitGrant(NamedTuple):
    """The answer of the owner of the limit, with permits for the recipient.

    Parameters
    ----------
    requested_at
        Time in the newest request of the recipient; 0 if this answers none.
    stamp
        Time on the clock of the owner.
    permits
        How many requests may be sent.
    contenders
        How many instances want permits with at least the urgency of the recipient.
    limit
        The newest report of the limit known to the owner.
    """

    requested_at: Moment
    stamp: Stamp
    permits: Count
    contenders: Count
    limit: LimitUpdate | None


class AddressedMessage(NamedTuple):
    """A message and the name of its recipient."""

    recipient: str
    message: PermitRequest | PermitGrant


__all__ = ('AddressedMessage', 'LimitUpdate', 'PermitGrant', 'PermitRequest', 'Rank')
