"""Validated request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sesamepoint.link.messages import Job


class CallerRequest(NamedTuple):
    """Validated request of a caller, with its deadline.

    Parameters
    ----------
    fleet
        The fleet that serves it.
    job
        The work to send to a runner.
    timeout_s
        Seconds from the arrival of the request to its deadline.
    repeatable
        Whether the request may run more than once.
    key
        Idempotency key; empty if the caller sent none.
    account
        The client account whose rate limit applies.
    streamed
        Whether chunks are sent to the caller as they arrive; if so, no second
        run may start after the first chunk was sent.
    """

    fleet: str
    job: Job
    timeout_s: float
    repeatable: bool
    key: str
    account: str
    streamed: bool


__all__ = ('CallerRequest',)
