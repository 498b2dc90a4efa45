"""Check of a runner's start before a request whose stream may go on elsewhere is sent there."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.requests.attempt_results import Unsent, Withheld
from sesamepoint.front.runners.incarnation_check import (
    RESTARTED_CONDITION,
    UNKNOWN_START_CONDITION,
    FarEnd,
    check_incarnation,
)
from sesamepoint.front.runners.send_check import ORIGIN_CONDITION
from sesamepoint.http1.messages import ConnBrokenError

if TYPE_CHECKING:
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.http1.client import ClientConn


class StartCheck(NamedTuple):
    """Result of the check.

    Parameters
    ----------
    known
        Whether the runner is the incarnation that its registration describes. If it is not known, a new stream is
        served, and nobody goes on with it.
    blocked
        Outcome of the attempt if nothing may be sent to the runner.
    """

    known: bool
    blocked: Unsent | Withheld | None = None


async def check_start(member: Member, conn: ClientConn, job: Job) -> StartCheck:
    """Find out whether the stream of ``job`` may begin or go on at the runner at the other end of ``conn``.

    Raises
    ------
    SendBlockedError
        If nothing may be sent to the runner for ``job``.
    """
    origin = job.stream.origin
    if origin and not member.of_origin(origin):
        return StartCheck(known=False, blocked=Withheld(ORIGIN_CONDITION))
    try:
        far_end = await check_incarnation(member, conn, job)
    except ConnBrokenError as exc:
        return StartCheck(known=False, blocked=Unsent(str(exc)))
    if far_end is FarEnd.other:
        return StartCheck(known=False, blocked=Withheld(RESTARTED_CONDITION))
    if far_end is FarEnd.unknown and origin:
        return StartCheck(known=False, blocked=Withheld(UNKNOWN_START_CONDITION))
    return StartCheck(known=far_end is FarEnd.expected)


__all__ = ('StartCheck', 'check_start')
