"""The decoded request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.serving.accounts import PresentedKey
from sesamepoint_core.stream_origin.continuation import Continuation

if TYPE_CHECKING:
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint.http1.messages import RequestHead


class FrontRequest(NamedTuple):
    """A valid request of a caller, with its deadline.

    Parameters
    ----------
    head
        Request head with only the headers to forward.
    arrived_at
        Time of arrival, on trio's clock.
    caller
        Address of the caller; empty if unknown.
    deadline_s
        Seconds from arrival until the caller disconnects; None if unknown.
    key
        Digest or fault of the key that the caller sent; never the key itself.
    continuation
        The stream of an earlier attempt that the caller wants to go on with.
    """

    request_id: str
    host: str
    path: str
    head: RequestHead
    body: bytes
    arrived_at: float
    deadline_s: float | None
    prompt: Prompt | None
    caller: str = ''
    key: PresentedKey = PresentedKey()
    continuation: Continuation = Continuation()

    def left_s(self, now: float) -> float | None:
        """Return the seconds from ``now`` until the deadline of the caller; None if unknown."""
        return None if self.deadline_s is None else self.arrived_at + self.deadline_s - now


__all__ = ('FrontRequest',)
