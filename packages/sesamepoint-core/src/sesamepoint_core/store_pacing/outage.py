"""Detection of an outage of the store, and the turns at probing it."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.store_pacing.suppression import draw_suppressing_share

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.store_pacing.backoff import RetryLimits

# The store counts as down once this many instances have failed and none was
# answered meanwhile. A store that refuses a third of the instances is seen as down
# after one takeover in 27 only, and until the next probe that is answered.
CONFIRMING_INSTANCES = 3
# An answer is evidence against an outage for this long, in seconds. While the store
# serves any instance, its updates reach all others about every second.
FRESH_S = 1.0
# Share of the interval between probes that is the same for all instances.
FIXED_SHARE = 0.4
# Announcements of one peer delay the probe of an instance at most this often until that
# instance has called the store. Instances that the store refuses and that get no updates of peers
# announce probes all the while, and would keep the others from the store for good.
MAX_DELAYS_OF_PEER = 2
# Beyond this many doublings the interval has reached its limit.
MAX_DOUBLINGS = 16


class OutageState(NamedTuple):
    """Inputs of the decision whether the store is down, for the log."""

    failed_instances: int
    needed_instances: int
    probes: int


class StoreOutage:
    """What one instance knows of an outage of the store; does no input or output.

    An answer to any instance ends the outage. While it lasts, instances that hold
    a state leave the calls to one instance at a time: each announced probe delays
    the probes of all others by a random time, so that the next instance to probe
    is another one, which the store may not refuse.

    Parameters
    ----------
    intervals
        First and longest interval between two probes of all instances together.
    """

    def __init__(self, name: str, intervals: RetryLimits, rng: Random) -> None:
        """Start with a store that is not known to fail, at the instance ``name``."""
        self.probe_at: float = 0
        self._name = name
        self.intervals = intervals
        self._rng = rng
        self._failed: set[str] = set()
        self._delays: Counter[str] = Counter()
        self._answered_at = -math.inf
        self._probes = 0

    def reset(self) -> None:
        """Forget all failures: the store has another address."""
        self.probe_at = 0
        self._failed.clear()
        self._delays.clear()
        self._answered_at = -math.inf
        self._probes = 0

    def is_down(self, instances: int) -> bool:
        """Return whether the store counts as down for all of the ``instances``."""
        return len(self._failed) >= min(CONFIRMING_INSTANCES, max(instances, 1))

    def state(self, instances: int) -> OutageState:
        """Return the inputs of ``is_down``."""
        return OutageState(len(self._failed), min(CONFIRMING_INSTANCES, max(instances, 1)), self._probes)

    def note_answered(self, now: float) -> None:
        """Note that the store answered this instance, which may call it again at once."""
        self.note_peer_answered(now)
        self._delays.clear()
        self.probe_at = 0

    def note_peer_answered(self, now: float) -> None:
        """Note that the store answered a peer.

        The time of the next probe stays: the peer reads all topics and sends the
        changes, and calls of all others at the same moment would be in vain.
        """
        self._answered_at = now
        self._failed.clear()
        self._probes = 0

    def answered_since(self, began_at: float) -> bool:
        """Return whether the store has answered any instance since shortly before ``began_at``.

        Such an answer shows that a call that failed meanwhile is no sign of an
        outage: the store refuses this instance, or it is slow for one topic.
        """
        return began_at < self._answered_at + FRESH_S

    def note_failed(self, began_at: float, now: float, instances: int) -> bool:
        """Note that a call of this instance failed; return whether to announce it."""
        if self.answered_since(began_at):
            return False
        was_down = self.is_down(instances)
        self._failed.add(self._name)
        self._delays.clear()
        if was_down:
            self.probe_at = max(self.probe_at, now + self._interval_s(instances))
            return False
        self._delay_probes(now, instances)
        return True

    def note_announced(self, peer: str, now: float, instances: int) -> None:
        """Note that ``peer`` announced a failed call or a probe."""
        self._failed.add(peer)
        if not self.is_down(instances) or self._delays[peer] >= MAX_DELAYS_OF_PEER:
            return
        self._delays[peer] += 1
        self._delay_probes(now, instances)

    def begin_probe(self, now: float, instances: int) -> None:
        """Note that this instance is about to probe the store for all, and announces that."""
        self._delays.clear()
        self._delay_probes(now, instances)

    def _delay_probes(self, now: float, instances: int) -> None:
        if self.is_down(instances):
            self.probe_at = now + self._interval_s(instances)
            self._probes += 1

    def _interval_s(self, instances: int) -> float:
        doublings = min(self._probes, MAX_DOUBLINGS)
        longest_s = min(math.ldexp(self.intervals.first_s, doublings), self.intervals.longest_s)
        return longest_s * (FIXED_SHARE + (1 - FIXED_SHARE) * draw_suppressing_share(instances, self._rng))


__all__ = ('CONFIRMING_INSTANCES', 'OutageState', 'StoreOutage')
