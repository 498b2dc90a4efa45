"""One instance's share of a rate limit: its lease to the owner of the limit, and the permits granted for it."""

from __future__ import annotations

import math
import zlib
from collections import deque
from itertools import repeat
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.runner_limit.messages import PermitRequest, Rank

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.runner_limit.messages import LimitUpdate, PermitGrant
    from sesamepoint_core.runner_limit.stamp import Stamp

# Length of a lease, in seconds.
LEASE_S = 1.5
# How many times a lease is renewed within its length.
RENEWALS = 3
# With more instances than this the length of a lease grows in proportion: of 350 instances
# without demand the owner receives 200 renewals a second.
LEASE_SCALE_INSTANCES = 100
# An owner that did not answer for the length of a lease is skipped for so many seconds.
UNRESPONSIVE_S = 6.0
# How long a permit is valid after it arrived, in seconds.
PERMIT_TTL_S = 1.0
# Least time between two requests when the demand changes, in seconds.
MIN_REQUEST_INTERVAL_S = 0.02
# How long the reported number of competing instances is used, in seconds.
CONTENTION_TTL_S = 2.0
# After this many seconds it fades, since it may be that of a short burst: an instance that refuses requests
# for it demands no permits and learns no newer number. A number of 3 refused urgent requests for 2 s.
CONTENTION_HOLD_S = 1.0
# Rank of a demand for permits in advance, without a waiting request: after all others.
IDLE_RANK = Rank(1000, 0)


class Demand(NamedTuple):
    """How many permits an instance wants, and the rank of the first request that waits for one."""

    permits: int
    rank: Rank = IDLE_RANK


class _Contention(NamedTuple):
    instances: int
    at: float


NO_DEMAND = Demand(0)


def lease_s(instance_count: int) -> float:
    """Return the length of a lease in seconds, after which a demand expires too if it is not sent again."""
    return LEASE_S * max(1, instance_count / LEASE_SCALE_INSTANCES)


