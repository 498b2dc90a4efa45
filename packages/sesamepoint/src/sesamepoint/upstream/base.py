"""What an agent asks of its upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.registry import Registry
from sesamepoint_core.route.load import NO_LOAD, UpstreamLoad

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job


class UnreachableError(SesamepointError):
    """The upstream took no connection: the job never reached it."""

    def __init__(self, cause: str) -> None:
        """Tell why."""
        super().__init__(f'the upstream takes no connection ({cause})', 'another runner is tried')


class OrderRefusedError(SesamepointError):
    """The upstream refused an order."""

    def __init__(self, cause: str) -> None:
        """Tell why."""
        super().__init__(f'the upstream refused the order ({cause})', 'a newer order is awaited')


class Upstream(Protocol):
    """One engine or plain service, seen from the slot beside it."""

    def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Run ``job`` and yield its answer's chunks.

        Raises ``UnreachableError`` if it surely did not start, and
        ``UpstreamError`` if it broke off.
        """

    async def cancel(self, attempt: str) -> None:
        """Stop the job, if it runs."""

    async def load(self) -> UpstreamLoad:
        """Ask for the upstream's own report."""

    async def order(self, role: str, fence: int) -> None:
        """Tell it to take ``role``; raises ``OrderRefusedError``."""


UPSTREAM_ADAPTERS: Registry[Any] = Registry('upstream adapter')

__all__ = ('NO_LOAD', 'UPSTREAM_ADAPTERS', 'OrderRefusedError', 'UnreachableError', 'Upstream', 'UpstreamLoad')
