"""One instance's share of a limit: whom it is lent to, and the permits that come of it."""

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

# A share is lent for this long, in seconds, and lent again three times as often.
LEASE_S = 1.5
RENEWALS = 3
# With more instances than this their leases grow longer in proportion: of 350 the
# one that hands out hears 200 a second of those that want nothing.
FEW = 100
# An instance that gave no answer for the time of a lease is asked nothing for so long, in seconds.
AVOIDED_S = 6.0
# A permit may be used for so long after it came, in seconds.
PERMIT_S = 1.0
# Wishes that have changed are told no more often than this, in seconds.
ASK_AGAIN_S = 0.02
# How many want permits is believed for so long, in seconds.
RIVALS_S = 2.0
# The rank of a permit that is wanted before there is a request for it: after all others.
NOTHING_WAITS = Rank(1000, 0)


class Wish(NamedTuple):
    """How many permits an instance wants, and the rank of the first request that does."""

    permits: int
    rank: Rank = NOTHING_WAITS


class _Rivals(NamedTuple):
    instances: int
    at: float


NOTHING = Wish(0)


def lease_s(instances: int) -> float:
    """Return how long a share is lent for, in seconds; a wish that is not told again lasts as long."""
    return LEASE_S * max(1, instances / FEW)


class Lender:
    """Lends the share of one instance to one instance at a time.

    The share counts there until the lease is over, by the clock of the one it is
    lent to, from the moment of the stamp. The lender counts from when it got that
    stamp, which is later, and uses or lends the share again only then: it is
    never in use twice, however long words are under way.
    """

    def __init__(self, name: str, runner: str) -> None:
        """Lend nothing yet; ``name`` is this instance, and ``runner`` the one with the limit."""
        self.target = name
        self._name = name
        self._runner = runner
        self._stamp: Stamp | None = None
        self._stamp_at: float = -math.inf
        self._lent_until: float = -math.inf
        self._asked_at: float = -math.inf
        self._unanswered_since: float | None = None
        self._avoided: dict[str, float] = {}
        # In the order in which they are asked to hand out; worked out when the members change.
        self._members: Sequence[str] = ()
        self._order: list[str] = []
        self._permits: deque[float] = deque()
        self._unused = 0
        self._told_wish = NOTHING
        # What was told last of those that wanted as urgently as this instance, by its priority then.
        self._rivals: dict[int, _Rivals] = {}

    @property
    def gives(self) -> bool:
        """Tell whether it is this instance that hands out, as far as it knows."""
        return self.target == self._name

    def lent(self, now: float) -> bool:
        """Tell whether the share may be in use elsewhere."""
        return now < self._lent_until

    def choose(self, members: Sequence[str], now: float) -> None:
        """Turn to the first of ``members`` in an order that all know, once the share is with no other one."""
        if self._unanswered_since is not None and now - self._unanswered_since > lease_s(len(members)):
            self._avoided[self.target] = now + AVOIDED_S
        found = self._first(members, now)
        if found == self.target or self.lent(now):
            return
        self.target = found
        self._stamp = None
        self._stamp_at = -math.inf
        self._asked_at = -math.inf
        self._unanswered_since = None
        self._told_wish = NOTHING

    def ask(self, wish: Wish, told: Told | None, instances: int, now: float) -> Ask | None:
        """Return what to tell the one that hands out, if it is time."""
        if self.gives or now < self.asks_at(wish, instances):
            return None
        lease = lease_s(instances)
        lends = self._stamp if self._stamp_at + lease > now else None
        if lends is not None:
            self._lent_until = self._stamp_at + lease
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._asked_at = now
        self._told_wish = wish
        return Ask(now, lends, lease, wish.permits, wish.rank, self.take_unused(), told)

    def answered(self, sender: str, grant: Grant, instances: int, now: float) -> None:
        """Take an answer; permits that come long after they were asked for are not used."""
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
        """Return how many instances, this one included, want permits as urgently as by ``priority``, or more so.

        One, if this instance wanted none as urgently lately, or less urgent ones as well:
        those give way, so that the next permit is mostly an urgent one's.
        """
        fresh = [known for known, told in self._rivals.items() if now - told.at < RIVALS_S]
        if max(fresh, default=math.inf) > priority:
            return 1
        return self._rivals[max(fresh)].instances

    def add(self, permits: int, now: float) -> None:
        """Take permits."""
        self._permits.extend(repeat(now + PERMIT_S, permits))

    def stock(self, now: float) -> int:
        """Return how many requests may be sent; what has lapsed is given back."""
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
        """Return the permits that have lapsed since the last time."""
        unused = self._unused
        self._unused = 0
        return unused

    def drop(self) -> None:
        """Let go of all permits: the runner takes nothing any more."""
        self._permits.clear()

    def asks_at(self, wish: Wish, instances: int) -> float:
        """Return when there is something to ask."""
        if self.gives:
            return math.inf
        must_lend = self._stamp is not None and self._stamp_at > self._asked_at and self._lent_until <= self._stamp_at
        if must_lend or wish != self._told_wish:
            return self._asked_at + ASK_AGAIN_S
        return self._asked_at + lease_s(instances) / RENEWALS

    def _first(self, members: Sequence[str], now: float) -> str:
        if members is not self._members:
            self._members = members
            self._order = sorted(members, key=self._place)
        able = (name for name in self._order if name == self._name or self._avoided.get(name, 0) <= now)
        return next(able, self._name)

    def _place(self, name: str) -> int:
        return zlib.crc32(f'{self._runner} {name}'.encode())


__all__ = ('NOTHING', 'NOTHING_WAITS', 'Lender', 'Wish', 'lease_s')
