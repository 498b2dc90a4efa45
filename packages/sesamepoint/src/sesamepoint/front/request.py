"""A caller's request after its checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.accounts import ShownKey

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
    caller
        The address that it came from; empty if it is not known.
    deadline_s
        Seconds after ``arrived`` until the caller leaves; None if unknown.
    key
        What its caller shows; never the key itself.
    """

    request_id: str
    host: str
    path: str
    head: RequestHead
    body: bytes
    arrived: float
    deadline_s: float | None
    prompt: Prompt | None
    caller: str = ''
    key: ShownKey = ShownKey()

    def left_s(self, now: float) -> float | None:
        """Return the seconds that the caller has from ``now`` on; None if unknown."""
        return None if self.deadline_s is None else self.arrived + self.deadline_s - now


__all__ = ('FrontRequest',)
