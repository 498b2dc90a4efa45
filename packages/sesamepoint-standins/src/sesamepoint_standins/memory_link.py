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
    from sesamepoint_standins.process_faults import ProcessFaults

CALL_TIMEOUT_S = 1.0


class NetworkPath:
    """Network between one entry and one agent.

    ``cut`` drops all traffic. ``last_dead_connection`` is the number of the last connection
    whose traffic is dropped; later connections work.
    """

    def __init__(self, delay_s: float) -> None:
        """Start without faults, with a one-way delay of ``delay_s`` seconds."""
        self.delay_s = delay_s
        self.cut = False
        self.last_dead_connection = -1
        self.connections_opened = 0

    def kill_open_connections(self) -> None:
        """Drop all further traffic of the connections opened so far."""
        self.last_dead_connection = self.connections_opened

    def delivers(self, connection: int) -> bool:
        """Return whether traffic of a connection is delivered."""
        return not self.cut and connection > self.last_dead_connection


TimedFrame = tuple[float, Frame]


class AgentEndpoint(NamedTuple):
    """Agent process that currently serves an address."""

    handler: AgentHandler
    faults: ProcessFaults
    nursery: trio.Nursery


class MemoryLink:
    """Entry's side of a link to the agent that serves an address."""

    def __init__(
        self,
        address: str,
        network_path: NetworkPath,
        find_endpoint: Callable[[], AgentEndpoint | None],
        own_faults: ProcessFaults,
    ) -> None:
        """Connect to the agent that the finder returns; None refuses the connection."""
        self._address = address
        self._network_path = network_path
        self._find_endpoint = find_endpoint
        self._own_faults = own_faults
        self.generation = network_path.connections_opened
        self._open_streams: list[trio.MemorySendChannel[TimedFrame]] = []

    def renew(self, generation: int) -> None:
        """Replace the connection ``generation``; its streams break."""
        if generation != self.generation:
            return
        self._network_path.connections_opened += 1
        self.generation = self._network_path.connections_opened
        for sender in self._open_streams:
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
        sender, receiver = trio.open_memory_channel[TimedFrame](float('inf'))
        # Kept open until the connection is renewed: a silent connection does
        # not end, it only delivers nothing more.
        self._open_streams.append(sender)
        try:
            yield self._receive_frames(req, sender, receiver, scope)
        finally:
            scope.cancel()
            self._open_streams.remove(sender)

    async def _call(self, send: Callable[[AgentEndpoint], Awaitable[Any]]) -> Any:
        connection = self.generation
        await self._own_faults.wait_while_paused()
        with trio.move_on_after(CALL_TIMEOUT_S):
            await self._delay(connection, 2)
            endpoint = self._endpoint()
            await endpoint.faults.wait_while_paused()
            reply = await send(endpoint)
            await endpoint.faults.wait_while_paused()
            await self._own_faults.wait_while_paused()
            if self._network_path.delivers(connection):
                return reply
            await trio.sleep_forever()
        raise LinkLostError(self._address, 'timeout')

    async def _delay(self, connection: int, trips: int = 1) -> None:
        await trio.sleep(self._network_path.delay_s * trips)
        if not self._network_path.delivers(connection):
            await trio.sleep_forever()

    def _endpoint(self) -> AgentEndpoint:
        endpoint = self._find_endpoint()
        if endpoint is None:
            raise LinkLostError(self._address, 'refused')
        return endpoint

    async def _receive_frames(
        self,
        req: RunRequest,
        sender: trio.MemorySendChannel[TimedFrame],
        receiver: trio.MemoryReceiveChannel[TimedFrame],
        scope: trio.CancelScope,
    ) -> AsyncIterator[Frame]:
        connection = self.generation
        await self._own_faults.wait_while_paused()
        await trio.sleep(self._network_path.delay_s)
        if self._network_path.delivers(connection):
            endpoint = self._endpoint()
            endpoint.nursery.start_soon(_serve_run, endpoint, req, sender, scope)
        async for sent_at, frame in receiver:
            remaining_s = sent_at + self._network_path.delay_s - trio.current_time()
            if remaining_s > 0:
                await trio.sleep(remaining_s)
            await self._own_faults.wait_while_paused()
            if self._network_path.delivers(connection):
                yield frame
        raise LinkLostError(self._address, 'reset')


async def _serve_run(
    endpoint: AgentEndpoint,
    req: RunRequest,
    sender: trio.MemorySendChannel[TimedFrame],
    scope: trio.CancelScope,
) -> None:
    """Run the handler; called in the agent's nursery, so that it ends with the agent."""
    with scope:
        try:
            await _run_handler(endpoint, req, sender)
        except trio.Cancelled:
            sender.close()
            raise


async def _run_handler(endpoint: AgentEndpoint, req: RunRequest, sender: trio.MemorySendChannel[TimedFrame]) -> None:
    await endpoint.faults.wait_while_paused()
    # The entry has closed its end of the stream.
    with suppress(trio.ClosedResourceError, trio.BrokenResourceError):
        await endpoint.handler.run(req, lambda frame: sender.send_nowait((trio.current_time(), frame)))


__all__ = ('AgentEndpoint', 'MemoryLink', 'NetworkPath')
