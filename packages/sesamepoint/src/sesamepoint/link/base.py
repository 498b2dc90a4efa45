"""Interfaces of the calls from an instance to an agent, for any transport."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    from sesamepoint.keys.messages import ClaimReply, ClaimRequest, SettleReply, SettleRequest
    from sesamepoint.link.messages import (
        BeatRequest,
        CancelReply,
        CancelRequest,
        Frame,
        LoadReport,
        RunRequest,
        SyncReply,
        SyncRequest,
    )


class AgentHandler(Protocol):
    """The agent's side of a link: serves the calls of instances."""

    async def run(self, req: RunRequest, send: Callable[[Frame], None]) -> None:
        """Run or resume an attempt and send its frames until the end frame."""

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt."""

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Answer a heartbeat with the load."""

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Return the control log records after the given offset."""

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Handle a claim on an idempotency key."""

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Store the outcome of the run under an idempotency key."""


class AgentLink(Protocol):
    """The instance's side of a link.

    Every call raises ``LinkLostError`` if the connection fails.
    """

    def run(self, req: RunRequest) -> AbstractAsyncContextManager[AsyncIterator[Frame]]:
        """Open the stream of an attempt's frames without waiting for the first."""

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt."""

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Send a heartbeat and return the load."""

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Request control log records."""

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Claim an idempotency key, or return its status."""

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Report how the run under an idempotency key ended."""

    @property
    def generation(self) -> int:
        """Number of the connection in use; each new one has a higher number."""

    def renew(self, generation: int) -> None:
        """Close the connection if it is still the one in use.

        Streams over it break, and the next call opens a new connection. When
        many calls fail together, each calls this; only the first has an
        effect, or they would keep closing each other's new connections.
        """


__all__ = ('AgentHandler', 'AgentLink')
