"""Check that a connection leads to the incarnation of a runner that its registration describes."""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.body_end.body_facts import BodyKind
from sesamepoint import events
from sesamepoint.front.fleet_health.health_pages import PageResult, ask_health_page
from sesamepoint.front.runners.send_check import NO_PERMIT_CONDITION, SendBlockedError, SendKind, SendPurpose
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.health_call import OTHER_RUNNER
from sesamepoint.platform.runner_report import read_start_ms

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.http1.client import ClientConn

# Condition that blocks a send to a runner that has restarted since its registration.
RESTARTED_CONDITION = 'restarted'
# Condition that blocks a stream that goes on from a runner whose start is not known.
UNKNOWN_START_CONDITION = 'unknown_start'
# Longest time in seconds for which the end of an answer waits for a runner's start: reports come within
# milliseconds, and do not wait for a slot.
START_CHECK_S = 0.1
# Longest time in seconds for which a request waits for it: a packet that is lost once is sent again after 0.2 s.
REPORT_TIMEOUT_S = 0.3
# Cause in log lines: the report of a runner has no start, or the runner answered with another status than 200.
NO_START_REPORTED = 'no start reported'
# Cause in log lines: no report came in time.
NO_REPORT = 'no report in time'


class FarEnd(Enum):
    """Which incarnation of a runner is at the other end of a connection.

    ``unknown``: its report has no start, or does not come in time.
    """

    expected = 'expected'
    other = 'other'
    unknown = 'unknown'


async def check_incarnation(member: Member, conn: ClientConn, job: Job | None) -> FarEnd:
    """Find out which incarnation of the runner of ``member`` is at the other end of ``conn``.

    A runner may restart under its key, at another version, while its registration
    is still that of before, as long as the store is down. A new connection then leads to the new
    incarnation, which accepts requests for its key, and its streams would be remembered under
    the version of before. A connection that has been checked belongs to one incarnation until it
    ends. Runners that don't register their start always start under another key.

    A report for ``job`` takes a permit of a rate limit, as a request does. A runner with a limit that was
    not asked went on with streams of its earlier version.

    Raises
    ------
    SendBlockedError
        If nothing may be sent to the runner for ``job``.
    ConnBrokenError
        If the connection broke.
    """
    born_ms = member.incarnation.born_ms
    if not born_ms or conn.incarnation_checked:
        return FarEnd.expected
    try:
        reported_ms = await _reported_start_ms(member, conn, job)
    except SendBlockedError as exc:
        if exc.condition != NO_PERMIT_CONDITION:
            raise
        _log_unknown(member, job, exc.condition)
        return FarEnd.unknown
    if not reported_ms:
        _log_unknown(member, job, NO_REPORT if reported_ms is None else NO_START_REPORTED)
        return FarEnd.unknown
    if reported_ms == born_ms:
        conn.incarnation_checked = True
        return FarEnd.expected
    events.log_event(
        events.OTHER_INCARNATION_REPORTED, runner=member.runner.key, born_ms=born_ms, reported_ms=reported_ms
    )
    member.note_restarted(reported_ms)
    return FarEnd.other


async def _reported_start_ms(member: Member, conn: ClientConn, job: Job | None) -> int | None:
    """Return the start that the runner reports, in milliseconds; 0 if it has none, None without a report in time."""
    admit = conn.admit
    conn.admit = member.admission_for(SendPurpose(SendKind.report, job))
    reported_ms: int | None = None
    try:
        with trio.move_on_after(REPORT_TIMEOUT_S):
            reported_ms = await read_start_ms(conn, member.runner.address)
    finally:
        conn.admit = admit
    return reported_ms


class SenderState(Enum):
    """What became of the process that sent an answer, after the end of that answer.

    ``unknown``: a process accepts connections at the address, and whether it is the sender is not known.
    """

    alive = 'alive'
    ended = 'ended'
    unknown = 'unknown'


async def sender_state(member: Member, since: float, job: Job | None, kind: BodyKind, *, silent: bool) -> SenderState:
    """Find out what became of the runner of ``member`` by what it does after ``since`` on trio's clock.

    An answer is not whole if its runner ended with it, planned or not: a runner that drains is gone at some time,
    with the answers that it still has. So the sender of a stream, and each runner that leaves, must show that it
    lives. The sender of a stream must not be another incarnation at the address, as after a freeze of this process
    or a cut.

    Parameters
    ----------
    silent
        Whether the answer was silent shortly before its end. Only then is a runner asked that registers no start: its
        health page names who listens, and is priced.
    """
    streamed = kind is BodyKind.events
    leaving = member.draining or not member.presence.registered
    if await member.has_ended(since, must_show_life=streamed or leaving):
        return SenderState.ended
    # A runner that drains or is no longer registered is not asked.
    if not streamed or leaving:
        return SenderState.alive
    if not member.incarnation.born_ms:
        return await _page_state(member, job) if silent else SenderState.alive
    with trio.move_on_after(START_CHECK_S):
        return await _start_state(member, job)
    _log_unknown(member, job, NO_REPORT)
    return SenderState.unknown


async def _page_state(member: Member, job: Job | None) -> SenderState:
    """Find out by the health page whether another runner listens at the address."""
    page = await ask_health_page(member, member.health_path)
    if page.cause == OTHER_RUNNER:
        events.log_event(
            events.OTHER_RUNNER_LISTENS, runner=member.runner.key, request=job.req.request_id if job else ''
        )
        return SenderState.ended
    if page.shown in {PageResult.unanswered, PageResult.unknown}:
        _log_unknown(member, job, page.cause)
        return SenderState.unknown
    return SenderState.alive


async def _start_state(member: Member, job: Job | None) -> SenderState:
    purpose = SendPurpose(SendKind.report, job)
    try:
        conn = await member.connection(purpose)
    except ConnectFailedError as exc:
        _log_unknown(member, job, str(exc))
        return SenderState.unknown
    try:
        far_end = await check_incarnation(member, conn, job)
    except (ConnBrokenError, SendBlockedError) as exc:
        _log_unknown(member, job, str(exc))
        return SenderState.unknown
    finally:
        member.release(conn)
    return _SENDER_STATES[far_end]


_SENDER_STATES: Mapping[FarEnd, SenderState] = MappingProxyType(
    {
        FarEnd.expected: SenderState.alive,
        FarEnd.other: SenderState.ended,
        FarEnd.unknown: SenderState.unknown,
    }
)


def _log_unknown(member: Member, job: Job | None, cause: str) -> None:
    events.log_event(
        events.START_UNKNOWN,
        runner=member.runner.key,
        request=job.req.request_id if job else '',
        born_ms=member.incarnation.born_ms,
        cause=cause,
    )


__all__ = (
    'RESTARTED_CONDITION',
    'START_CHECK_S',
    'UNKNOWN_START_CONDITION',
    'FarEnd',
    'SenderState',
    'check_incarnation',
    'sender_state',
)
