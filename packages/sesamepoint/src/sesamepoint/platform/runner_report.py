"""Call for the report of a runner on itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sesamepoint_core.body_end.body_facts import BodyKind
from sesamepoint_core.body_end.decision import Complete
from sesamepoint_core.decoding import UndecodableError, decode_json
from sesamepoint_core.serving.runner import StartMs
from sesamepoint.http1.messages import ConnBrokenError, RequestHead
from sesamepoint.platform.wire_names import REPORT_PATH

if TYPE_CHECKING:
    from sesamepoint_core.serving.address import Address
    from sesamepoint.http1.client import ClientConn

STATUS_OK = 200


class _Report(msgspec.Struct):
    # Start time of the runner's incarnation; not all deployments send it.
    born: StartMs = 0


async def read_start_ms(conn: ClientConn, address: Address) -> int:
    """Return the start time that the runner at the other end of ``conn`` reports, in milliseconds; 0 if it has none.

    Raises
    ------
    ConnBrokenError
        If the connection ended before the response, or in the report.
    """
    head, body = await conn.exchange(RequestHead(b'GET', REPORT_PATH.encode(), ((b'host', str(address).encode()),)))
    if head.status != STATUS_OK:
        return 0
    end = body.end(BodyKind.document)
    try:
        return decode_json(body.payload, _Report).born
    except UndecodableError as exc:
        if isinstance(end, Complete):
            # Some services have another page there.
            return 0
        raise ConnBrokenError(f'report broken off ({exc})', body.read_end) from exc


__all__ = ('read_start_ms',)
