"""What instances tell each other of the limit of one start of a runner."""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from sesamepoint_core.runner_limit.belief import LimitWord
from sesamepoint_core.runner_limit.stamp import Moment, Stamp

# What peers tell is bounded before it is believed.
MAX_RATE = 1e9
MAX_AGE_S = 1e6
MAX_COUNT = 100_000
MAX_PRIORITY = 999
MAX_SIZE = 1e9
Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)]
Age = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class Told(NamedTuple):
    """A :class:`LimitWord` as others are told it: by its age, since clocks differ."""

    origin: Stamp
    rate: Rate
    age_s: Age
    ended: bool

    @classmethod
    def of(cls, word: LimitWord, now: float) -> Told:
        """Return ``word`` as it is told at ``now``."""
        rate = min(word.rate, MAX_RATE)
        age_s = min(max(now - word.newest_at, 0), MAX_AGE_S)
        return cls(word.origin, rate, age_s, word.ended_at is not None)

    def word(self, now: float) -> LimitWord:
        """Return what this says, by the clock of who hears it at ``now``."""
        at = now - self.age_s
        return LimitWord(self.origin, self.rate, at, at if self.ended else None)


class Rank(NamedTuple):
    """Whose request goes first; least first."""

    priority: Count
    # Larger requests are worth more; 0 for a request that has not come yet.
    minus_size: Annotated[float, msgspec.Meta(ge=-MAX_SIZE, le=0)]

    @classmethod
    def of(cls, priority: int, size: float) -> Rank:
        """Return the rank of a request; what callers and operators give is cut to what peers take."""
        return cls(min(priority, MAX_PRIORITY), -min(size, MAX_SIZE))


class Ask(NamedTuple):
    """An instance lends its share of a limit, and asks for permits.

    Parameters
    ----------
    asked_at
        On its own clock; it comes back with the answer.
    lends
        The newest stamp that it got; its share is lent from there on. None if it lends nothing.
    lease_s
        For how long it is lent, in seconds.
    wants
        How many requests it could send now.
    rank
        That of the first of these.
    unused
        Permits that it gives back.
    told
        The newest word that it knows.
    """

    asked_at: Moment
    lends: Stamp | None
    lease_s: Age
    wants: Count
    rank: Rank
    unused: Count
    told: Told | None


class Grant(NamedTuple):
    """The answer of the instance that hands out what is lent to it.

    Parameters
    ----------
    asked_at
        Of the newest ask; 0 if this answers none.
    stamp
        Its clock.
    permits
        How many requests may be sent.
    askers
        How many instances want permits as urgently as the one that is told, or more so.
    told
        The newest word that it knows.
    """

    asked_at: Moment
    stamp: Stamp
    permits: Count
    askers: Count
    told: Told | None


class Letter(NamedTuple):
    """A word and the instance that it is for."""

    to: str
    word: Ask | Grant


__all__ = ('Ask', 'Grant', 'Letter', 'Rank', 'Told')
