"""Responses without end, by the place where they do not end, and a stand-in that sends them."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint.http1.transport import Transport

_FILL = b'x' * 4096
_OK = b'HTTP/1.1 200 OK\r\n'
_SIGNED = b'%bsesamepoint-server-stamp: x\r\n' % _OK
_FAILED = b'HTTP/1.1 500 Oops\r\nx: 1\r\n'
_REJECTED = b'HTTP/1.1 503 Busy\r\nsesamepoint-not-executed: 1\r\n\r\n'
_FAILED_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _FAILED
_CHUNK = b'1000\r\n%b\r\n' % _FILL
_EVENTS = b'%bcontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n' % _SIGNED
# What a runner sends at a time, and the pause after it in seconds, in which its process does other work.
SENT_BYTES = 65536
PAUSE_S = 0.001


class EndlessAnswer(NamedTuple):
    """The beginning of a response, and what is sent again and again after it."""

    begin: bytes
    repeated: bytes

    async def send(self, transport: Transport) -> None:
        """Send it until the connection is closed."""
        many = self.repeated * max(SENT_BYTES // len(self.repeated), 1)
        try:
            await transport.send_all(self.begin)
            while True:
                await transport.send_all(many)
                await trio.sleep(PAUSE_S)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            transport.close()


IN_HEAD: Mapping[str, EndlessAnswer] = MappingProxyType(
    {
        'status line': EndlessAnswer(b'HTTP/1.1 200 ', _FILL),
        'header line': EndlessAnswer(b'%bx: ' % _OK, _FILL),
        'header fields': EndlessAnswer(_OK, b'x: y\r\n' * 500),
        'informational heads': EndlessAnswer(b'', b'HTTP/1.1 102 Wait\r\nx: y\r\n\r\n' * 100),
        'no HTTP': EndlessAnswer(b'\0', _FILL),
    }
)
IN_BODY: Mapping[str, EndlessAnswer] = MappingProxyType(
    {
        'chunks': EndlessAnswer(_FAILED_CHUNKED, _CHUNK),
        'chunk size line': EndlessAnswer(_FAILED_CHUNKED, b'0' * 4096),
        'chunk extension': EndlessAnswer(b'%b5;a=' % _FAILED_CHUNKED, _FILL),
        'small chunks with extensions': EndlessAnswer(_FAILED_CHUNKED, b'1;a=%b\r\nx\r\n' % _FILL),
        'trailers': EndlessAnswer(b'%b0\r\n' % _FAILED_CHUNKED, b'x: y\r\n' * 500),
        'until close': EndlessAnswer(b'%b\r\n' % _FAILED, _FILL),
        'length': EndlessAnswer(b'%bcontent-length: 1000000000000\r\n\r\n' % _FAILED, _FILL),
    }
)
REJECTIONS: Mapping[str, EndlessAnswer] = MappingProxyType({'rejection': EndlessAnswer(_REJECTED, _FILL)})
# Passed on to callers as it comes.
RELAYED: Mapping[str, EndlessAnswer] = MappingProxyType(
    {
        'success in chunks': EndlessAnswer(b'%btransfer-encoding: chunked\r\n\r\n' % _SIGNED, _CHUNK),
        'success until close': EndlessAnswer(b'%b\r\n' % _SIGNED, _FILL),
        'success with a length': EndlessAnswer(b'%bcontent-length: 1000000000000\r\n\r\n' % _SIGNED, _FILL),
        'event without end': EndlessAnswer(b'%b1000\r\ndata: %b\r\n' % (_EVENTS, _FILL[6:]), _CHUNK),
        'events': EndlessAnswer(_EVENTS, b'40\r\ndata: %b\n\n\r\n' % (b'y' * 56)),
    }
)
ENDLESS_ANSWERS: Mapping[str, EndlessAnswer] = MappingProxyType({**IN_HEAD, **IN_BODY, **REJECTIONS, **RELAYED})


__all__ = ('ENDLESS_ANSWERS', 'IN_BODY', 'IN_HEAD', 'RELAYED', 'EndlessAnswer')
