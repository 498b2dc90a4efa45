"""Supervised leaders, one for each engine fleet of the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.config.check import NotConfiguredError
from sesamepoint.control.leader import Leader
from sesamepoint.supervisor import Child, Supervisor

if TYPE_CHECKING:
    from sesamepoint.control.decisions import Decisions
    from sesamepoint.control.follower import Follower
    from sesamepoint.entry.fleets import Fleets


class Leaders:
    """Runs a leader for each engine fleet; a leader acts only while it holds the fleet's lease."""

    def __init__(self, follower: Follower, fleets: Fleets, decisions: Decisions, policy: str = 'default') -> None:
        """Start without leaders."""
        self._follower = follower
        self._fleets = fleets
        self._decisions = decisions
        self._policy = policy
        self._led: dict[str, trio.CancelScope] = {}

    async def keep(self) -> None:
        """Start and stop leaders as the configuration changes, until cancelled."""
        self._led.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._adapt(nursery)
                await self._follower.changed.wait()

    def _adapt(self, nursery: trio.Nursery) -> None:
        try:
            fleets = self._follower.in_force.configuration['fleets']
        except NotConfiguredError:
            return
        wanted = {name for name, fleet in fleets.items() if fleet['kind'] == 'engine'}
        for removed in set(self._led) - wanted:
            self._led.pop(removed).cancel()
        for name in sorted(wanted - set(self._led)):
            self._led[name] = trio.CancelScope()
            nursery.start_soon(self._run, name, self._led[name])

    async def _run(self, fleet: str, scope: trio.CancelScope) -> None:
        leader = Leader(fleet, self._follower, self._fleets, self._decisions, self._policy)
        with scope:
            await Supervisor(f'leader.{fleet}').run([Child('lease', leader.lease.keep), Child('plan', leader.lead)])


__all__ = ('Leaders',)
