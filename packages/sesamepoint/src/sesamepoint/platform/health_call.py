"""Call to the health page of a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.http1.documents import whole_payload
from sesamepoint.http1.messages import RequestHead, header
from sesamepoint.platform import wire_names
from sesamepoint.platform.headers import reports_not_run

if TYPE_CHECKING:
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.http1.client import ClientConn

STATUS_OK = 200
# Cause if the page is that of another runner, which has the address now.
OTHER_RUNNER = 'another runner has its address'
# Cause if the runner rejects the call like any request, as when it is full.
REJECTED = 'call rejected'


async def call_health_page(conn: ClientConn, runner: Runner, path: str) -> str:
    """Return why the health page does not report ``runner`` healthy; empty if it does.

    Raises
    ------
    ConnBrokenError
        If the connection ended before the response, or its body is broken off.
    """
    head, body = await conn.exchange(RequestHead(b'GET', path.encode(), ((b'host', str(runner.address).encode()),)))
    answered_by = header(head.headers, wire_names.INCARNATION)
    if answered_by not in {None, runner.key.encode()}:
        return OTHER_RUNNER
    if reports_not_run(head):
        return REJECTED
    if head.status != STATUS_OK:
        return f'status {head.status}'
    whole_payload(body)
    return ''


__all__ = ('OTHER_RUNNER', 'REJECTED', 'call_health_page')
