"""Shard coordinators of one agent, started at the first call for their shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.keys.messages import ClaimReply, ClaimRequest, KeyStatus, SettleReply, SettleRequest
from sesamepoint.keys.shard_coordinator import ShardCoordinator

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.platform.service_interfaces import LogService


class ShardCoordinators:
    """Coordinators of the shards for which instances chose this agent."""

    def __init__(self, log: LogService, deployment: str, writer: str, wall: Callable[[], float]) -> None:
        """Start without coordinators."""
        self._log = log
        self._deployment = deployment
        self._writer = writer
        self._wall = wall
        self._coordinators: dict[int, ShardCoordinator] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the coordinators until cancelled."""
        self._coordinators.clear()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Pass a claim to the shard's coordinator."""
        coordinator = self._coordinator(req.shard)
        return ClaimReply(KeyStatus.unavailable) if coordinator is None else await coordinator.claim(req)

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Pass the outcome of a run to the shard's coordinator."""
        coordinator = self._coordinator(req.shard)
        return SettleReply(stored=False) if coordinator is None else await coordinator.settle(req)

    def _coordinator(self, shard: int) -> ShardCoordinator | None:
        if shard not in self._coordinators and self._nursery is not None:
            stream = f'keys.{self._deployment}.{shard}'
            self._coordinators[shard] = ShardCoordinator(self._log, stream, f'{self._writer}.{shard}', self._wall)
            self._nursery.start_soon(self._coordinators[shard].run)
        return self._coordinators.get(shard)


__all__ = ('ShardCoordinators',)
