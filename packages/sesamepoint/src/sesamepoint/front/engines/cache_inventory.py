"""Inventory of the KV cache of each engine, taken when it joins the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.runner import Stage
from sesamepoint import events
from sesamepoint.front.runners.send_check import SendBlockedError, SendKind, SendPurpose
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.engine_cache_calls import list_cached_blocks

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member

# Calls are delayed by a random time of up to this many seconds: each takes some of the
# engine's time, and instances may start together.
MAX_JITTER_S = 0.2
# Current engines answer in some tens of milliseconds. A later answer is of little use,
# since the cache model also learns from the requests that are sent.
CALL_TIMEOUT_S = 1.0
PURPOSE = SendPurpose(SendKind.inventory)


class CacheInventory:
    """Fills the cache models of engines that join the fleet.

    A restarted instance does not know which prefix blocks engines have cached, so
    for seconds it sends prompts to engines that have to prefill these blocks again:
    after a power loss of all instances long prompts had a median of 10,000 uncached
    tokens, and 6,000 before it.
    """

    def __init__(self, fleet: Fleet, subset: EngineSubset, rng: Random) -> None:
        """Query the engines that join ``fleet`` and are in this instance's subset."""
        self._fleet = fleet
        self._subset = subset
        self._rng = rng

    async def run(self) -> None:
        """Query each engine that joins, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                member = await self._fleet.next_joined()
                # In a fleet of thousands most engines are used by other instances only.
                if member.runner.stage is not Stage.plain and self._subset.contains(member.runner):
                    nursery.start_soon(self._query, member)

    async def _query(self, member: Member) -> None:
        await trio.sleep(self._rng.uniform(0, MAX_JITTER_S))
        runner = member.runner
        cause = 'no answer in time'
        condition = member.blocking_condition(PURPOSE)
        if condition:
            return events.log_event(events.INVENTORY_FAILED, runner=runner.key, cause=condition)
        with trio.move_on_after(CALL_TIMEOUT_S):
            try:
                await self._load(member)
            except (ConnectFailedError, ConnBrokenError, SendBlockedError) as exc:
                cause = str(exc)
            else:
                return None
        return events.log_event(events.INVENTORY_FAILED, runner=runner.key, cause=cause)

    async def _load(self, member: Member) -> None:
        conn = await member.connection(PURPOSE)
        try:
            kept = await list_cached_blocks(conn, member.runner.address)
        finally:
            member.release(conn)
        runner = member.runner
        # The engine may have restarted during the call or since its registration. Its
        # new incarnation joins the fleet and is queried in turn.
        if self._fleet.at_incarnation(runner.key, kept.born_ms or runner.born_ms) is not member:
            events.log_event(events.INVENTORY_FAILED, runner=runner.key, cause='the runner has restarted')
            return
        member.cache.merge_reported(kept.blocks)
        tokens = sum(block.tokens for block in kept.blocks)
        events.log_event(events.INVENTORY_LOADED, runner=runner.key, parts=len(kept.blocks), tokens=tokens)


__all__ = ('CacheInventory',)
