"""Decision whether a request can still be on time at an instance that lags."""

from __future__ import annotations

from typing import NamedTuple

# Share of the target latency that the instance's own lag must take up before it is the cause of a late answer.
MIN_LAG_SHARE = 0.25
# Weight of the newest sample in the mean time of a route's runners.
NEWEST_WEIGHT = 0.1


class LagForecast(NamedTuple):
    """What a request would meet here, in seconds from now on.

    Parameters
    ----------
    target_left_s
        Time left until the answer is late.
    lag_s
        Delay by the processor of this instance.
    link_s
        Delay by what is queued for the link of this instance.
    runner_s
        Time that the runners of the route take.
    """

    target_s: float
    target_left_s: float
    lag_s: float
    link_s: float
    runner_s: float

    @property
    def own_s(self) -> float:
        """Return the delay by this instance."""
        return self.lag_s + self.link_s

    def late_by_own_lag(self) -> bool:
        """Return whether the answer would be on time without this instance's delay, and is late with it."""
        if self.own_s < MIN_LAG_SHARE * self.target_s:
            return False
        return self.runner_s <= self.target_left_s < self.own_s + self.runner_s


class RunnerTimes:
    """Mean time from the first send of a request to its first output, by route."""

    def __init__(self) -> None:
        """Start without samples."""
        self._mean_s: dict[str, float] = {}

    def note(self, route: str, runner_s: float) -> None:
        """Record the time of one request."""
        before = self._mean_s.get(route, runner_s)
        self._mean_s[route] = before + NEWEST_WEIGHT * (runner_s - before)

    def expected_s(self, route: str) -> float:
        """Return the mean time; 0 before the first sample."""
        return self._mean_s.get(route, 0)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget all routes except ``routes``."""
        self._mean_s = {name: mean_s for name, mean_s in self._mean_s.items() if name in routes}


def link_wait_s(own_bytes: int, queued_bytes: int, sends: int, link_bytes_s: float) -> float:
    """Return how much longer a body takes because of others on the link, in seconds.

    Bodies are sent in turns, piece by piece: each of the others delays this one
    by at most its own size.
    """
    return min(queued_bytes, own_bytes * sends) / link_bytes_s


__all__ = ('LagForecast', 'RunnerTimes', 'link_wait_s')
