"""What an entry can ask of an agent, whatever carries it."""

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
    """The agent's side of a link."""

    async def run(self, req: RunRequest, send: Callable[[Frame], None]) -> None:
        """Send the frames of an attempt until its end frame."""

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt."""

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Answer with a sign of life."""

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Hand out records that the asker lacks."""

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Answer for an idempotency key."""

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Keep the answer for an idempotency key."""


class AgentLink(Protocol):
    """The entry's side of a link; every call raises ``LinkLostError``."""

    def run(self, req: RunRequest) -> AbstractAsyncContextManager[AsyncIterator[Frame]]:
        """Open the stream of an attempt's frames, without waiting."""

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt."""

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Ask for a sign of life."""

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Ask for records."""

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Ask for the right to run under an idempotency key."""

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Tell how the run under an idempotency key ended."""

    @property
    def generation(self) -> int:
        """Which connection, counted from the first, is in use."""

    def renew(self, generation: int) -> None:
        """Give a connection up, if it is still the one in use.

        Whatever runs over it breaks; the next call opens a new one. Each of
        many calls that broke together asks for this; only the first counts,
        or they would break each other's new connections without end.
        """


__all__ = ('AgentHandler', 'AgentLink')
