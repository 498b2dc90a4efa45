"""Exchange of messages with peers that keeps all instances together within the rate limits of runners."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.messages import PermitRequest
from sesamepoint.front.runners.limit_messages import PermitGrantMessage, PermitRequestMessage

if TYPE_CHECKING:
    from sesamepoint_core.runner_limit.messages import AddressedMessage
    from sesamepoint_core.runner_limit.shared_limit import SharedLimit
    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.dispatch_components import DispatchComponents
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.peering.peers import Peers

# Least time between two rounds of messages, in seconds: messages that become due at the same
# moment are sent in one round.
BATCH_S = 0.002
# How often the peers that may send to a runner with a limit are read, in seconds.
MEMBERS_INTERVAL_S = 0.25


class LimitExchange:
    """Sends and receives the messages that keep the requests of all instances together within the limits."""

    def __init__(self, tools: DispatchComponents, fleet: Fleet, engine_subset: EngineSubset, peers: Peers) -> None:
        """Serve the requests that wait in ``tools``, with the instances in ``peers``."""
        self._limits = tools.limits
        self._tools = tools
        self._fleet = fleet
        self._engine_subset = engine_subset
        self._peers = peers
        self._members_set_at: dict[Incarnation, float] = {}
        peers.handlers[PermitRequestMessage] = tools.limits.on_message
        peers.handlers[PermitGrantMessage] = tools.limits.on_message

    async def run(self) -> None:
        """Send due messages and release waiting requests until cancelled."""
        self._limits.begin()
        while True:
            self._limits.changed = trio.Event()
            due_at = await self._step_all()
            with trio.move_on_at(due_at):
                await self._limits.changed.wait()
            await trio.sleep(BATCH_S)

    async def _step_all(self) -> float:
        """Step all limits; return when the next one is due."""
        due_at = math.inf
        for incarnation, limit in self._limits.limits():
            member = self._fleet.of_incarnation(incarnation)
            if member is None:
                self._forget(incarnation, 'runner is gone')
            elif limit.known.allowed_rate(trio.current_time()) is None:
                self._forget(incarnation, 'limit has ended')
            else:
                await self._step(member, limit)
                now = trio.current_time()
                due_at = min(due_at, limit.next_at(now), now + MEMBERS_INTERVAL_S)
        # All available permits are reserved by now, so the requests released here don't compete for any.
        self._tools.permit_queue.release_eligible()
        return due_at

    async def _step(self, member: Member, limit: SharedLimit) -> None:
        incarnation = member.incarnation
        now = trio.current_time()
        self._update_members(incarnation, limit, now)
        self._tools.permit_queue.grant_permits(incarnation)
        limit.update_demand(
            self._tools.permit_queue.requested_permits(
                member, self._tools.engine_queue.waiting_for_permit(incarnation.runner), limit.available(now)
            )
        )
        messages = limit.step(now)
        self._tools.permit_queue.grant_permits(incarnation)
        for message in messages:
            await self._send(incarnation, message)

    async def _send(self, incarnation: Incarnation, addressed: AddressedMessage) -> None:
        name = self._peers.name
        if isinstance(addressed.message, PermitRequest):
            await self._peers.send_to([addressed.recipient], PermitRequestMessage(name, incarnation, addressed.message))
        else:
            await self._peers.send_to([addressed.recipient], PermitGrantMessage(name, incarnation, addressed.message))

    def _update_members(self, incarnation: Incarnation, limit: SharedLimit, now: float) -> None:
        if now - self._members_set_at.get(incarnation, 0) >= MEMBERS_INTERVAL_S:
            self._members_set_at[incarnation] = now
            limit.update_members(
                name for name in self._peers.peer_names() if self._engine_subset.contains_at(name, incarnation.runner)
            )

    def _forget(self, incarnation: Incarnation, cause: str) -> None:
        self._members_set_at.pop(incarnation, None)
        self._limits.forget(incarnation, cause)


__all__ = ('LimitExchange',)
