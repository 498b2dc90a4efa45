"""HTTP client for the platform's services."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore

from sesamepoint_core.errors import PlatformUnavailableError

if TYPE_CHECKING:
    from sesamepoint.settings.model import ServiceSettings

MAX_CONNECTIONS = 8
STATUS_OK = 200
_BROKEN = (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError, httpcore.ConnectError)


class HttpClient:
    """A client of one service; each failure raises ``PlatformUnavailableError``."""

    def __init__(self, service: str, url: str) -> None:
        """Send all requests to ``url``."""
        self._service = service
        self._url = url
        self._pool = httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS)

    @classmethod
    def from_config(cls, service: str, cfg: ServiceSettings) -> HttpClient:
        """Build a client from the settings of one service."""
        return cls(service, cfg['url'])

    async def request(self, method: str, path: str, body: bytes, timeout_s: float) -> bytes:
        """Return the body of a successful reply.

        Raises
        ------
        PlatformUnavailableError
            If there was no reply within ``timeout_s``, or its status was not 200.
        """
        timeouts = {'timeout': dict.fromkeys(('connect', 'read', 'write', 'pool'), timeout_s)}
        try:
            reply = await self._pool.request(method, f'{self._url}{path}', content=body, extensions=timeouts)
        except _BROKEN as exc:
            raise PlatformUnavailableError(self._service, repr(exc)) from exc
        if reply.status != STATUS_OK:
            raise PlatformUnavailableError(self._service, f'status {reply.status}')
        return reply.content


__all__ = ('HttpClient',)
