"""Handing out permits for the shares of a limit that are lent to this instance."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.runner_limit.lender import NOTHING_WAITS, Wish, lease_s
from sesamepoint_core.runner_limit.pacer import Pacer
from sesamepoint_core.runner_limit.stamp import Stamp

if TYPE_CHECKING:
    from sesamepoint_core.runner_limit.words import Ask


# Wishes that are not told again are looked through no more often than this, in seconds.
FORGET_EVERY_S = 0.1


class Given(NamedTuple):
    """One permit for an instance, and when it asked for it, on its own clock."""

    to: str
    asked_at: float


class _Want(NamedTuple):
    wish: Wish
    heard_at: float
    asked_at: float


class Giver:
    """Counts what is lent here, and gives permits to whom they are worth most."""

    def __init__(self, start: int, phase: float) -> None:
        """Have nothing lent; ``start`` tells this start of the instance from others."""
        self._start = start
        self._pacer = Pacer(phase)
        self._loans: dict[str, float] = {}
        self._wants: dict[str, _Want] = {}
        self._given_at: dict[str, float] = {}
        self._forgot_at: float = -math.inf

    def stamp(self, now: float) -> Stamp:
        """Return this instance's clock, for others to lend by."""
        return Stamp(self._start, now)

    def heard(self, name: str, ask: Ask, instances: int, now: float) -> None:
        """Take the ask of another instance.

        Its loan counts from the stamp that it names, not from now: an instance
        that was frozen reads old datagrams when it wakes.
        """
        if ask.lends is not None and ask.lends.start == self._start:
            until = min(ask.lends.at, now) + min(ask.lease_s, lease_s(instances))
            self._loans[name] = max(until, self._loans.get(name, -math.inf))
        self.want(name, Wish(ask.wants, ask.rank), ask.asked_at, now)
        for _ in range(min(ask.unused, self._most_unused())):
            self._pacer.put_back(now)

    def want(self, name: str, wish: Wish, asked_at: float, now: float) -> None:
        """Note what an instance wants, in place of what it wanted before."""
        if wish.permits:
            self._wants[name] = _Want(wish, now, asked_at)
        else:
            self._wants.pop(name, None)

    def put_back(self, permits: int, now: float) -> None:
        """Take back permits of this instance itself that it did not use."""
        for _ in range(permits):
            self._pacer.put_back(now)

    def lent(self, members: frozenset[str], now: float) -> int:
        """Return how many of ``members`` lend their share here."""
        self._loans = {name: until for name, until in self._loans.items() if until > now}
        return sum(name in members for name in self._loans)

    def lends(self, name: str, now: float) -> bool:
        """Tell whether the share of ``name`` is lent here."""
        return self._loans.get(name, -math.inf) > now

    def pace(self, rate: float, keep_s: float, now: float) -> None:
        """Hand out ``rate`` permits a second; what nobody wants is kept for ``keep_s``."""
        self._pacer.pace(rate, keep_s, now)

    def give(self, members: frozenset[str], now: float) -> list[Given]:
        """Return the permits that go out now."""
        self._forget(members, now)
        found = []
        while self._wants and self._pacer.ready(now):
            self._pacer.take()
            found.append(self._give_first(now))
        return found

    def askers(self, name: str, priority: int | None = None) -> int:
        """Return how many instances want permits as urgently as ``name``, or more so; or at least by ``priority``."""
        if priority is None:
            own = self._wants.get(name)
            priority = NOTHING_WAITS.priority if own is None else own.wish.rank.priority
        return sum(want.wish.rank.priority <= priority for want in self._wants.values())

    def next_at(self) -> float:
        """Return when there may be a permit to hand out."""
        return self._pacer.next_at() if self._wants else math.inf

    def _give_first(self, now: float) -> Given:
        name = min(self._wants, key=self._turn)
        want = self._wants.pop(name)
        self._given_at[name] = now
        left = want.wish.permits - 1
        if left:
            self._wants[name] = want._replace(wish=want.wish._replace(permits=left))
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
