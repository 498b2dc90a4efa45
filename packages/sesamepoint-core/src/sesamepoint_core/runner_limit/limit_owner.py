"""Owner of a rate limit: grants permits from the shares that are leased to this instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.runner_limit.share_lender import Demand, lease_s
from sesamepoint_core.runner_limit.stamp import Stamp
from sesamepoint_core.runner_limit.token_bucket import TokenBucket

if TYPE_CHECKING:
    from sesamepoint_core.runner_limit.messages import PermitRequest


# Least time between two checks for expired demands, in seconds.
EXPIRY_INTERVAL_S = 0.1


class AllocatedPermit(NamedTuple):
    """One permit for an instance, when the instance requested it, on its own clock, and the priority of its demand."""

    instance: str
    requested_at: float
    priority: int


class _Demand(NamedTuple):
    demand: Demand
    received_at: float
    requested_at: float


class LimitOwner:
    """Counts the shares leased to this instance, and grants permits to the demands of the smallest rank."""

    def __init__(self, incarnation: int, phase: float) -> None:
        """Start without leases, with the number of this incarnation and the fraction of the first permit."""
        self._incarnation = incarnation
        self._bucket = TokenBucket(phase)
        self._leased_until: dict[str, float] = {}
        self._demands: dict[str, _Demand] = {}
        self._allocated_at: dict[str, float] = {}
        self._expired_at: float = -math.inf

    def stamp(self, now: float) -> Stamp:
        """Return the time on this instance's clock, from which peers date their leases."""
        return Stamp(self._incarnation, now)

    def on_request(self, instance: str, request: PermitRequest, instance_count: int, now: float) -> None:
        """Handle a request of a peer: its lease, its demand and its unused permits.

        The lease counts from the stamp in the request, not from now: an instance
        that was frozen reads old datagrams when it wakes.
        """
        if request.leased_from is not None and request.leased_from.incarnation == self._incarnation:
            until = min(request.leased_from.at, now) + min(request.lease_s, lease_s(instance_count))
            self._leased_until[instance] = max(until, self._leased_until.get(instance, -math.inf))
        self.update_demand(instance, Demand(request.demand, request.rank), request.requested_at, now)
        for _ in range(min(request.unused, self._max_unused())):
            self._bucket.put_back(now)

    def update_demand(self, instance: str, demand: Demand, requested_at: float, now: float) -> None:
        """Set the demand of an instance, in place of its earlier one."""
        if demand.permits:
            self._demands[instance] = _Demand(demand, now, requested_at)
        else:
            self._demands.pop(instance, None)

    def put_back(self, permits: int, now: float) -> None:
        """Take back permits that this instance did not use itself."""
        for _ in range(permits):
            self._bucket.put_back(now)

    def leased_shares(self, members: frozenset[str], now: float) -> int:
        """Return how many of ``members`` lease their share to this instance."""
        self._leased_until = {name: until for name, until in self._leased_until.items() if until > now}
        return sum(name in members for name in self._leased_until)

    def has_lease(self, instance: str, now: float) -> bool:
        """Return whether the share of the named instance is leased to this one."""
        return self._leased_until.get(instance, -math.inf) > now

    def update_rate(self, rate: float, max_age_s: float, now: float) -> None:
        """Set the rate in permits a second, and how many seconds permits without demand are kept."""
        self._bucket.update_rate(rate, max_age_s, now)

    def allocate(self, members: frozenset[str], now: float) -> list[AllocatedPermit]:
        """Return the permits that are granted now."""
        self._expire(members, now)
        granted = []
        while self._demands and self._bucket.available(now):
            self._bucket.take()
            granted.append(self._allocate_one(now))
        return granted

    def contenders(self, instance: str, priority: int) -> int:
        """Return how many instances want permits at least as urgently as requests of ``priority`` at ``instance``.

        It is included, whether or not its demand has just been met.
        """
        return len({instance, *(name for name, one in self._demands.items() if one.demand.rank.priority <= priority)})

    def next_at(self) -> float:
        """Return when the next permit may be granted; infinite without demand."""
        return self._bucket.next_at() if self._demands else math.inf

    def _allocate_one(self, now: float) -> AllocatedPermit:
        name = min(self._demands, key=self._order)
        pending = self._demands.pop(name)
        self._allocated_at[name] = now
        remaining = pending.demand.permits - 1
        if remaining:
            self._demands[name] = pending._replace(demand=pending.demand._replace(permits=remaining))
        return AllocatedPermit(name, pending.requested_at, pending.demand.rank.priority)

    def _order(self, instance: str) -> tuple[object, float]:
        return self._demands[instance].demand.rank, self._allocated_at.get(instance, -math.inf)

    def _expire(self, members: frozenset[str], now: float) -> None:
        if now - self._expired_at < EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        self._demands = {
            name: pending
            for name, pending in self._demands.items()
            if name in members and now - pending.received_at < lease_s(len(members))
        }
        self._allocated_at = {name: at for name, at in self._allocated_at.items() if name in members}

    def _max_unused(self) -> int:
        return max(len(self._leased_until), 1)


__all__ = ('AllocatedPermit', 'LimitOwner')
