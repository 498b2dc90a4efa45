"""One instance's share of a rate limit: its lease to the owner of the limit, and the permits granted for it."""

from __future__ import annotations

import math
import zlib
from collections import deque
from itertools import repeat
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.runner_limit.words import Ask, Rank

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.runner_limit.stamp import Stamp
    from sesamepoint_core.runner_limit.words import Grant, Told

# Length of a lease, in seconds.
LEASE_S = 1.5
# How many times a lease is renewed within its length.
RENEWALS = 3
# With more instances than this the length of a lease grows in proportion: of 350 instances
# without demand the owner receives 200 renewals a second.
FEW = 100
# An owner that did not answer for the length of a lease is skipped for so many seconds.
AVOIDED_S = 6.0
# How long a permit is valid after it arrived, in seconds.
PERMIT_S = 1.0
# Least time between two requests when the demand changes, in seconds.
ASK_AGAIN_S = 0.02
# How long the reported number of competing instances is used, in seconds.
RIVALS_S = 2.0
# Rank of a demand for permits in advance, without a waiting request: after all others.
NOTHING_WAITS = Rank(1000, 0)


class Wish(NamedTuple):
    """How many permits an instance wants, and the rank of the first request that waits for one."""

    permits: int
    rank: Rank = NOTHING_WAITS


class _Rivals(NamedTuple):
    instances: int
    at: float


NOTHING = Wish(0)


def lease_s(instances: int) -> float:
    """Return the length of a lease in seconds, after which a demand expires too if it is not sent again."""
    return LEASE_S * max(1, instances / FEW)


class Lender:
    """Leases the share of one instance to one owner at a time, and holds the granted permits.

    The owner counts the lease from its own stamp, on its own clock. The lender counts
    from when it received that stamp, which is later, and uses or leases the share again
    only after its own count: the share is never used twice, however long messages take.
    """

    def __init__(self, name: str, runner: str) -> None:
        """Start without a lease, for the instance ``name`` and the limit of ``runner``."""
        self.target = name
        self._name = name
        self._runner = runner
        self._stamp: Stamp | None = None
        self._stamp_at: float = -math.inf
        self._lent_until: float = -math.inf
        self._asked_at: float = -math.inf
        self._unanswered_since: float | None = None
        self._avoided: dict[str, float] = {}
        # Members in the order in which they are preferred as owner; sorted when they change.
        self._members: Sequence[str] = ()
        self._order: list[str] = []
        self._permits: deque[float] = deque()
        self._unused = 0
        self._told_wish = NOTHING
        # Newest number of instances that compete for permits, by the priority of this instance's demand then.
        self._rivals: dict[int, _Rivals] = {}

    @property
    def gives(self) -> bool:
        """Return whether this instance regards itself as the owner of the limit."""
        return self.target == self._name

    def lent(self, now: float) -> bool:
        """Return whether the owner may still use the share."""
        return now < self._lent_until

    def choose(self, members: Sequence[str], now: float) -> None:
        """Choose the owner: the first of ``members``, in an order that all instances compute alike.

        The owner changes only when the share is not leased.
        """
        if self._unanswered_since is not None and now - self._unanswered_since > lease_s(len(members)):
            self._avoided[self.target] = now + AVOIDED_S
        preferred = self._first(members, now)
        if preferred == self.target or self.lent(now):
            return
        self.target = preferred
        self._stamp = None
        self._stamp_at = -math.inf
        self._asked_at = -math.inf
        self._unanswered_since = None
        self._told_wish = NOTHING

    def ask(self, wish: Wish, told: Told | None, instances: int, now: float) -> Ask | None:
        """Return the next request to the owner, if one is due."""
        if self.gives or now < self.asks_at(wish, instances):
            return None
        lease = lease_s(instances)
        leased_from = self._stamp if self._stamp_at + lease > now else None
        if leased_from is not None:
            self._lent_until = self._stamp_at + lease
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._asked_at = now
        self._told_wish = wish
        return Ask(now, leased_from, lease, wish.permits, wish.rank, self.take_unused(), told)

    def answered(self, sender: str, grant: Grant, instances: int, now: float) -> None:
        """Handle a grant; permits that arrive long after the request are not used."""
        if sender != self.target:
            return
        if self._stamp is None or self._stamp.start != grant.stamp.start or grant.stamp.at > self._stamp.at:
            self._stamp = grant.stamp
            self._stamp_at = now
        self._unanswered_since = None
        if self._told_wish.rank != NOTHING_WAITS:
            self._rivals[self._told_wish.rank.priority] = _Rivals(max(grant.askers, 1), now)
        self._told_wish = self._told_wish._replace(permits=max(self._told_wish.permits - grant.permits, 0))
        if now < grant.asked_at + lease_s(instances) + PERMIT_S:
            self.add(grant.permits, now)

    def rivals(self, priority: int, now: float) -> int:
        """Return how many instances, this one included, want permits at least as urgently as ``priority``.

        One, if this instance lately had no demand that urgent, or had a less urgent one as well:
        less urgent demands yield, so that the next permit mostly goes to an urgent one.
        """
        recent = [known for known, report in self._rivals.items() if now - report.at < RIVALS_S]
        if max(recent, default=math.inf) > priority:
            return 1
        return self._rivals[max(recent)].instances

    def add(self, permits: int, now: float) -> None:
        """Add permits that arrive now."""
        self._permits.extend(repeat(now + PERMIT_S, permits))

    def stock(self, now: float) -> int:
        """Return how many permits are valid; expired ones are counted as unused."""
        while self._permits and self._permits[0] <= now:
            self._permits.popleft()
            self._unused += 1
        return len(self._permits)

    def take(self, now: float) -> bool:
        """Use a permit, if there is one."""
        if not self.stock(now):
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

    def asks_at(self, wish: Wish, instances: int) -> float:
        """Return when the next request to the owner is due."""
        if self.gives:
            return math.inf
        must_renew = self._stamp is not None and self._stamp_at > self._asked_at and self._lent_until <= self._stamp_at
        if must_renew or wish != self._told_wish:
            return self._asked_at + ASK_AGAIN_S
        return self._asked_at + lease_s(instances) / RENEWALS

    def _first(self, members: Sequence[str], now: float) -> str:
        if members is not self._members:
            self._members = members
            self._order = sorted(members, key=self._place)
        responsive = (name for name in self._order if name == self._name or self._avoided.get(name, 0) <= now)
        return next(responsive, self._name)

    def _place(self, name: str) -> int:
        return zlib.crc32(f'{self._runner} {name}'.encode())


__all__ = ('NOTHING', 'NOTHING_WAITS', 'Lender', 'Wish', 'lease_s')
