"""Adapter of a plain HTTP service, with one call for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint.upstream.base import NO_LOAD, UPSTREAM_ADAPTERS, OrderRefusedError, UpstreamLoad
from sesamepoint.upstream.http_client import UpstreamHttpClient

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator

    from sesamepoint.link.messages import Job
    from sesamepoint.settings.model import ServiceSettings

CONTENT_TYPE = b'content-type'


class ReplyHead(NamedTuple):
    """First chunk of a plain service's answer: status and content type of the response."""

    status: int
    content_type: str


@UPSTREAM_ADAPTERS.register('plain')
class PlainAdapter:
    """Forwards a request's method, path and body to the service."""

    def __init__(self, http: UpstreamHttpClient) -> None:
        """Use ``http`` for all calls."""
        self._http = http
        self._running = 0

    @classmethod
    def from_config(cls, cfg: ServiceSettings) -> PlainAdapter:
        """Build from the settings of the upstream."""
        return cls(UpstreamHttpClient(cfg['url']))

    async def start(self, attempt: str, job: Job) -> AsyncGenerator[bytes, None]:
        """Make the call and yield the head of the response, then its body."""
        self._running += 1
        try:
            reply = await self._http.call(job.method, job.path, job.body)
        finally:
            self._running -= 1
        content_types = [text for name, text in reply.headers if name.lower() == CONTENT_TYPE]
        yield msgspec.json.encode(ReplyHead(reply.status, content_types[0].decode() if content_types else ''))
        yield reply.content

    async def cancel(self, attempt: str) -> None:
        """Do nothing: a call to a plain service can't be stopped."""

    async def load(self) -> UpstreamLoad:
        """Return the number of calls in progress; the service reports no load."""
        return NO_LOAD._replace(running=self._running)

    async def order(self, role: str, fence: int) -> None:
        """Refuse: plain services take no orders."""
        raise OrderRefusedError(f'a plain service has no role {role!r}')


__all__ = ('PlainAdapter', 'ReplyHead')
