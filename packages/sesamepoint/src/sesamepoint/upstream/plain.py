"""A plain service: one call in, one reply out."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint.upstream.base import NO_LOAD, UPSTREAM_ADAPTERS, OrderRefusedError, UpstreamLoad
from sesamepoint.upstream.http import UpstreamHttp

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job
    from sesamepoint.settings.model import ServiceSettings

CONTENT_TYPE = b'content-type'


class ReplyHead(NamedTuple):
    """The first chunk of a plain answer: what stood above the body."""

    status: int
    content_type: str


@UPSTREAM_ADAPTERS.register('plain')
class PlainAdapter:
    """Passes calls on by path."""

    def __init__(self, http: UpstreamHttp) -> None:
        """Use ``http_client`` for all calls."""
        self._http = http
        self._running = 0

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> PlainAdapter:
        """Build from the settings of the upstream."""
        return cls(UpstreamHttp(cfg['url']))

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Make the call and yield its head, then its body."""
        self._running += 1
        try:
            reply = await self._http.call(job.method, job.path, job.body)
        finally:
            self._running -= 1
        kinds = [text for name, text in reply.headers if name.lower() == CONTENT_TYPE]
        yield msgspec.json.encode(ReplyHead(reply.status, kinds[0].decode() if kinds else ''))
        yield reply.content

    async def cancel(self, attempt: str) -> None:
        """Do nothing: a plain call cannot be stopped."""

    async def load(self) -> UpstreamLoad:
        """Tell how many calls are under way; the service has no report."""
        return NO_LOAD._replace(running=self._running)

    async def order(self, role: str, fence: int) -> None:
        """Refuse: plain services take no orders."""
        raise OrderRefusedError(f'a plain service has no role {role!r}')


__all__ = ('PlainAdapter', 'ReplyHead')
