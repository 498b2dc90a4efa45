"""In-memory links between entries and agents, with network faults."""

from __future__ import annotations

from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sesamepoint_core.errors import LinkLostError
from sesamepoint.link.messages import Frame

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sesamepoint.keys.messages import ClaimReply, ClaimRequest, SettleReply, SettleRequest
    from sesamepoint.link.base import AgentHandler
    from sesamepoint.link.messages import (
        BeatRequest,
        CancelReply,
        CancelRequest,
        LoadReport,
        RunRequest,
        SyncReply,
        SyncRequest,
    )
    from sesamepoint_standins.gate import Gate

CALL_TIMEOUT_S = 1.0


class Wire:
    """Network between one entry and one agent.

    ``cut`` drops all traffic. ``muted`` is the number of the last connection
    whose traffic is dropped; later connections work.
    """

    def __init__(self, delay_s: float) -> None:
        """Start without faults, with a one-way delay of ``delay_s`` seconds."""
        self.delay_s = delay_s
        self.cut = False
        self.muted = -1
        self.opened = 0

    def mute(self) -> None:
        """Drop all further traffic of the connections opened so far."""
        self.muted = self.opened

    def passes(self, connection: int) -> bool:
        """Return whether traffic of a connection is delivered."""
        return not self.cut and connection > self.muted


Timed = tuple[float, Frame]


class Host(NamedTuple):
    """Agent process that currently serves an address."""

    handler: AgentHandler
    gate: Gate
    nursery: trio.Nursery


class MemoryLink:
    """Entry's side of a link to the agent that serves an address."""

    def __init__(self, address: str, wire: Wire, find: Callable[[], Host | None], own_gate: Gate) -> None:
        """Connect to the agent that the finder returns; None refuses the connection."""
        self._address = address
        self._wire = wire
        self._find = find
        self._own_gate = own_gate
        self.generation = wire.opened
        self._open: list[trio.MemorySendChannel[Timed]] = []

    def renew(self, generation: int) -> None:
        """Replace the connection ``generation``; its streams break."""
        if generation != self.generation:
            return
        self._wire.opened += 1
        self.generation = self._wire.opened
        for sender in self._open:
            sender.close()

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Cancel an attempt."""
        reply: CancelReply = await self._call(lambda endpoint: endpoint.handler.cancel(req))
        return reply

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Request a heartbeat and the load report."""
        reply: LoadReport = await self._call(lambda endpoint: endpoint.handler.beat(req))
        return reply

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Request records."""
        reply: SyncReply = await self._call(lambda endpoint: endpoint.handler.sync(req))
        return reply

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Claim the right to run under an idempotency key."""
        reply: ClaimReply = await self._call(lambda endpoint: endpoint.handler.claim(req))
        return reply

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Report how the run under an idempotency key ended."""
        reply: SettleReply = await self._call(lambda endpoint: endpoint.handler.settle(req))
        return reply

    @asynccontextmanager
    async def run(self, req: RunRequest) -> AsyncIterator[AsyncIterator[Frame]]:
        """Open the stream of an attempt's frames."""
        scope = trio.CancelScope()
        sender, receiver = trio.open_memory_channel[Timed](float('inf'))
        # Kept open until the connection is renewed: a silent connection does
        # not end, it only delivers nothing more.
        self._open.append(sender)
        try:
            yield self._frames(req, sender, receiver, scope)
        finally:
            scope.cancel()
            self._open.remove(sender)

    async def _call(self, ask: Callable[[Host], Awaitable[Any]]) -> Any:
        connection = self.generation
        await self._own_gate.enter()
        with trio.move_on_after(CALL_TIMEOUT_S):
            await self._travel(connection, 2)
            endpoint = self._host()
            await endpoint.gate.enter()
            reply = await ask(endpoint)
            await endpoint.gate.enter()
            await self._own_gate.enter()
            if self._wire.passes(connection):
                return reply
            await trio.sleep_forever()
        raise LinkLostError(self._address, 'timeout')

    async def _travel(self, connection: int, ways: int = 1) -> None:
        await trio.sleep(self._wire.delay_s * ways)
        if not self._wire.passes(connection):
            await trio.sleep_forever()

    def _host(self) -> Host:
        endpoint = self._find()
        if endpoint is None:
            raise LinkLostError(self._address, 'refused')
        return endpoint

    async def _frames(
        self,
        req: RunRequest,
        sender: trio.MemorySendChannel[Timed],
        receiver: trio.MemoryReceiveChannel[Timed],
        scope: trio.CancelScope,
    ) -> AsyncIterator[Frame]:
        connection = self.generation
        await self._own_gate.enter()
        await trio.sleep(self._wire.delay_s)
        if self._wire.passes(connection):
            endpoint = self._host()
            endpoint.nursery.start_soon(_serve_run, endpoint, req, sender, scope)
        async for sent_at, frame in receiver:
            remaining_s = sent_at + self._wire.delay_s - trio.current_time()
            if remaining_s > 0:
                await trio.sleep(remaining_s)
            await self._own_gate.enter()
            if self._wire.passes(connection):
                yield frame
        raise LinkLostError(self._address, 'reset')


async def _serve_run(
    host: Host,
    req: RunRequest,
    sender: trio.MemorySendChannel[Timed],
    scope: trio.CancelScope,
) -> None:
    """Run the handler; called in the agent's nursery, so that it ends with the agent."""
    with scope:
        try:
            await _answer(host, req, sender)
        except trio.Cancelled:
            sender.close()
            raise


async def _answer(host: Host, req: RunRequest, sender: trio.MemorySendChannel[Timed]) -> None:
    await host.gate.enter()
    # The entry has closed its end of the stream.
    with suppress(trio.ClosedResourceError, trio.BrokenResourceError):
        await host.handler.run(req, lambda frame: sender.send_nowait((trio.current_time(), frame)))


__all__ = ('Host', 'MemoryLink', 'Wire')
