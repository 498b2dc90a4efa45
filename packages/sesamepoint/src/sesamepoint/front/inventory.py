"""Asking engines what they keep, when this entry meets them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.runner import Stage
from sesamepoint import events
from sesamepoint.front.gate import GateClosedError, Purpose, SendKind
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.engine_calls import list_kept

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.known_engines import KnownEngines
    from sesamepoint.front.member import Member

# The call takes some of the engine's time, so entries that start together
# draw a moment from this span, in seconds, to make it.
SPREAD_S = 0.2
# Engines of today answer in some tens of milliseconds. What has not come by
# then is of little use: the model learns from what is sent.
CALL_S = 1.0
PURPOSE = Purpose(SendKind.inventory)


class Inventory:
    """Fills the models of engines' memories at the start.

    An entry that was restarted knows nothing of what engines keep, sends
    prompts where their shared parts are not, and has them read again for
    seconds: after all lost power, long prompts had 10,000 unknown tokens in
    the median, and 6,000 before.
    """

    def __init__(self, fleet: Fleet, known: KnownEngines, rng: Random) -> None:
        """Ask the engines that join ``fleet``, as far as they are ``known`` here."""
        self._fleet = fleet
        self._known = known
        self._rng = rng

    async def run(self) -> None:
        """Ask each engine that joins, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                member = await self._fleet.next_joined()
                # Of thousands of engines most are another entry's to ask.
                if member.runner.stage is not Stage.plain and self._known.here(member.runner):
                    nursery.start_soon(self._ask, member)

    async def _ask(self, member: Member) -> None:
        await trio.sleep(self._rng.uniform(0, SPREAD_S))
        runner = member.runner
        cause = 'no answer in time'
        condition = member.closed_to(PURPOSE)
        if condition:
            return events.log_event(events.INVENTORY_FAILED, runner=runner.key, cause=condition)
        with trio.move_on_after(CALL_S):
            try:
                await self._take(member)
            except (ConnectFailedError, ConnBrokenError, GateClosedError) as exc:
                cause = str(exc)
            else:
                return None
        return events.log_event(events.INVENTORY_FAILED, runner=runner.key, cause=cause)

    async def _take(self, member: Member) -> None:
        conn = await member.connection(PURPOSE)
        try:
            kept = await list_kept(conn, member.runner.address)
        finally:
            member.give_back(conn)
        runner = member.runner
        # An engine may have started again while it was asked, or since it
        # registered; its new start is asked anew, as one that has just joined.
        if self._fleet.at_start(runner.key, kept.born_ms or runner.born_ms) is not member:
            events.log_event(events.INVENTORY_FAILED, runner=runner.key, cause='it has started again')
            return
        member.cache.recall(kept.parts)
        tokens = sum(part.tokens for part in kept.parts)
        events.log_event(events.INVENTORY_TAKEN, runner=runner.key, parts=len(kept.parts), tokens=tokens)


__all__ = ('Inventory',)
