"""The entry's gRPC client, run inside trio by trio-asyncio."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any, TypeVar

import trio
import trio_asyncio
from grpclib.client import Channel, UnaryStreamMethod, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError

from sesamepoint_core.errors import LinkLostError
from sesamepoint.keys.messages import ClaimReply, ClaimRequest, SettleReply, SettleRequest
from sesamepoint.link.codec import MessagePackCodec
from sesamepoint.link.grpc_server import SERVICE
from sesamepoint.link.messages import (
    BeatRequest,
    CancelReply,
    CancelRequest,
    Frame,
    FrameKind,
    LoadReport,
    RunRequest,
    SyncReply,
    SyncRequest,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALL_TIMEOUT_S = 1.0
_BROKEN = (OSError, GRPCError, StreamTerminatedError, asyncio.TimeoutError)
ReplyT = TypeVar('ReplyT')


class GrpcLink:
    """One connection to one agent, replaced when it goes silent.

    Must be used inside ``trio_asyncio.open_loop()``.
    """

    def __init__(self, address: str) -> None:
        """Aim at ``address``; connect on the first call."""
        self._address = address
        self.generation = 0
        self._channel: Channel | None = None

    @asynccontextmanager
    async def run(self, req: RunRequest) -> AsyncIterator[AsyncIterator[Frame]]:
        """Open the stream of an attempt's frames."""
        sender, receiver = trio.open_memory_channel[Frame](float('inf'))
        task = asyncio.get_event_loop().create_task(self._pull(req, sender))
        try:
            yield self._frames(receiver, task)
        finally:
            task.cancel()

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt."""
        return await self._call('Cancel', req, CancelReply)

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Ask for a sign of life."""
        return await self._call('Beat', req, LoadReport)

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Ask for records."""
        return await self._call('Sync', req, SyncReply)

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Ask for the right to run under an idempotency key."""
        return await self._call('Claim', req, ClaimReply)

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Tell how the run under an idempotency key ended."""
        return await self._call('Settle', req, SettleReply)

    def renew(self, generation: int) -> None:
        """Give a connection up, if it is still the one in use."""
        if generation == self.generation and self._channel is not None:
            self._channel.close()
            self._channel = None
            self.generation += 1

    def _connection(self) -> Channel:
        if self._channel is None:
            host, _, port = self._address.rpartition(':')
            self._channel = Channel(host, int(port), codec=MessagePackCodec())
        return self._channel

    async def _call(self, method: str, req: Any, reply_type: type[ReplyT]) -> ReplyT:
        call = UnaryUnaryMethod[Any, ReplyT](self._connection(), f'{SERVICE}{method}', type(req), reply_type)
        try:
            reply: ReplyT = await trio_asyncio.aio_as_trio(call)(req, timeout=CALL_TIMEOUT_S)
        except _BROKEN as exc:
            raise LinkLostError(self._address, repr(exc)) from exc
        return reply

    async def _pull(self, req: RunRequest, sender: trio.MemorySendChannel[Frame]) -> None:
        method = UnaryStreamMethod[RunRequest, Frame](self._connection(), f'{SERVICE}Run', RunRequest, Frame)
        # A reader that has gone breaks the channel; its cancel is on the way.
        with sender, suppress(trio.BrokenResourceError):
            async with method.open() as stream:
                await stream.send_message(req, end=True)
                async for frame in stream:
                    sender.send_nowait(frame)

    async def _frames(
        self,
        receiver: trio.MemoryReceiveChannel[Frame],
        task: asyncio.Task[None],
    ) -> AsyncIterator[Frame]:
        async for frame in receiver:
            yield frame
            if frame.kind is FrameKind.end:
                return
        # The channel closes when the task ends; without an end frame that is
        # a broken connection, and never a whole answer.
        cause = 'closed' if task.cancelled() or not task.done() else repr(task.exception())
        raise LinkLostError(self._address, cause)


__all__ = ('CALL_TIMEOUT_S', 'GrpcLink')
