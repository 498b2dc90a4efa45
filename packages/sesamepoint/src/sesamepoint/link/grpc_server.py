"""The agent's gRPC server, run inside trio by trio-asyncio."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

import trio
import trio_asyncio
from grpclib.const import Cardinality, Handler
from grpclib.server import Server

from sesamepoint.keys.messages import ClaimReply, ClaimRequest, SettleReply, SettleRequest
from sesamepoint.link.codec import MessagePackCodec
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
    from collections.abc import Awaitable, Callable

    from grpclib.server import Stream

    from sesamepoint.link.base import AgentHandler

SERVICE_PREFIX = '/sesamepoint.Agent/'


class AgentService:
    """Maps gRPC calls onto an :class:`AgentHandler`."""

    def __init__(self, handler: AgentHandler) -> None:
        """Serve ``handler``."""
        self._handler = handler

    def __mapping__(self) -> dict[str, Handler]:
        """Return the gRPC methods and their handlers."""
        unary = Cardinality.UNARY_UNARY
        return {
            f'{SERVICE_PREFIX}Run': Handler(self._run, Cardinality.UNARY_STREAM, RunRequest, Frame),
            f'{SERVICE_PREFIX}Cancel': Handler(_unary_handler(self._handler.cancel), unary, CancelRequest, CancelReply),
            f'{SERVICE_PREFIX}Beat': Handler(_unary_handler(self._handler.beat), unary, BeatRequest, LoadReport),
            f'{SERVICE_PREFIX}Sync': Handler(_unary_handler(self._handler.sync), unary, SyncRequest, SyncReply),
            f'{SERVICE_PREFIX}Claim': Handler(_unary_handler(self._handler.claim), unary, ClaimRequest, ClaimReply),
            f'{SERVICE_PREFIX}Settle': Handler(_unary_handler(self._handler.settle), unary, SettleRequest, SettleReply),
        }

    async def _run(self, stream: Stream[Any, Any]) -> None:
        req = await stream.recv_message()
        # Frames pass from trio to asyncio by a plain call: both loops run in
        # one thread, and switching loops for each token would cost more than
        # the token itself.
        frames: asyncio.Queue[Frame] = asyncio.Queue()
        pump = asyncio.ensure_future(trio_asyncio.trio_as_aio(self._handler.run)(req, frames.put_nowait))
        try:
            await _forward_frames(frames, stream)
        finally:
            pump.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await pump


async def _forward_frames(frames: asyncio.Queue[Frame], stream: Stream[Any, Any]) -> None:
    ended = False
    while not ended:
        frame = await frames.get()
        await stream.send_message(frame)
        ended = frame.kind is FrameKind.end


def _unary_handler(call: Callable[[Any], Awaitable[Any]]) -> Callable[[Any], Awaitable[None]]:
    async def answer(stream: Stream[Any, Any]) -> None:  # noqa: WPS430
        req = await stream.recv_message()
        await stream.send_message(await trio_asyncio.trio_as_aio(call)(req))

    return answer


async def serve_agent(
    handler: AgentHandler,
    host: str,
    port: int,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``handler`` on ``host``:``port`` until cancelled.

    Raises
    ------
    OSError
        If the address is in use.
    """
    async with trio_asyncio.open_loop():
        server = Server([AgentService(handler)], codec=MessagePackCodec())
        await trio_asyncio.aio_as_trio(server.start)(host, port)
        task_status.started()
        try:
            await trio.sleep_forever()
        finally:
            server.close()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1):
                await trio_asyncio.aio_as_trio(server.wait_closed)()


__all__ = ('SERVICE_PREFIX', 'AgentService', 'serve_agent')
