"""Attempts of a request, their effect on the health of runners, and the rules for retries."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.routes import Repeat
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.attempt import Attempt, Target
from sesamepoint.front.cause import Cause
from sesamepoint.front.gate import Purpose, SendKind
from sesamepoint.front.runner_words import FROM_ANSWER
from sesamepoint.front.results import Broken, Rejected, Relayed, RunFailed, Silent, Unsent, Withheld
from sesamepoint.platform.headers import Sending

if TYPE_CHECKING:
    from sesamepoint.front.job import Job
    from sesamepoint.front.member import Member
    from sesamepoint.front.prefill import PrefillFailed
    from sesamepoint.front.results import AttemptResult

# Silence timeout after which a repeatable request goes to another runner: this
# many times the expected time, and at least this many seconds. Plain services
# answer in tens of milliseconds. Engines get more time: under load they are slower
# than estimated, and a move to another engine repeats the prefill.
PATIENCE_FACTOR = 3.0
MIN_PATIENCE_S = 0.4
ENGINE_PATIENCE_FACTOR = 4.0
MIN_ENGINE_PATIENCE_S = 1.2
# How often the send check of one request may fail after a runner was chosen. Runner
# status that changes more often than that is too unstable to choose by.
MAX_WITHHELD = 16


def patience_s(expected_s: float, *, engine: bool) -> float:
    """Return the silence timeout in seconds for a first output that is expected in ``expected_s``."""
    if engine:
        return max(MIN_ENGINE_PATIENCE_S, ENGINE_PATIENCE_FACTOR * expected_s)
    return max(MIN_PATIENCE_S, PATIENCE_FACTOR * expected_s)


def target_for(job: Job, member: Member, expected_s: float) -> Target:
    """Return ``member`` as the target of the next attempt.

    There is no silence timeout if no further attempt is allowed, because a
    silent runner may still be at work.
    """
    movable = repeatable(job) and job.sends + 1 < job.route.max_attempts
    allowed_s = patience_s(expected_s, engine=job.req.prompt is not None) if movable else math.inf
    sending = Sending(
        member.runner.key,
        job.left_s,
        job.priority,
        resume_after=job.reply.events.last_id if job.reply.begun else '',
    )
    return Target(member, sending, allowed_s, job.note_first, purpose=Purpose(SendKind.run, job))


async def attempt(job: Job, target: Target) -> AttemptResult:
    """Send ``job`` to ``target`` and record the outcome."""
    member = target.member
    job.tried[member.runner.key] = member.start
    job.sends += 1
    # Causes of an earlier wait must not be logged as the cause of a later failure.
    job.notes.refused = False
    job.notes.held_back = Cause.none
    ran_before = job.maybe_run
    job.maybe_run = True
    exchange = Attempt(job.req, target, job.reply, streamed=job.route.streamed)
    started = trio.current_time()
    job.notes.sent_at = started
    outcome = await exchange.run()
    if isinstance(outcome, RunFailed):
        # The runner has run the request, even if its answer is never relayed.
        job.note_run()
    if isinstance(outcome, Unsent | Rejected | Withheld):
        # An earlier attempt may have run, so the flag goes back to what it was.
        job.maybe_run = ran_before
    if isinstance(outcome, Withheld):
        job.sends -= 1
        note_withheld(job, target, outcome, started)
    else:
        _judge(job, target, outcome, started)
    return outcome


def note_withheld(job: Job, target: Target, became: Withheld, started: float) -> None:
    """Record that the send check blocked a send; the runner may be chosen again later."""
    member = target.member
    job.tried.pop(member.runner.key, None)
    job.notes.withheld += 1
    events.log_event(
        events.SEND_WITHHELD,
        condition=became.condition,
        kind=target.purpose.kind.value,
        **_send_fields(job, member, started),
    )


def note_unread(job: Job, member: Member, found: PrefillFailed, started: float) -> None:
    """Record that a remote prefill at ``member`` failed."""
    events.log_event(
        events.PREFILL_FAILED,
        cause=found.cause,
        **_send_fields(job, member, started),
    )
    if found.ended:
        job.ended.append(member.start)
    if found.replaced:
        member.note_replaced(FROM_ANSWER)
    elif member.rests:
        return
    elif not found.silent or not member.health.heard_since(started):
        note_failure(member, found.cause)


def note_failure(member: Member, cause: str, *, answered: bool = False) -> None:
    """Count a failure of ``member``, which may eject it for a time."""
    if member.health.bad(trio.current_time(), answered=answered):
        events.log_event(events.RUNNER_EJECTED, runner=member.runner.key, cause=cause)


def may_go_on(job: Job, found: AttemptResult) -> bool:
    """Return whether another attempt is allowed after this outcome."""
    if isinstance(found, Relayed) or job.sends >= job.route.max_attempts:
        return False
    if isinstance(found, Unsent | Rejected):
        return True
    if isinstance(found, Withheld):
        return job.notes.withheld < MAX_WITHHELD
    if job.reply.begun:
        return job.route.repeat is Repeat.resume and isinstance(found, Broken | Silent)
    return repeatable(job)


def repeatable(job: Job) -> bool:
    """Return whether the route allows the request to run more than once."""
    return job.route.repeat is not Repeat.never


def _send_fields(job: Job, member: Member, started: float) -> dict[str, object]:
    """Return the log fields that all failed sends share."""
    return {
        'request': job.req.request_id,
        'runner': member.runner.key,
        'content': job.content_id,
        'under_way_ms': whole_ms(trio.current_time() - started),
        'beside': member.in_flight,
    }


def _cause(became: AttemptResult) -> str:
    if isinstance(became, RunFailed):
        return f'status {became.head.status}'
    if isinstance(became, Rejected):
        return f'rejected with status {became.status}'
    return getattr(became, 'cause', became.tag)


def _judge(job: Job, target: Target, became: AttemptResult, started: float) -> None:
    member = target.member
    if isinstance(became, Relayed):
        member.health.good()
        return
    if isinstance(became, Unsent):
        job.sends -= 1
        member.health.unreached()
    if isinstance(became, Broken) and became.ended:
        job.ended.append(member.start)
    events.log_event(
        events.ATTEMPT_ENDED,
        outcome=became.tag,
        cause=_cause(became),
        **_send_fields(job, member, started),
        begun=job.reply.begun,
        resume_after=target.sending.resume_after,
        fetch_from=target.sending.fetch_from,
        kv_source=target.sending.kv_source,
    )
    if isinstance(became, Rejected) and became.replaced:
        member.note_replaced(FROM_ANSWER)
        return
    if isinstance(became, Rejected) and member.rests:
        # The runner asked for back-off and said for how long; that is no failure.
        return
    if isinstance(became, Silent) and member.health.heard_since(started):
        # The runner is busy, not dead: it has answered other requests since.
        return
    note_failure(member, became.tag, answered=isinstance(became, RunFailed))


__all__ = (
    'attempt',
    'may_go_on',
    'note_failure',
    'note_unread',
    'note_withheld',
    'patience_s',
    'repeatable',
    'target_for',
)
