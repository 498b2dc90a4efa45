"""HTTP server for ASGI applications, on hypercorn."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

App = Callable[..., Awaitable[None]]
GRACEFUL_TIMEOUT_S = 5.0
NO_LOG = None


class LifespanUnsupportedError(Exception):
    """Tells hypercorn that the application serves HTTP requests only."""


async def serve_asgi(
    app: App,
    address: str,
    *,
    task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``app`` on ``address`` until cancelled."""
    cfg = Config()
    cfg.bind = [address]
    cfg.graceful_timeout = GRACEFUL_TIMEOUT_S
    cfg.errorlog = NO_LOG
    cfg.accesslog = NO_LOG
    await serve(_http_only(app), cfg, shutdown_trigger=trio.sleep_forever, task_status=task_status)


def _http_only(app: App) -> App:
    async def dispatch(scope: dict[str, Any], *channels: Any) -> None:  # noqa: WPS430
        if scope['type'] != 'http':
            raise LifespanUnsupportedError
        await app(scope, *channels[:2])

    return dispatch


__all__ = ('serve_asgi',)
