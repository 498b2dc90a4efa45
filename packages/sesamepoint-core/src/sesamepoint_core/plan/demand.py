"""Offered work over two horizons, as sums that add up across entries."""

from __future__ import annotations

import math
from typing import NamedTuple

SHORT_SHARE = 1 / 6


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
    """The demand on one fleet: main and small jobs, short and long horizon.

    ``entries`` is how many entries the figures are of.
    """

    main_short: Demand = Demand()
    main_long: Demand = Demand()
    small_short: Demand = Demand()
    small_long: Demand = Demand()
    entries: float = 0

    def plus(self, other: Offered) -> Offered:
        """Return the sum."""
        return Offered(
            self.main_short.plus(other.main_short),
            self.main_long.plus(other.main_long),
            self.small_short.plus(other.small_short),
            self.small_long.plus(other.small_long),
            self.entries + other.entries,
        )

    def times(self, factor: float) -> Offered:
        """Return a multiple."""
        return Offered(
            self.main_short.times(factor),
            self.main_long.times(factor),
            self.small_short.times(factor),
            self.small_long.times(factor),
            self.entries * factor,
        )


class Decaying:
    """A demand per second that fades with a time constant."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._rate = Demand()
        self._at: float = 0

    def add(self, now: float, work: Demand, horizon_s: float) -> None:
        """Count one request's work."""
        self._rate = self.read(now, horizon_s).plus(work.times(1 / horizon_s))
        self._at = now

    def read(self, now: float, horizon_s: float) -> Demand:
        """Return the demand per second as of ``now``."""
        return self._rate.times(math.exp((self._at - now) / horizon_s))


class Meter:
    """What one entry was asked for by the callers of one fleet."""

    def __init__(self) -> None:
        """Start at nothing."""
        self._main = (Decaying(), Decaying())
        self._small = (Decaying(), Decaying())

    def add(self, now: float, work: Demand, horizon_s: float, *, urgent: bool) -> None:
        """Count one request's work, refused or not."""
        short, long = self._main if urgent else self._small
        short.add(now, work, horizon_s * SHORT_SHARE)
        long.add(now, work, horizon_s)

    def read(self, now: float, horizon_s: float) -> Offered:
        """Return the demand per second as of ``now``."""
        short_s = horizon_s * SHORT_SHARE
        return Offered(
            self._main[0].read(now, short_s),
            self._main[1].read(now, horizon_s),
            self._small[0].read(now, short_s),
            self._small[1].read(now, horizon_s),
            entries=1,
        )


__all__ = ('Demand', 'Meter', 'Offered')
