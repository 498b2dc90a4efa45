"""Framing of a response's body."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd
from sesamepoint.http1.messages import header

if TYPE_CHECKING:
    from sesamepoint.http1.messages import ResponseHead

NO_CONTENT = 204
NOT_MODIFIED = 304
FIRST_FINAL_STATUS = 200


def has_no_body(method: bytes, status: int) -> bool:
    """Tell whether a response has no body, whatever its headers say."""
    return method == b'HEAD' or status in {NO_CONTENT, NOT_MODIFIED} or status < FIRST_FINAL_STATUS


def framing_of(method: bytes, head: ResponseHead) -> Framing:
    """Return what marks the end of the body of a response to a request with this method.

    The order is that of RFC 9112, section 6.3. The parser accepts no transfer encoding but ``chunked``.
    """
    if has_no_body(method, head.status):
        return Framing.empty
    if header(head.headers, b'transfer-encoding') is not None:
        return Framing.chunked
    if header(head.headers, b'content-length') is not None:
        return Framing.length
    return Framing.until_close


def end_of(framing: Framing, *, request_sent: bool) -> ReadEnd:
    """Return how a body ended that the parser takes for ended.

    An operating system reports a reset to one call only: after a send that has failed by it, the end of the
    connection looks like one in order. So without a framing that marks the end, only a request that was sent whole
    has a whole response.
    """
    if framing is not Framing.until_close:
        return ReadEnd.last_byte
    return ReadEnd.closed if request_sent else ReadEnd.unsent


__all__ = ('end_of', 'framing_of', 'has_no_body')
