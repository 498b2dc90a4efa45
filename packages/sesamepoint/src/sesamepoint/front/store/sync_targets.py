"""The parts of an instance that records of the store update."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sesamepoint.front.dispatch import Dispatcher
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.quarantine.quarantine import Quarantine
    from sesamepoint.front.retry_budget.retry_budgets import RetryBudgets
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.runner_status import RunnerStatuses


class SyncTargets(NamedTuple):
    """The parts of the instance that the records update."""

    dispatcher: Dispatcher
    fleet: Fleet
    runner_statuses: RunnerStatuses
    peers: Peers
    budgets: RetryBudgets
    quarantine: Quarantine


__all__ = ('SyncTargets',)
