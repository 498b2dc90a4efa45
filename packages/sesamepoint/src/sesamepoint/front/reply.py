"""The answer to one caller, as far as it went."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sesamepoint.front.events_split import EventSplitter
from sesamepoint.platform.names import RETRY_AFTER

if TYPE_CHECKING:
    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.server import ServerConn

UNAUTHORIZED = 401
JSON_TYPE = (b'content-type', b'application/json')
CHALLENGE = (b'www-authenticate', b'Bearer')


class Reply:
    """Writes one answer to a caller's connection."""

    def __init__(self, conn: ServerConn) -> None:
        """Answer on ``conn``."""
        self.status = 0
        self.events = EventSplitter()
        self._conn = conn
        self._streaming = False

    @property
    def begun(self) -> bool:
        """Tell whether the caller has got a part of an answer."""
        return bool(self.status)

    def check_caller(self) -> None:
        """Raise a ``CallerGoneError`` if the caller's close has arrived."""
        self._conn.check_caller()

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        self.status = status
        await self._conn.whole(status, headers, body)

    async def refuse(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        """Send an answer of our own, with a time to come back if there is one."""
        headers: Headers = (JSON_TYPE,)
        if retry_after_s is not None:
            headers = (*headers, (RETRY_AFTER, f'{retry_after_s:.3f}'.encode()))
        await self.whole(status, headers, msgspec.json.encode({'error': reason}))

    async def deny(self, reason: str) -> None:
        """Tell the caller that it needs another key."""
        await self.whole(UNAUTHORIZED, (JSON_TYPE, CHALLENGE), msgspec.json.encode({'error': reason}))

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer that comes in parts."""
        self.status = status
        self._streaming = True
        await self._conn.begin(status, headers)

    async def part(self, body: bytes) -> None:
        """Send a part of the body."""
        await self._conn.part(body)

    async def end(self) -> None:
        """Mark the body as whole."""
        self._streaming = False
        await self._conn.end()

    @property
    def unfinished(self) -> bool:
        """Tell whether an answer has begun and was not brought to its end."""
        return self._streaming


__all__ = ('Reply',)
