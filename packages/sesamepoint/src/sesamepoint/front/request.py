"""A caller's request after its checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint.http1.messages import RequestHead


class FrontRequest(NamedTuple):
    """What a caller wants, and by when.

    Parameters
    ----------
    head
        With the headers that are forwarded only.
    arrived
        On trio's clock.
    deadline_s
        Seconds after ``arrived`` until the caller leaves; None if unknown.
    """

    request_id: str
    host: str
    path: str
    head: RequestHead
    body: bytes
    arrived: float
    deadline_s: float | None
    prompt: Prompt | None


__all__ = ('FrontRequest',)
