"""Background tasks that keep what is known of engines up to date: caches, models, and their exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.front.engine_model.engine_models import EngineModels
from sesamepoint.front.engine_model.model_exchange import ModelExchange
from sesamepoint.front.engines.cache_inventory import CacheInventory
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet


class EngineTracking:
    """The cache inventories and the models of the engines of one instance."""

    def __init__(self, fleet: Fleet, engine_subset: EngineSubset, peers: Peers, rng: Random) -> None:
        """Track the engines of ``fleet`` that this instance uses, together with ``peers``."""
        self.models = EngineModels(fleet, engine_subset)
        self._inventory = CacheInventory(fleet, engine_subset, rng)
        self._exchange = ModelExchange(fleet, engine_subset, peers)

    def children(self) -> list[Child]:
        """Return the background tasks."""
        return [
            Child('inventory', self._inventory.run),
            Child('engine-models', self.models.run),
            Child('model-exchange', self._exchange.run),
        ]

    def watch(self, add_gauge: Callable[[str, str, Callable[[], float]], None]) -> None:
        """Add the gauges on engines."""
        self.models.watch(add_gauge)


__all__ = ('EngineTracking',)
