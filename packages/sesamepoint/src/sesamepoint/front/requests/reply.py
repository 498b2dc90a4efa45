"""The reply to one request of a caller, and how much of it was sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sesamepoint_core.body_end.decision import BrokenOff, Complete
from sesamepoint_core.body_end.event_splitter import EventSplitter
from sesamepoint.platform.wire_names import RETRY_AFTER

if TYPE_CHECKING:
    from sesamepoint.http1.messages import Headers
    from sesamepoint.http1.server import ServerConn

UNAUTHORIZED = 401
JSON_TYPE = (b'content-type', b'application/json')
CHALLENGE = (b'www-authenticate', b'Bearer')


class Reply:
    """Writes one answer to the connection of a caller."""

    def __init__(self, conn: ServerConn) -> None:
        """Answer on ``conn``."""
        self.status = 0
        self.events = EventSplitter()
        self._conn = conn
        self._streaming = False
        self._buffered_bytes = 0

    @property
    def started(self) -> bool:
        """Return whether a part of an answer was sent."""
        return bool(self.status)

    def set_buffered(self, size: int) -> None:
        """Count ``size`` bytes of an answer that are kept for its caller and not sent yet."""
        more = size - self._buffered_bytes
        self._buffered_bytes = size
        if more > 0:
            self._conn.held.add(more)
        elif more < 0:
            self._conn.held.remove(-more)

    def must_pause(self) -> bool:
        """Return whether nothing more may be kept for this caller."""
        return self._conn.held.must_pause()

    async def wait_for_turn(self) -> None:
        """Wait until a part of a large answer may be passed on."""
        await self._conn.held.wait_for_turn()

    def check_caller(self) -> None:
        """Raise a ``CallerGoneError`` if the caller has closed the connection."""
        self._conn.check_caller()

    async def relay_whole(self, status: int, headers: Headers, body: bytes, end: Complete) -> None:
        """Send the complete answer of a runner, whose body ended with ``end``."""
        await self.send_whole(status, headers, body)

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        self.status = status
        await self._conn.send_whole(status, headers, body)

    async def refuse(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        """Send an error of this instance, with a Retry-After in seconds if given."""
        headers: Headers = (JSON_TYPE,)
        if retry_after_s is not None:
            headers = (*headers, (RETRY_AFTER, f'{retry_after_s:.3f}'.encode()))
        await self.send_whole(status, headers, msgspec.json.encode({'error': reason}))

    async def deny(self, reason: str) -> None:
        """Send a 401, which asks the caller for another key."""
        await self.send_whole(UNAUTHORIZED, (JSON_TYPE, CHALLENGE), msgspec.json.encode({'error': reason}))

    async def begin(self, status: int, headers: Headers, body: bytes = b'') -> None:
        """Send the head of a streamed answer with the first part of its body, if given."""
        self.status = status
        self._streaming = True
        await self._conn.begin(status, headers, body)

    async def send_part(self, body: bytes) -> None:
        """Send a part of the body."""
        await self._conn.send_part(body)

    async def end(self, end: Complete) -> None:
        """Mark the body as complete, as that of its runner is by ``end``."""
        self._streaming = False
        await self._conn.end()

    @property
    def unfinished(self) -> bool:
        """Return whether a streamed answer has begun but not ended."""
        return self._streaming

    @property
    def end_seen(self) -> str:
        """Return what its caller learns of the end of the answer, for log lines."""
        if not self.started:
            return 'none'
        return BrokenOff.tag if self.unfinished else Complete.tag


__all__ = ('Reply',)
