"""Usage reports to the platform, sent by one instance at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sesamepoint.http1.messages import RequestHead
from sesamepoint.platform import wire_names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import ClientConn


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


def encode_usage(window: int, counts: Mapping[str, int]) -> bytes:
    """Encode the report on a window; equal counts give equal bytes."""
    return msgspec.json.encode(_Usage(window, dict(sorted(counts.items()))))


async def report_usage(conn: ClientConn, address: Address, holder: str, fencing_token: int, body: bytes) -> int:
    """Send a report and return the status of the response.

    Raises
    ------
    ConnBrokenError
        If there was no response; the report may have been accepted nevertheless.
    """
    headers = (
        (b'host', str(address).encode()),
        (wire_names.DUTY_HOLDER, holder.encode()),
        (wire_names.FENCING_TOKEN, str(fencing_token).encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    )
    reply, _ = await conn.exchange(RequestHead(b'POST', wire_names.USAGE_PATH.encode(), headers), body)
    return reply.status


__all__ = ('encode_usage', 'report_usage')
