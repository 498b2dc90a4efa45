"""Call to the health page of a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.http1.documents import whole_payload
from sesamepoint.http1.messages import RequestHead

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import ClientConn

STATUS_OK = 200


async def call_health_page(conn: ClientConn, address: Address, path: str) -> str:
    """Return why the health page does not report the runner at ``address`` healthy; empty if it does.

    Raises
    ------
    ConnBrokenError
        If the connection ended before the response, or its body is broken off.
    """
    head, body = await conn.exchange(RequestHead(b'GET', path.encode(), ((b'host', str(address).encode()),)))
    if head.status != STATUS_OK:
        return f'status {head.status}'
    whole_payload(body)
    return ''


__all__ = ('call_health_page',)
