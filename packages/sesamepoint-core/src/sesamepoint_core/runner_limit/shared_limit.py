"""Rate limit of one incarnation of a runner, shared by all instances.

Each instance has an equal share of the limit, and leases it for a short time to the
owner of the limit: the first instance in an order that all compute alike. The owner
grants permits, one for each request, at the rate of all shares leased to it, to the
most urgent demands first. An instance that can't reach the others uses its own share
and no more. So the shares in use never add up to more than the limit, even if
instances are disconnected, frozen or gone.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sesamepoint_core.runner_limit.known_limit import KnownLimit
from sesamepoint_core.runner_limit.limit_owner import LimitOwner
from sesamepoint_core.runner_limit.messages import AddressedMessage, LimitUpdate, PermitGrant, PermitRequest
from sesamepoint_core.runner_limit.share_lender import IDLE_RANK, NO_DEMAND, Demand, ShareLender, lease_s

if TYPE_CHECKING:
    from collections.abc import Iterable

# How long an instance does not use its own share after its start, in seconds: its peers
# do not know it yet, and divide the limit without it.
STARTUP_HOLD_S = 4.0
# Maximum age of unused permits, in seconds, while the newest report of the limit is recent.
PERMIT_KEEP_S = 0.5
# A report of the limit counts as recent for this long, in seconds.
RECENT_REPORT_S = 1.0
# Unused permits are kept in any case for as long as the whole limit takes to issue this many.
MIN_KEPT_PERMITS = 2.0
# A limit that falls below this share of the former one is announced at once, and permits
# of the former one are dropped.
LOWERED_RATIO = 0.5
# Interval at which instances that do not lease their share are sent the limit again, as a
# share of a lease.
RESEND_LEASE_SHARE = 0.5


class SharedLimit:
    """One instance's part in a shared limit; it does no I/O."""

    def __init__(self, name: str, runner: str, incarnation: int, share_usable_from: float, phase: float) -> None:
        """Start without a limit and without peers.

        Parameters
        ----------
        name
            Of this instance.
        runner
            Name of the runner with the limit.
        incarnation
            Number of this incarnation of the instance; no other incarnation has it.
        share_usable_from
            Time from which this instance may use its own share.
        phase
            Random fraction of the first permit that is already issued, from 0 to 1.
        """
        self.known = KnownLimit(incarnation)
        self._name = name
        self._members: tuple[str, ...] = (name,)
        self._member_set = frozenset(self._members)
        self._share = ShareLender(name, runner)
        self._owner = LimitOwner(incarnation, phase)
        self._demand = NO_DEMAND
        self._share_usable_from = share_usable_from
        self._announced_at: float = -math.inf
        self._applied_limit: float = 0
        # The highest limit that peers may apply; infinite if they may know of none.
        self._announced_limit: float = math.inf
        self._newcomers: set[str] = set()
        self._outgoing: list[AddressedMessage] = []

    def update_members(self, others: Iterable[str]) -> None:
        """Set the peers that share the limit: all other instances that may send to the runner."""
        members = (self._name, *others)
        if members == self._members:
            return
        newcomers = frozenset(members) - self._member_set
        self._members = members
        self._member_set = frozenset(members)
        if self._share.is_owner and self.known.reported is not None:
            self._newcomers.update(newcomers)

    def update_demand(self, demand: Demand) -> None:
        """Set the demand of this instance, in place of its earlier one."""
        self._demand = demand

    def available(self, now: float) -> int:
        """Return how many requests may be sent now."""
        return self._share.available(now)

    def take(self, now: float) -> bool:
        """Use a permit, if there is one."""
        return self._share.take(now)

    def put_back(self, now: float) -> None:
        """Put back a permit that was taken and not used."""
        self._share.add(1, now)

    def expected_rate(self, priority: int, now: float) -> float:
        """Return the permits a second that this instance can expect for requests of ``priority``."""
        rate = self.known.allowed_rate(now) or 0
        if self._share.is_leased(now):
            return rate / self._share.contenders(priority, now)
        return rate * self._shares(now) / len(self._members) / self._owner.contenders(self._name, priority)

    def on_message(self, sender: str, message: PermitRequest | PermitGrant, now: float) -> bool:
        """Handle a message of a peer; return whether the known limit has changed."""
        changed = message.limit is not None and self.known.on_peer_update(message.limit.to_reported(now))
        if isinstance(message, PermitRequest):
            self._owner.on_request(sender, message, len(self._members), now)
            # Always answered: the sender dates its next lease by the stamp in the answer.
            grant = self._grant(sender, 0, now, message.rank.priority, message.requested_at)
            self._outgoing.append(AddressedMessage(sender, grant))
        else:
            self._share.on_grant(sender, message, len(self._members), now)
        return changed

    def step(self, now: float) -> list[AddressedMessage]:
        """Update the owner, the rate and the permits; return the messages to send now."""
        self._share.choose_owner(self._members, now)
        self._update_rate(now)
        self._allocate(now)
        request = self._share.next_request(self._demand, self._limit_update(now), len(self._members), now)
        if request is not None:
            self._outgoing.append(AddressedMessage(self._share.owner, request))
        self._announce(now)
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing

    def next_at(self, now: float) -> float:
        """Return when :meth:`step` is due if no message arrives and nothing changes before."""
        request_at = self._share.next_request_at(self._demand, len(self._members))
        return max(min(self._owner.next_at(), request_at, self._next_announcement_at()), now)

    def _update_rate(self, now: float) -> None:
        limit = self.known.allowed_rate(now) or 0
        self._owner.update_rate(limit * self._shares(now) / len(self._members), self._max_age_s(limit, now), now)
        if limit < LOWERED_RATIO * self._applied_limit:
            self._share.drop()
        self._applied_limit = limit

    def _max_age_s(self, limit: float, now: float) -> float:
        """Return how many seconds permits are kept: less if the newest report is old, as the limit may have fallen."""
        reported = self.known.reported
        if not limit or reported is None:
            return 0
        recent = now - reported.changed_at < RECENT_REPORT_S
        return max(PERMIT_KEEP_S if recent else 0, MIN_KEPT_PERMITS / limit)

    def _shares(self, now: float) -> int:
        own = now >= self._share_usable_from and not self._share.is_leased(now)
        return self._owner.leased_shares(self._member_set, now) + own

    def _allocate(self, now: float) -> None:
        self._share.available(now)
        if self._share.is_leased(now):
            self._owner.update_demand(self._name, NO_DEMAND, now, now)
        else:
            self._owner.put_back(self._share.take_unused(), now)
            self._owner.update_demand(self._name, self._demand, now, now)
        for allocated in self._owner.allocate(self._member_set, now):
            if allocated.instance == self._name:
                self._share.add(1, now)
                self._demand = self._demand._replace(permits=self._demand.permits - 1)
            else:
                grant = self._grant(allocated.instance, 1, now, allocated.priority, allocated.requested_at)
                self._outgoing.append(AddressedMessage(allocated.instance, grant))

    def _announce(self, now: float) -> None:
        """Announce a limit that begins, ends or falls to all peers.

        New peers get it at once. Peers that do not lease their share get it repeatedly: an
        announcement may have been lost, and an instance that knows of no limit requests nothing.
        """
        if not self._share.is_owner or self.known.reported is None:
            return
        reported = self.known.reported
        limit = reported.rate if reported.ended_at is None else math.inf
        changed = limit < LOWERED_RATIO * self._announced_limit or (limit == math.inf) is not (
            self._announced_limit == math.inf
        )
        unaware = self._newcomers
        self._newcomers = set()
        if changed or now >= self._next_announcement_at():
            unaware = {name for name in self._members[1:] if changed or not self._owner.has_lease(name, now)}
            self._announced_at = now
        if changed or limit > self._announced_limit:
            self._announced_limit = limit
        self._outgoing.extend(
            AddressedMessage(name, self._grant(name, 0, now, IDLE_RANK.priority)) for name in sorted(unaware)
        )

    def _next_announcement_at(self) -> float:
        return (
            self._announced_at + RESEND_LEASE_SHARE * lease_s(len(self._members)) if self._share.is_owner else math.inf
        )

    def _grant(self, instance: str, permits: int, now: float, priority: int, requested_at: float = 0) -> PermitGrant:
        """Return a grant for a demand of ``priority``, which the owner no longer knows once it is met."""
        contenders = self._owner.contenders(instance, priority)
        return PermitGrant(requested_at, self._owner.stamp(now), permits, contenders, self._limit_update(now))

    def _limit_update(self, now: float) -> LimitUpdate | None:
        return LimitUpdate.of(self.known.reported, now) if self.known.reported else None


__all__ = ('STARTUP_HOLD_S', 'Demand', 'SharedLimit')
