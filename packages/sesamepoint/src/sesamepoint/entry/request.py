"""A caller's request after its checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from sesamepoint.link.messages import Job


class CallerRequest(NamedTuple):
    """What a caller wants, and by when.

    Parameters
    ----------
    fleet
        The fleet that serves it.
    job
        The work.
    timeout_s
        Seconds from its arrival to its deadline.
    repeatable
        Whether it may run more than once.
    key
        Idempotency key; empty if the caller sent none.
    account
        The client account it is counted against.
    streamed
        Whether chunks go out as they come; then no second run may start
        once one has gone out.
    """

    fleet: str
    job: Job
    timeout_s: float
    repeatable: bool
    key: str
    account: str
    streamed: bool


__all__ = ('CallerRequest',)
