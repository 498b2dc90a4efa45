"""Calls to the platform that are one instance's duty at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sesamepoint.http1.messages import RequestHead
from sesamepoint.platform import names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import ClientConn


class _Usage(msgspec.Struct):
    window: int
    counts: dict[str, int]


def encode_usage(window: int, counts: Mapping[str, int]) -> bytes:
    """Return the report on a window: the same bytes for the same counts."""
    return msgspec.json.encode(_Usage(window, dict(sorted(counts.items()))))


async def report_usage(conn: ClientConn, address: Address, holder: str, fence: int, body: bytes) -> int:
    """Send a report and return the status of the answer.

    Raises
    ------
    ConnBrokenError
        If none came; the report may have been taken.
    """
    headers = (
        (b'host', str(address).encode()),
        (names.DUTY_HOLDER, holder.encode()),
        (names.FENCING_NUMBER, str(fence).encode()),
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
    )
    reply, _ = await conn.ask(RequestHead(b'POST', names.USAGE_PATH.encode(), headers), body)
    return reply.status


__all__ = ('encode_usage', 'report_usage')
