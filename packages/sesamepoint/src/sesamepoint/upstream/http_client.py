"""HTTP client of the upstream adapters."""

from __future__ import annotations

from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import TYPE_CHECKING

import httpcore

from sesamepoint_core.errors import UpstreamError
from sesamepoint.upstream.base import UpstreamUnreachableError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_CONNECTIONS = 512
CONNECT_TIMEOUT_S = 2.0
STATUS_OK = 200
_TIMEOUTS = MappingProxyType({'timeout': {'connect': CONNECT_TIMEOUT_S, 'pool': CONNECT_TIMEOUT_S}})
_HEADERS = ((b'content-type', b'application/json'),)
_NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_BROKEN_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException)


class UpstreamHttpClient:
    """Calls one upstream and distinguishes failures before and after the connection was made."""

    def __init__(self, url: str) -> None:
        """Set the base URL; the first call connects."""
        self._url = url
        self._pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)

    @asynccontextmanager
    async def stream(self, method: str, path: str, body: bytes) -> AsyncIterator[httpcore.Response]:
        """Open a response whose body is read as it arrives.

        Raises
        ------
        UpstreamUnreachableError
            If no connection was made, so nothing was sent.
        UpstreamError
            If the connection broke later.
        """
        try:
            async with self._pool.stream(
                method, f'{self._url}{path}', headers=_HEADERS, content=body, extensions=dict(_TIMEOUTS)
            ) as reply:
                yield reply
        except _NOT_SENT_ERRORS as exc:
            raise UpstreamUnreachableError(repr(exc)) from exc
        except _BROKEN_ERRORS as exc:
            raise UpstreamError(repr(exc)) from exc

    async def call(self, method: str, path: str, body: bytes) -> httpcore.Response:
        """Return a complete response; raises as :meth:`stream` does."""
        async with self.stream(method, path, body) as reply:
            await reply.aread()
            return reply


__all__ = ('STATUS_OK', 'UpstreamHttpClient')
