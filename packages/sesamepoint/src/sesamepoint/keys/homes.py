"""The homes that live in one agent, started when first asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.keys.home import KeyHome
from sesamepoint.keys.messages import ClaimReply, ClaimRequest, SettleReply, SettleRequest, Standing

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.platform.service_interfaces import LogService


class KeyHomes:
    """All shards that entries brought to this agent."""

    def __init__(self, log: LogService, deployment: str, writer: str, wall: Callable[[], float]) -> None:
        """Start without homes."""
        self._log = log
        self._deployment = deployment
        self._writer = writer
        self._wall = wall
        self._homes: dict[int, KeyHome] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Hold the nursery in which homes run."""
        self._homes.clear()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Ask the shard's home."""
        home = self._home(req.shard)
        return ClaimReply(Standing.unavailable) if home is None else await home.claim(req)

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Tell the shard's home."""
        home = self._home(req.shard)
        return SettleReply(kept=False) if home is None else await home.settle(req)

    def _home(self, shard: int) -> KeyHome | None:
        if shard not in self._homes and self._nursery is not None:
            stream = f'keys.{self._deployment}.{shard}'
            self._homes[shard] = KeyHome(self._log, stream, f'{self._writer}.{shard}', self._wall)
            self._nursery.start_soon(self._homes[shard].run)
        return self._homes.get(shard)


__all__ = ('KeyHomes',)
