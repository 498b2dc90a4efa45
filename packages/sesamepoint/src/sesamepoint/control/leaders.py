"""Supervised leaders, one for each engine fleet of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.config.check import NotConfiguredError
from sesamepoint.control.leader import Leader
from sesamepoint.supervisor import Child, Supervisor

if TYPE_CHECKING:
    from sesamepoint.control.decisions import DecisionHistory
    from sesamepoint.control.follower import Follower
    from sesamepoint.entry.fleets import Fleets


class Leaders:
    """Runs a leader for each engine fleet; a leader acts only while it holds the fleet's lease."""

    def __init__(self, follower: Follower, fleets: Fleets, decisions: DecisionHistory, policy: str = 'default') -> None:
        """Start without leaders."""
        self._follower = follower
        self._fleets = fleets
        self._decisions = decisions
        self._policy = policy
        self._scopes: dict[str, trio.CancelScope] = {}

    async def follow_configuration(self) -> None:
        """Start and stop leaders as the configuration changes, until cancelled."""
        self._scopes.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._apply_configuration(nursery)
                await self._follower.changed.wait()

    def _apply_configuration(self, nursery: trio.Nursery) -> None:
        try:
            fleets = self._follower.active_configuration.configuration['fleets']
        except NotConfiguredError:
            return
        wanted = {name for name, fleet in fleets.items() if fleet['kind'] == 'engine'}
        for removed in set(self._scopes) - wanted:
            self._scopes.pop(removed).cancel()
        for name in sorted(wanted - set(self._scopes)):
            self._scopes[name] = trio.CancelScope()
            nursery.start_soon(self._run_leader, name, self._scopes[name])

    async def _run_leader(self, fleet: str, scope: trio.CancelScope) -> None:
        leader = Leader(fleet, self._follower, self._fleets, self._decisions, self._policy)
        with scope:
            await Supervisor(f'leader.{fleet}').run([Child('lease', leader.lease.keep), Child('plan', leader.run)])


__all__ = ('Leaders',)
