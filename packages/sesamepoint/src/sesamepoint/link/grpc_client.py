"""The instance's gRPC client, run inside trio by trio-asyncio."""

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
from sesamepoint.link.grpc_server import SERVICE_PREFIX
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
_CONNECTION_ERRORS = (OSError, GRPCError, StreamTerminatedError, asyncio.TimeoutError)
ReplyT = TypeVar('ReplyT')


class GrpcLink:
    """Connection to one agent; closed on request and reopened by the next call.

    Must be used inside ``trio_asyncio.open_loop()``.
    """

    def __init__(self, address: str) -> None:
        """Set the address; the first call connects."""
        self._address = address
        self.generation = 0
        self._channel: Channel | None = None

    @asynccontextmanager
    async def run(self, req: RunRequest) -> AsyncIterator[AsyncIterator[Frame]]:
        """Open the stream of an attempt's frames."""
        sender, receiver = trio.open_memory_channel[Frame](float('inf'))
        task = asyncio.get_event_loop().create_task(self._receive_frames(req, sender))
        try:
            yield self._frames(receiver, task)
        finally:
            task.cancel()

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt."""
        return await self._call('Cancel', req, CancelReply)

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Send a heartbeat and return the load."""
        return await self._call('Beat', req, LoadReport)

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Request control log records."""
        return await self._call('Sync', req, SyncReply)

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Claim an idempotency key, or return its status."""
        return await self._call('Claim', req, ClaimReply)

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Report how the run under an idempotency key ended."""
        return await self._call('Settle', req, SettleReply)

    def renew(self, generation: int) -> None:
        """Close the connection if it is still the one in use."""
        if generation == self.generation and self._channel is not None:
            self._channel.close()
            self._channel = None
            self.generation += 1

    def _open_channel(self) -> Channel:
        if self._channel is None:
            host, _, port = self._address.rpartition(':')
            self._channel = Channel(host, int(port), codec=MessagePackCodec())
        return self._channel

    async def _call(self, method: str, req: Any, reply_type: type[ReplyT]) -> ReplyT:
        call = UnaryUnaryMethod[Any, ReplyT](self._open_channel(), f'{SERVICE_PREFIX}{method}', type(req), reply_type)
        try:
            reply: ReplyT = await trio_asyncio.aio_as_trio(call)(req, timeout=CALL_TIMEOUT_S)
        except _CONNECTION_ERRORS as exc:
            raise LinkLostError(self._address, repr(exc)) from exc
        return reply

    async def _receive_frames(self, req: RunRequest, sender: trio.MemorySendChannel[Frame]) -> None:
        method = UnaryStreamMethod[RunRequest, Frame](self._open_channel(), f'{SERVICE_PREFIX}Run', RunRequest, Frame)
        # The channel breaks when its receiver is closed; this task is then about to be cancelled.
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
        # The channel closes when the task ends. Without an end frame the
        # connection broke and the answer is incomplete.
        cause = 'closed' if task.cancelled() or not task.done() else repr(task.exception())
        raise LinkLostError(self._address, cause)


__all__ = ('CALL_TIMEOUT_S', 'GrpcLink')
