"""The parts of an instance that share the health of runners with its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.front.fleet_health.health_exchange import HealthExchange
from sesamepoint.front.fleet_health.probing import Probing
from sesamepoint.front.fleet_health.returned_runners import ReturnedRunners
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.runners.eligibility import EligibleRunners
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet


class SharedHealth:
    """Exchange of runner health with the peers, and probes on behalf of all."""

    def __init__(
        self, fleet: Fleet, subset: EngineSubset, peers: Peers, eligible: EligibleRunners, heartbeat_s: float
    ) -> None:
        """Share the health of the runners of ``fleet``, and decide on trials for ``eligible``.

        Parameters
        ----------
        heartbeat_s
            Interval at which runners renew their registrations, in seconds.
        """
        self._returned = ReturnedRunners(fleet, subset, heartbeat_s)
        self._probing = Probing(fleet, subset, peers)
        self._probing.connect(eligible)
        self._exchange = HealthExchange(fleet, peers, self._probing)

    def reconfigure(self, heartbeat_s: float) -> None:
        """Apply another interval at which runners renew their registrations, in seconds."""
        self._returned.set_heartbeat(heartbeat_s)

    def children(self) -> list[Child]:
        """Return the background tasks."""
        return [
            Child('runner-health', self._exchange.run),
            Child('runner-probes', self._probing.run),
            Child('returned-runners', self._returned.run),
        ]

    def count_ejected(self) -> int:
        """Return how many runners this instance has ejected."""
        return self._probing.count_ejected()


__all__ = ('SharedHealth',)
