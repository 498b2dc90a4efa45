"""ASGI application for operators' tools: metrics, readiness, state, decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from prometheus_client import CollectorRegistry, generate_latest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    Page = Callable[[], object]
    Receive = Callable[[], Awaitable[dict[str, Any]]]
    Send = Callable[[dict[str, Any]], Awaitable[None]]

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class AdminApp:
    """Serves ``/metrics``, ``/ready`` and JSON pages."""

    def __init__(
        self,
        registry: CollectorRegistry,
        ready: Callable[[], bool],
        pages: Mapping[str, Page],
    ) -> None:
        """Serve the metrics of ``registry``; ``pages`` maps paths to functions that return JSON data."""
        self._registry = registry
        self._ready = ready
        self._pages = pages

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Respond to one ASGI request."""
        status, body = self._response_for(scope['path'])
        headers = [(b'content-length', str(len(body)).encode())]
        await send({'type': 'http.response.start', 'status': status, 'headers': headers})
        await send({'type': 'http.response.body', 'body': body})

    def _response_for(self, path: str) -> tuple[int, bytes]:
        if path == '/metrics':
            return STATUS_OK, generate_latest(self._registry)
        if path == '/ready':
            return (STATUS_OK, b'ready') if self._ready() else (STATUS_UNAVAILABLE, b'not ready')
        page = self._pages.get(path)
        if page is None:
            return STATUS_NOT_FOUND, b'see docs/OPERATORS.md'
        return STATUS_OK, msgspec.json.encode(page())


__all__ = ('AdminApp',)
