"""In-memory upstream in front of the stand-in engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import UpstreamError
from sesamepoint.upstream.base import OrderRefusedError, UpstreamLoad, UpstreamUnreachableError
from sesamepoint_standins.engine import Engine, EngineRefusedError, EngineRequest
from sesamepoint_standins.engine_model import answer_seed

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job


class MemoryEngine:
    """Adapter from an :class:`Engine` to the agent's upstream interface."""

    def __init__(self, engine: Engine) -> None:
        """Wrap ``engine``, reachable at first."""
        self.engine = engine
        self.reachable = True

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run a completion and yield its text."""
        await self._check_reachable()
        req = EngineRequest(
            attempt,
            job.prompt_tokens,
            job.output_tokens,
            int(job.urgent),
            job.prefix,
            job.prefix_tokens,
            answer_seed(job.body),
        )
        received = 0
        with self.engine.submit(req) as pieces:
            async for piece in pieces:
                received += piece.count(' ')
                yield piece.encode()
        if received < job.output_tokens:
            raise UpstreamError('the stream ended without its end mark')

    async def cancel(self, attempt: str) -> None:
        """Cancel the completion if it runs."""
        await self._check_reachable()
        self.engine.cancel(attempt)

    async def load(self) -> UpstreamLoad:
        """Return the engine's load report."""
        await self._check_reachable()
        return self.engine.load()

    async def order(self, role: str, fence: int) -> None:
        """Order the engine to change to ``role``.

        Raises
        ------
        OrderRefusedError
            If the engine refuses the order.
        """
        await self._check_reachable()
        try:
            self.engine.order(role, fence)
        except EngineRefusedError as exc:
            raise OrderRefusedError(str(exc)) from exc

    async def _check_reachable(self) -> None:
        await trio.lowlevel.checkpoint()
        if not self.reachable:
            raise UpstreamUnreachableError('down')


__all__ = ('MemoryEngine',)
