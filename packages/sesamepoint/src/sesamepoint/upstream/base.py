"""Interface, errors and registry of the upstream adapters."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.registry import Registry
from sesamepoint_core.route.load import NO_LOAD, UpstreamLoad

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job


class UpstreamUnreachableError(SesamepointError):
    """No connection to the upstream was made, so the job did not reach it."""

    def __init__(self, cause: str) -> None:
        """Build the message from the cause."""
        super().__init__(f'connection to the upstream failed ({cause})', 'another runner is tried')


class OrderRefusedError(SesamepointError):
    """The upstream refused an order."""

    def __init__(self, cause: str) -> None:
        """Build the message from the cause."""
        super().__init__(f'the upstream refused the order ({cause})', 'a newer order is awaited')


class Upstream(Protocol):
    """Adapter of one engine or plain service."""

    def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run ``job`` and yield the chunks of its answer.

        Raises ``UpstreamUnreachableError`` if it certainly did not start, and
        ``UpstreamError`` if it failed later.
        """

    async def cancel(self, attempt: str) -> None:
        """Stop the job if it is running."""

    async def load(self) -> UpstreamLoad:
        """Request the upstream's load report."""

    async def order(self, role: str, fence: int) -> None:
        """Order the upstream to change to ``role``; raises ``OrderRefusedError``."""


UPSTREAM_ADAPTERS: Registry[Any] = Registry('upstream adapter')

__all__ = ('NO_LOAD', 'UPSTREAM_ADAPTERS', 'OrderRefusedError', 'Upstream', 'UpstreamLoad', 'UpstreamUnreachableError')
