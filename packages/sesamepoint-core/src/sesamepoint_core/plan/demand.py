"""Demand that callers offer, averaged over a short and a long horizon."""

from __future__ import annotations

import math
from typing import NamedTuple

SHORT_HORIZON_RATIO = 1 / 6


class Demand(NamedTuple):
    """Demand of one class of requests, per second.

    The demands of several instances add up to the demand of all.
    Requests that were refused count too. If only served requests counted, the
    planner would see no more than the capacity of the present roles under
    overload, and would never change them.

    Parameters
    ----------
    requests
        Requests per second.
    prompt_tokens, output_tokens
        Tokens per second.
    timeout_sum_s
        Sum of the requests' timeouts, in seconds per second.
    """

    requests: float = 0
    prompt_tokens: float = 0
    output_tokens: float = 0
    timeout_sum_s: float = 0

    def plus(self, other: Demand) -> Demand:
        """Return the sum of both demands."""
        return Demand(*(left + right for left, right in zip(self, other, strict=True)))

    def times(self, factor: float) -> Demand:
        """Return the demand multiplied by ``factor``."""
        return Demand(*(figure * factor for figure in self))

    @property
    def timeout_s(self) -> float:
        """Mean timeout of the requests, in seconds."""
        return self.timeout_sum_s / self.requests if self.requests else 0


class OfferedDemand(NamedTuple):
    """Demand on one fleet: main job and small requests, short and long horizon.

    Parameters
    ----------
    main_short, main_long
        Demand of the main job.
    small_short, small_long
        Demand of small requests.
    instance_count
        Number of instances whose demand is summed up here.
    """

    main_short: Demand = Demand()
    main_long: Demand = Demand()
    small_short: Demand = Demand()
    small_long: Demand = Demand()
    instance_count: float = 0

    def plus(self, other: OfferedDemand) -> OfferedDemand:
        """Return the sum of both demands."""
        return OfferedDemand(
            self.main_short.plus(other.main_short),
            self.main_long.plus(other.main_long),
            self.small_short.plus(other.small_short),
            self.small_long.plus(other.small_long),
            self.instance_count + other.instance_count,
        )

    def times(self, factor: float) -> OfferedDemand:
        """Return the demand multiplied by ``factor``."""
        return OfferedDemand(
            self.main_short.times(factor),
            self.main_long.times(factor),
            self.small_short.times(factor),
            self.small_long.times(factor),
            self.instance_count * factor,
        )


class DecayingDemand:
    """Exponentially decaying average of a demand per second."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._rate = Demand()
        self._updated_at: float = 0

    def add(self, now: float, demand: Demand, horizon_s: float) -> None:
        """Add the demand of one request at time ``now``, in seconds."""
        self._rate = self.read(now, horizon_s).plus(demand.times(1 / horizon_s))
        self._updated_at = now

    def read(self, now: float, horizon_s: float) -> Demand:
        """Return the demand per second at time ``now``, in seconds."""
        return self._rate.times(math.exp((self._updated_at - now) / horizon_s))


class DemandMeter:
    """Meter of the demand that one instance receives for one fleet."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._main = (DecayingDemand(), DecayingDemand())
        self._small = (DecayingDemand(), DecayingDemand())

    def add(self, now: float, demand: Demand, horizon_s: float, *, urgent: bool) -> None:
        """Add the demand of one request, refused or not; urgent ones are of the main job."""
        short, long = self._main if urgent else self._small
        short.add(now, demand, horizon_s * SHORT_HORIZON_RATIO)
        long.add(now, demand, horizon_s)

    def read(self, now: float, horizon_s: float) -> OfferedDemand:
        """Return the demand per second at time ``now``, in seconds."""
        short_s = horizon_s * SHORT_HORIZON_RATIO
        return OfferedDemand(
            self._main[0].read(now, short_s),
            self._main[1].read(now, horizon_s),
            self._small[0].read(now, short_s),
            self._small[1].read(now, horizon_s),
            instance_count=1,
        )


__all__ = ('Demand', 'DemandMeter', 'OfferedDemand')