class ShareLender:
    """Leases the share of one instance to one owner at a time, and holds the granted permits.

    The owner counts the lease from its own stamp, on its own clock. The lender counts
    from when it received that stamp, which is later, and uses or leases the share again
    only after its own count: the share is never used twice, however long messages take.
    """

    def __init__(self, name: str, runner: str) -> None:
        """Start without a lease, for the instance ``name`` and the limit of ``runner``."""
        self.owner = name
        self._name = name
        self._runner = runner
        self._stamp: Stamp | None = None
        self._stamp_at: float = -math.inf
        self._leased_until: float = -math.inf
        self._requested_at: float = -math.inf
        self._unanswered_since: float | None = None
        self._skipped_until: dict[str, float] = {}
        # Members in the order in which they are preferred as owner; sorted when they change.
        self._members: Sequence[str] = ()
        self._preference: list[str] = []
        self._permits: deque[float] = deque()
        self._unused = 0
        self._sent_demand = NO_DEMAND
        # Newest number of instances that compete for permits, by the priority of this instance's demand then.
        self._contention: dict[int, _Contention] = {}

    @property
    def is_owner(self) -> bool:
        """Return whether this instance regards itself as the owner of the limit."""
        return self.owner == self._name

    def is_leased(self, now: float) -> bool:
        """Return whether the owner may still use the share."""
        return now < self._leased_until

    def choose_owner(self, members: Sequence[str], now: float) -> None:
        """Choose the owner: the first of ``members``, in an order that all instances compute alike.

        The owner changes only when the share is not leased.
        """
        if self._unanswered_since is not None and now - self._unanswered_since > lease_s(len(members)):
            self._skipped_until[self.owner] = now + UNRESPONSIVE_S
        preferred = self._preferred_owner(members, now)
        if preferred == self.owner or self.is_leased(now):
            return
        self.owner = preferred
        self._stamp = None
        self._stamp_at = -math.inf
        self._requested_at = -math.inf
        self._unanswered_since = None
        self._sent_demand = NO_DEMAND

    def next_request(
        self, demand: Demand, limit: LimitUpdate | None, instance_count: int, now: float
    ) -> PermitRequest | None:
        """Return the next request to the owner, if one is due."""
        if self.is_owner or now < self.next_request_at(demand, instance_count):
            return None
        lease = lease_s(instance_count)
        leased_from = self._stamp if self._stamp_at + lease > now else None
        if leased_from is not None:
            self._leased_until = self._stamp_at + lease
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._requested_at = now
        self._sent_demand = demand
        return PermitRequest(now, leased_from, lease, demand.permits, demand.rank, self.take_unused(), limit)

    def on_grant(self, sender: str, grant: PermitGrant, instance_count: int, now: float) -> None:
        """Handle a grant; permits that arrive long after the request are not used."""
        if sender != self.owner:
            return
        if self._stamp is None or self._stamp.incarnation != grant.stamp.incarnation or grant.stamp.at > self._stamp.at:
            self._stamp = grant.stamp
            self._stamp_at = now
        self._unanswered_since = None
        # A grant for an earlier demand counts the instances that compete at the priority of that one.
        if self._sent_demand.rank != IDLE_RANK and grant.requested_at == self._requested_at:
            self._contention[self._sent_demand.rank.priority] = _Contention(max(grant.contenders, 1), now)
        self._sent_demand = self._sent_demand._replace(permits=max(self._sent_demand.permits - grant.permits, 0))
        if now < grant.requested_at + lease_s(instance_count) + PERMIT_TTL_S:
            self.add(grant.permits, now)

    def contenders(self, priority: int, now: float) -> float:
        """Return how many instances, this one included, want permits at least as urgently as ``priority``.

        One, if this instance lately had no demand that urgent, or had a less urgent one as well:
        less urgent demands yield, so that the next permit mostly goes to an urgent one.
        """
        recent = [level for level, report in self._contention.items() if now - report.at < CONTENTION_TTL_S]
        if max(recent, default=math.inf) > priority:
            return 1
        report = self._contention[max(recent)]
        left = min((CONTENTION_TTL_S - now + report.at) / (CONTENTION_TTL_S - CONTENTION_HOLD_S), 1)
        return 1 + (report.instances - 1) * left

    def add(self, permits: int, now: float) -> None:
        """Add permits that arrive now."""
        self._permits.extend(repeat(now + PERMIT_TTL_S, permits))

    def available(self, now: float) -> int:
        """Return how many permits are valid; expired ones are counted as unused."""
        while self._permits and self._permits[0] <= now:
            self._permits.popleft()
            self._unused += 1
        return len(self._permits)

    def take(self, now: float) -> bool:
        """Use a permit, if there is one."""
        if not self.available(now):
            return False
        self._permits.popleft()
        return True

    def take_unused(self) -> int:
        """Return the number of permits that have expired since the last call, and reset it."""
        unused = self._unused
        self._unused = 0
        return unused

    def drop(self) -> None:
        """Drop all permits, since the limit has been lowered."""
        self._permits.clear()

    def next_request_at(self, demand: Demand, instance_count: int) -> float:
        """Return when the next request to the owner is due."""
        if self.is_owner:
            return math.inf
        must_renew = (
            self._stamp is not None and self._stamp_at > self._requested_at and self._leased_until <= self._stamp_at
        )
        if must_renew or demand != self._sent_demand:
            return self._requested_at + MIN_REQUEST_INTERVAL_S
        return self._requested_at + lease_s(instance_count) / RENEWALS

    def _preferred_owner(self, members: Sequence[str], now: float) -> str:
        if members is not self._members:
            self._members = members
            self._preference = sorted(members, key=self._hash)
        responsive = (
            name for name in self._preference if name == self._name or self._skipped_until.get(name, 0) <= now
        )
        return next(responsive, self._name)

    def _hash(self, instance: str) -> int:
        return zlib.crc32(f'{self._runner} {instance}'.encode())


__all__ = ('IDLE_RANK', 'NO_DEMAND', 'Demand', 'ShareLender', 'lease_s')
