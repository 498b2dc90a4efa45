"""A transport whose far end sends bytes without end, by kinds of places where a response may not end."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Mapping

_FILL = b'x' * 4096
_OK = b'HTTP/1.1 200 OK\r\n'
_FAILED = b'HTTP/1.1 500 Oops\r\nx: 1\r\n'
_FAILED_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _FAILED
_CHUNK = b'1000\r\n%b\r\n' % _FILL


class Endless(NamedTuple):
    """The beginning of a response, and what is sent again and again after it."""

    begin: bytes
    repeated: bytes


IN_HEAD: Mapping[str, Endless] = MappingProxyType(
    {
        'status line': Endless(b'HTTP/1.1 200 ', _FILL),
        'header line': Endless(b'%bx: ' % _OK, _FILL),
        'header fields': Endless(_OK, b'x: y\r\n' * 500),
        'informational heads': Endless(b'', b'HTTP/1.1 102 Wait\r\nx: y\r\n\r\n' * 100),
        'no HTTP': Endless(b'\0', _FILL),
    }
)
IN_BODY: Mapping[str, Endless] = MappingProxyType(
    {
        'chunks': Endless(_FAILED_CHUNKED, _CHUNK),
        'chunk size line': Endless(_FAILED_CHUNKED, b'0' * 4096),
        'chunk extension': Endless(b'%b5;a=' % _FAILED_CHUNKED, _FILL),
        'small chunks with extensions': Endless(_FAILED_CHUNKED, b'1;a=%b\r\nx\r\n' % _FILL),
        'trailers': Endless(b'%b0\r\n' % _FAILED_CHUNKED, b'x: y\r\n' * 500),
        'until close': Endless(b'%b\r\n' % _FAILED, _FILL),
        'length': Endless(b'%bcontent-length: 1000000000000\r\n\r\n' % _FAILED, _FILL),
    }
)


class EndlessTransport:
    """A transport that never ends by itself and counts what was received from it."""

    def __init__(self, response: Endless, pause_s: float = 0) -> None:
        """Send ``response`` with a pause before each repetition."""
        self.peer = '10.1.64.9'
        self.received_bytes = 0
        self.closed = False
        self._response = response
        self._pause_s = pause_s

    async def send_all(self, _: bytes) -> None:
        """Take all bytes."""

    def send_now(self, sent: bytes) -> int:
        """Take all bytes."""
        return len(sent)

    async def receive_some(self, _: int) -> bytes:
        """Return the beginning, then the repeated bytes without end."""
        part = self._response.repeated
        if not self.received_bytes and self._response.begin:
            part = self._response.begin
        else:
            await trio.sleep(self._pause_s)
        self.received_bytes += len(part)
        return part

    def close(self) -> None:
        """Note that the connection was closed."""
        self.closed = True

    def reset(self) -> None:
        """Note that the connection was closed."""
        self.closed = True

    def unsent_bytes(self) -> int:
        """Return that all bytes were received."""
        return 0

    def is_idle(self) -> bool:
        """Return that there are unread bytes."""
        return False

    def peer_closed(self) -> bool:
        """Return that the far end is open."""
        return False


__all__ = ('IN_BODY', 'IN_HEAD', 'Endless', 'EndlessTransport')
