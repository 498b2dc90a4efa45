"""Health pages of runners, and what their answers show."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.front.runners.send_check import SendBlockedError, SendKind, SendPurpose
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform import health_call

if TYPE_CHECKING:
    from sesamepoint.front.runners.fleet_member import Member

# Health pages answer within some milliseconds.
CALL_TIMEOUT_S = 0.3
PURPOSE = SendPurpose(SendKind.health_call)
NO_ANSWER = 'no answer in time'
NO_PAGE = 'no health page'


class PageResult(Enum):
    """What the health page of a runner shows.

    ``unhealthy``: the runner itself says so, or another one has its address; ``unanswered``: no answer, or the call
    was rejected; ``unknown``: it was not called.
    """

    healthy = 'healthy'
    unhealthy = 'unhealthy'
    unanswered = 'unanswered'
    unknown = 'unknown'


class PageAnswer(NamedTuple):
    """What a call showed, and its cause unless the runner is healthy."""

    shown: PageResult
    cause: str = ''


async def ask_health_page(member: Member, path: str) -> PageAnswer:
    """Call the health page at ``path`` of a runner; an empty path means that its service has none."""
    if not path:
        return PageAnswer(PageResult.unknown, NO_PAGE)
    found = PageAnswer(PageResult.unanswered, NO_ANSWER)
    with trio.move_on_after(CALL_TIMEOUT_S):
        found = await _call(member, path)
    return found


async def _call(member: Member, path: str) -> PageAnswer:
    try:
        conn = await member.connection(PURPOSE)
    except ConnectFailedError as exc:
        return PageAnswer(PageResult.unanswered, str(exc))
    try:
        cause = await health_call.call_health_page(conn, member.runner, path)
    except ConnBrokenError as exc:
        return PageAnswer(PageResult.unanswered, str(exc))
    except SendBlockedError as exc:
        # Nothing was sent, as to a runner with a rate limit.
        return PageAnswer(PageResult.unknown, exc.condition)
    finally:
        member.release(conn)
    if cause == health_call.REJECTED:
        return PageAnswer(PageResult.unanswered, cause)
    return PageAnswer(PageResult.unhealthy, cause) if cause else PageAnswer(PageResult.healthy)


__all__ = ('PageAnswer', 'PageResult', 'ask_health_page')
