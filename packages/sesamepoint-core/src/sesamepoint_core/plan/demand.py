"""Offered work over two horizons, as sums that add up across entries."""

from __future__ import annotations

import math
from typing import NamedTuple

SHORT_S = 20.0
LONG_S = 120.0


class Demand(NamedTuple):
    """Work of one class that callers asked for, per second.

    Sums of several entries' demands are the demand of all. What was refused
    counts as well: fed by what got through, a planner under overload would
    see no more than the present roles can do, and leave them so.
    """

    requests: float = 0
    prompt_tokens: float = 0
    output_tokens: float = 0
    timeouts_s: float = 0

    def plus(self, other: Demand) -> Demand:
        """Return the sum."""
        return Demand(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))

    def times(self, factor: float) -> Demand:
        """Return a multiple."""
        return Demand(*(figure * factor for figure in self))

    @property
    def timeout_s(self) -> float:
        """Mean seconds that callers give."""
        return self.timeouts_s / self.requests if self.requests else 0


class Offered(NamedTuple):
    """The demand on one fleet: main and small jobs, short and long horizon."""

    main_short: Demand = Demand()
    main_long: Demand = Demand()
    small_short: Demand = Demand()
    small_long: Demand = Demand()

    def plus(self, other: Offered) -> Offered:
        """Return the sum."""
        return Offered(*(mine.plus(theirs) for mine, theirs in zip(self, other, strict=True)))

    def times(self, factor: float) -> Offered:
        """Return a multiple."""
        return Offered(*(demand.times(factor) for demand in self))


class Decaying:
    """A demand that fades with a time constant."""

    def __init__(self, horizon_s: float) -> None:
        """Start at nothing."""
        self._horizon_s = horizon_s
        self._sum = Demand()
        self._at: float = 0

    def add(self, now: float, work: Demand) -> None:
        """Count one request's work."""
        self._sum = self.read(now).plus(work.times(1 / self._horizon_s))
        self._at = now

    def read(self, now: float) -> Demand:
        """Return the demand per second as of ``now``."""
        return self._sum.times(math.exp((self._at - now) / self._horizon_s))


class Meter:
    """What one entry was asked for by the callers of one fleet."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._main = (Decaying(SHORT_S), Decaying(LONG_S))
        self._small = (Decaying(SHORT_S), Decaying(LONG_S))

    def add(self, now: float, work: Demand, *, urgent: bool) -> None:
        """Count one request's work, refused or not."""
        for sums in self._main if urgent else self._small:
            sums.add(now, work)

    def read(self, now: float) -> Offered:
        """Return the demand per second as of ``now``."""
        return Offered(*(sums.read(now) for sums in (*self._main, *self._small)))


__all__ = ('Demand', 'Meter', 'Offered')
