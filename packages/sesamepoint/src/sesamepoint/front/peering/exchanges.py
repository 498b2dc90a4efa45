"""Background exchanges of messages with peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.fair_share.work_exchange import WorkExchange
from sesamepoint.front.runners.limit_exchange import LimitExchange
from sesamepoint.front.streams.origin_exchange import OriginExchange
from sesamepoint.front.streams.take_ups import TakeUps
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from sesamepoint.front.dispatch_components import DispatchComponents
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet


class Exchanges(NamedTuple):
    """The exchanges of one front."""

    runner_limits: LimitExchange
    account_work: WorkExchange
    take_ups: TakeUps

    @classmethod
    def build(
        cls, components: DispatchComponents, fleet: Fleet, engine_subset: EngineSubset, peers: Peers
    ) -> Exchanges:
        """Build the exchanges, and register their handlers with ``peers``."""
        return cls(
            LimitExchange(components, fleet, engine_subset, peers),
            WorkExchange(components.account_shares, peers),
            TakeUps(OriginExchange(fleet, peers)),
        )

    def children(self) -> list[Child]:
        """Return the background tasks."""
        return [
            Child('runner-limits', self.runner_limits.run),
            Child('account-work', self.account_work.run),
        ]


__all__ = ('Exchanges',)
