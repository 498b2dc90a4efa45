"""Age of what this instance believes from the store, and what it does once that is too old."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint import events
from sesamepoint.platform.wire_names import OPERATOR_TOPIC, RUNNER_TOPIC

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.front.store.topic_watch import TopicWatch

# How often ages are compared with their bounds, in seconds.
CHECK_S = 0.5


class AgeBounds(NamedTuple):
    """Ages in seconds beyond which the configuration and the list of runners count as out of date."""

    configuration_s: float
    runners_s: float

    @classmethod
    def from_config(cls, cfg: FrontSettings) -> AgeBounds:
        """Return the bounds by the times within which changes must take effect."""
        return cls(cfg.config_s, cfg.drain_s)


class Freshness:
    """Keeps the age of each topic, so that an unchanged topic differs from one of which nothing is received.

    An instance whose sources are silent goes on serving by its last state. It logs that, and compares versions with
    its peers, which may still read the store.
    """

    def __init__(self, watches: Mapping[str, TopicWatch], bounds: AgeBounds, ask_peers: Callable[[], None]) -> None:
        """Watch the ages of ``watches``; ``ask_peers`` compares the configuration with a peer."""
        self.bounds = bounds
        self._watches = watches
        self._ask_peers = ask_peers
        self._out_of_date: set[str] = set()

    def age_s(self, topic: str) -> float:
        """Return how long ago a topic was known to be current, in seconds; infinite if it never was."""
        watch = self._watches.get(topic)
        return float('inf') if watch is None else trio.current_time() - watch.current_at

    async def run(self) -> None:
        """Compare the ages with their bounds until cancelled."""
        while True:
            await trio.sleep(CHECK_S)
            self._check(OPERATOR_TOPIC, self.bounds.configuration_s)
            self._check(RUNNER_TOPIC, self.bounds.runners_s)
            if OPERATOR_TOPIC in self._out_of_date:
                self._ask_peers()

    def _check(self, topic: str, bound_s: float) -> None:
        age_s = self.age_s(topic)
        if age_s > bound_s and topic not in self._out_of_date:
            self._out_of_date.add(topic)
            events.log_event(events.STATE_OUT_OF_DATE, topic=topic, age_s=round(age_s, 1), bound_s=bound_s)
        elif age_s <= bound_s and topic in self._out_of_date:
            self._out_of_date.discard(topic)
            events.log_event(events.STATE_CURRENT, topic=topic, age_s=round(age_s, 1))


__all__ = ('AgeBounds', 'Freshness')
