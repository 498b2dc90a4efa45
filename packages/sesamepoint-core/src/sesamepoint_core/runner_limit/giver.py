"""Owner of a rate limit: grants permits from the shares that are leased to this instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.runner_limit.lender import NOTHING_WAITS, Wish, lease_s
from sesamepoint_core.runner_limit.pacer import Pacer
from sesamepoint_core.runner_limit.stamp import Stamp

if TYPE_CHECKING:
    from sesamepoint_core.runner_limit.words import Ask


# Least time between two checks for expired demands, in seconds.
FORGET_EVERY_S = 0.1


class Given(NamedTuple):
    """One permit for an instance, and when the instance requested it, on its own clock."""

    to: str
    asked_at: float


class _Want(NamedTuple):
    wish: Wish
    heard_at: float
    asked_at: float


class Giver:
    """Counts the shares leased to this instance, and grants permits to the demands of the smallest rank."""

    def __init__(self, start: int, phase: float) -> None:
        """Start without leases, with the number of this incarnation and the fraction of the first permit."""
        self._start = start
        self._pacer = Pacer(phase)
        self._loans: dict[str, float] = {}
        self._wants: dict[str, _Want] = {}
        self._given_at: dict[str, float] = {}
        self._forgot_at: float = -math.inf

    def stamp(self, now: float) -> Stamp:
        """Return the time on this instance's clock, from which peers date their leases."""
        return Stamp(self._start, now)

    def heard(self, name: str, ask: Ask, instances: int, now: float) -> None:
        """Handle a request of a peer: its lease, its demand and its unused permits.

        The lease counts from the stamp in the request, not from now: an instance
        that was frozen reads old datagrams when it wakes.
        """
        if ask.lends is not None and ask.lends.start == self._start:
            until = min(ask.lends.at, now) + min(ask.lease_s, lease_s(instances))
            self._loans[name] = max(until, self._loans.get(name, -math.inf))
        self.want(name, Wish(ask.wants, ask.rank), ask.asked_at, now)
        for _ in range(min(ask.unused, self._most_unused())):
            self._pacer.put_back(now)

    def want(self, name: str, wish: Wish, asked_at: float, now: float) -> None:
        """Set the demand of an instance, in place of its earlier one."""
        if wish.permits:
            self._wants[name] = _Want(wish, now, asked_at)
        else:
            self._wants.pop(name, None)

    def put_back(self, permits: int, now: float) -> None:
        """Take back permits that this instance did not use itself."""
        for _ in range(permits):
            self._pacer.put_back(now)

    def lent(self, members: frozenset[str], now: float) -> int:
        """Return how many of ``members`` lease their share to this instance."""
        self._loans = {name: until for name, until in self._loans.items() if until > now}
        return sum(name in members for name in self._loans)

    def lends(self, name: str, now: float) -> bool:
        """Return whether the share of the named instance is leased to this one."""
        return self._loans.get(name, -math.inf) > now

    def pace(self, rate: float, keep_s: float, now: float) -> None:
        """Set the rate in permits a second, and how many seconds permits without demand are kept."""
        self._pacer.pace(rate, keep_s, now)

    def give(self, members: frozenset[str], now: float) -> list[Given]:
        """Return the permits that are granted now."""
        self._forget(members, now)
        granted = []
        while self._wants and self._pacer.ready(now):
            self._pacer.take()
            granted.append(self._give_first(now))
        return granted

    def askers(self, name: str, priority: int | None = None) -> int:
        """Return how many instances want permits at least as urgently as requests of ``priority``.

        Without ``priority`` that of the named instance's demand is taken.
        """
        if priority is None:
            own = self._wants.get(name)
            priority = NOTHING_WAITS.priority if own is None else own.wish.rank.priority
        return sum(want.wish.rank.priority <= priority for want in self._wants.values())

    def next_at(self) -> float:
        """Return when the next permit may be granted; infinite without demand."""
        return self._pacer.next_at() if self._wants else math.inf

    def _give_first(self, now: float) -> Given:
        name = min(self._wants, key=self._turn)
        want = self._wants.pop(name)
        self._given_at[name] = now
        remaining = want.wish.permits - 1
        if remaining:
            self._wants[name] = want._replace(wish=want.wish._replace(permits=remaining))
        return Given(name, want.asked_at)

    def _turn(self, name: str) -> tuple[object, float]:
        return self._wants[name].wish.rank, self._given_at.get(name, -math.inf)

    def _forget(self, members: frozenset[str], now: float) -> None:
        if now - self._forgot_at < FORGET_EVERY_S:
            return
        self._forgot_at = now
        self._wants = {
            name: want
            for name, want in self._wants.items()
            if name in members and now - want.heard_at < lease_s(len(members))
        }
        self._given_at = {name: at for name, at in self._given_at.items() if name in members}

    def _most_unused(self) -> int:
        return max(len(self._loans), 1)


__all__ = ('Given', 'Giver')
