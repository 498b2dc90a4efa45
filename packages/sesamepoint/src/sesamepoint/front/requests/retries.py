"""Attempts of a request, their effect on the health of runners, and the rules for retries."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.requests.attempt import Attempt
from sesamepoint.front.requests.target import Target
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.sent_runner import SentRunner
from sesamepoint.front.requests.request_end import body_fields, logged_parts
from sesamepoint.front.runners.incarnation_check import UNKNOWN_START_CONDITION
from sesamepoint.front.runners.send_check import SendKind, SendPurpose
from sesamepoint.front.runners.status_sources import FROM_ANSWER
from sesamepoint.front.requests.attempt_results import Broken, Rejected, Relayed, RunFailed, Silent, Unsent, Withheld
from sesamepoint.platform.headers import AttemptHeaders

if TYPE_CHECKING:
    from sesamepoint.front.requests.attempt_results import AttemptResult
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.engines.prefill import PrefillFailed

# Silence timeout after which a repeatable request goes to another runner: this
# many times the expected time, and at least this many seconds. Plain services
# answer in tens of milliseconds. Engines get more time: under load they are slower
# than estimated, and a move to another engine repeats the prefill.
SILENCE_TIMEOUT_FACTOR = 3.0
MIN_SILENCE_TIMEOUT_S = 0.4
ENGINE_SILENCE_TIMEOUT_FACTOR = 4.0
MIN_ENGINE_SILENCE_TIMEOUT_S = 1.2
# How often the send check of one request may fail after a runner was chosen. Runner
# status that changes more often than that is too unstable to choose by.
MAX_WITHHELD_SENDS = 16


def silence_timeout_s(expected_s: float, *, engine: bool, slowness: float = 1.0) -> float:
    """Return the silence timeout in seconds for a first output that is expected in ``expected_s``.

    Parameters
    ----------
    slowness
        Ratio of the engine's times to those of its service; ``expected_s`` includes it already.
    """
    if engine:
        return max(MIN_ENGINE_SILENCE_TIMEOUT_S * slowness, ENGINE_SILENCE_TIMEOUT_FACTOR * expected_s)
    return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * expected_s)


def target_for(job: Job, member: Member, expected_s: float) -> Target:
    """Return ``member`` as the target of the next attempt.

    There is no silence timeout if no further attempt is allowed, because a
    silent runner may still be at work.
    """
    movable = repeatable(job) and job.sends + 1 < job.route.max_attempts
    allowed_s = math.inf
    if movable:
        is_engine = job.req.prompt is not None
        allowed_s = silence_timeout_s(expected_s, engine=is_engine, slowness=member.health.slowness)
    sending = AttemptHeaders(
        member.runner.key,
        job.left_s,
        job.priority,
        resume_after=job.reply.events.last_event_id if job.reply.started else '',
    )
    return Target(member, sending, allowed_s, job.note_first_output, purpose=SendPurpose(SendKind.run, job))


async def run_attempt(job: Job, target: Target) -> AttemptResult:
    """Send ``job`` to ``target`` and record the outcome."""
    member = target.member
    job.note_sent_to(member.runner, member.incarnation)
    job.sends += 1
    job.trace.versions.append(member.runner.software_version)
    # Causes of an earlier wait must not be logged as the cause of a later failure.
    job.trace.refused = False
    job.trace.unsent_cause = FailureCause.none
    ran_before = job.may_have_run
    job.may_have_run = True
    exchange = Attempt(job.req, target, job.reply, streamed=job.route.streamed)
    started = trio.current_time()
    first_send = not job.trace.sent_at
    job.trace.sent_at = started
    if job.access.on_first_send is not None and first_send:
        job.access.on_first_send()
    exchange.patience.on_silence = partial(_note_silence, member, started)
    exchange.patience.may_move = job.access.may_move
    outcome: AttemptResult | None = None
    try:
        outcome = await exchange.run()
    finally:
        job.trace.answer_bytes = exchange.answer_bytes
        if outcome is None:
            _note_unfinished(job, member, started)
    job.trace.body_end = exchange.body_end
    if isinstance(outcome, RunFailed):
        # The runner has run the request, even if its answer is never relayed.
        job.note_run_started()
    if isinstance(outcome, Unsent | Rejected | Withheld):
        # An earlier attempt may have run, so the flag goes back to what it was.
        job.may_have_run = ran_before
    if isinstance(outcome, Withheld):
        _uncount_send(job)
        note_withheld(job, target, outcome, started)
    else:
        _note_outcome(job, target, outcome, started)
    return outcome


def note_withheld(job: Job, target: Target, outcome: Withheld, started: float) -> None:
    """Record that the send check blocked a send; the runner may be chosen again later."""
    member = target.member
    if outcome.condition != UNKNOWN_START_CONDITION:
        # A runner that does not report its start would not do so the next time either.
        job.tried_runners.pop(member.runner.key, None)
    job.trace.withheld_sends += 1
    events.log_event(
        events.SEND_NOT_ADMITTED,
        condition=outcome.condition,
        kind=target.purpose.kind.value,
        **_send_fields(job, member, started),
    )


def note_prefill_failure(job: Job, member: Member, failure: PrefillFailed, started: float) -> None:
    """Record that a remote prefill at ``member`` failed."""
    events.log_event(
        events.PREFILL_FAILED,
        cause=failure.cause,
        **_send_fields(job, member, started),
    )
    if failure.ended:
        job.ended_runners.append(SentRunner(member.incarnation, member.runner.software_version))
    if failure.replaced:
        member.note_replaced(FROM_ANSWER)
    elif failure.local or member.backing_off:
        return
    elif not failure.timed_out or not member.health.active_since(started):
        note_failure(member, failure.cause, started)


def note_failure(member: Member, cause: str, sent_at: float, *, answered: bool = False) -> None:
    """Count a failure of a request sent to ``member`` at ``sent_at``, which may eject it for a time."""
    if member.health.note_failure(trio.current_time(), answered=answered, sent_at=sent_at):
        _log_ejection(member, cause)


def may_retry(job: Job, outcome: AttemptResult) -> bool:
    """Return whether another attempt is allowed after this outcome."""
    if isinstance(outcome, Relayed) or _is_local(outcome) or job.sends >= job.route.max_attempts:
        return False
    if isinstance(outcome, Unsent | Rejected):
        return True
    if isinstance(outcome, Withheld):
        return job.trace.withheld_sends < MAX_WITHHELD_SENDS
    if job.reply.started:
        return _may_resume(job) and isinstance(outcome, Broken | Silent)
    return repeatable(job)


def _may_resume(job: Job) -> bool:
    """Return whether another runner may go on: not without an event id, nor for a runner whose version is unknown."""
    origin = job.stream.origin
    return origin is not None and origin.known and bool(job.reply.events.last_event_id)


def repeatable(job: Job) -> bool:
    """Return whether the route allows the request to run more than once."""
    return job.route.repeat is not RepeatPolicy.never


def _send_fields(job: Job, member: Member, started: float) -> dict[str, object]:
    """Return the log fields that all failed sends share."""
    return {
        'request': job.req.request_id,
        'runner': member.runner.key,
        'content': job.content_id,
        'parts': logged_parts(job),
        'under_way_ms': whole_ms(trio.current_time() - started),
        'beside': member.in_flight,
    }


def _uncount_send(job: Job) -> None:
    job.sends -= 1
    job.trace.versions.pop()


def _cause_of(outcome: AttemptResult) -> str:
    if isinstance(outcome, RunFailed):
        return f'status {outcome.head.status}'
    if isinstance(outcome, Rejected):
        return f'rejected with status {outcome.status}'
    return getattr(outcome, 'cause', outcome.tag)


def _note_outcome(job: Job, target: Target, outcome: AttemptResult, started: float) -> None:
    member = target.member
    if isinstance(outcome, Relayed):
        _note_whole(job, member, started)
        return
    if isinstance(outcome, Unsent):
        _uncount_send(job)
        member.health.note_connect_failure(local=outcome.local)
    if isinstance(outcome, Broken | RunFailed) and outcome.runner_ended:
        job.ended_runners.append(SentRunner(member.incarnation, member.runner.software_version))
    events.log_event(
        events.ATTEMPT_ENDED,
        outcome=outcome.tag,
        cause=_cause_of(outcome),
        **_send_fields(job, member, started),
        begun=job.reply.started,
        resume_after=target.sending.resume_after,
        fetch_from=target.sending.fetch_from,
        kv_source=target.sending.kv_source,
        **body_fields(job),
    )
    if isinstance(outcome, Rejected) and outcome.runner_replaced:
        member.note_replaced(FROM_ANSWER)
        return
    if _is_local(outcome) or _is_no_failure(outcome, member, started):
        return
    if isinstance(outcome, Rejected):
        _note_rejection(member, started)
        return
    early_end = outcome.end if isinstance(outcome, Broken) and outcome.ended_early else None
    tag = early_end.cause.value if early_end else outcome.tag
    note_failure(member, tag, started, answered=isinstance(outcome, RunFailed))


def _note_whole(job: Job, member: Member, started: float) -> None:
    member.health.note_success(trio.current_time(), started)
    if job.access.answer_sizes is not None:
        job.access.answer_sizes.note_whole(job.route.name, job.trace.answer_bytes)


def _note_unfinished(job: Job, member: Member, started: float) -> None:
    """Count an answer that its runner sends on and on, until the time of the request is over, as a failure."""
    sizes = job.access.answer_sizes
    if (
        sizes is None
        or job.access.cut_short
        or trio.current_time() < job.deadline
        or not sizes.is_endless(job.route.name, job.trace.answer_bytes)
    ):
        return
    events.log_event(
        events.ANSWER_WITHOUT_END,
        answer_bytes=job.trace.answer_bytes,
        route=job.route.name,
        **_send_fields(job, member, started),
    )
    note_failure(member, 'answer without end', started, answered=True)


def _note_silence(member: Member, started: float) -> None:
    """Count a silent runner as failing, unless it has answered other requests since: then it is busy, not dead."""
    if not member.health.active_since(started):
        note_failure(member, Silent.tag, started)


def _note_rejection(member: Member, sent_at: float) -> None:
    if member.health.note_rejection(trio.current_time(), sent_at):
        _log_ejection(member, Rejected.tag)


def _log_ejection(member: Member, cause: str) -> None:
    health = member.health
    now = trio.current_time()
    events.log_event(
        events.RUNNER_EJECTED,
        runner=member.runner.key,
        cause=cause,
        reporters=health.evidence.reporters(now),
        failure_share=round(health.failures.recent, 3),
        retry_s=round(health.half_open.retry_at - now, 3),
    )


def _is_local(outcome: AttemptResult) -> bool:
    """Return whether a limit of this process ended the attempt, so that its runner is not to blame."""
    return isinstance(outcome, Unsent) and outcome.local


def _is_no_failure(outcome: AttemptResult, member: Member, started: float) -> bool:
    if isinstance(outcome, Rejected):
        # The runner asked for back-off and said for how long.
        return member.backing_off
    # A runner that has answered other requests since is busy, not dead.
    return isinstance(outcome, Silent) and (outcome.counted or member.health.active_since(started))


__all__ = (
    'may_retry',
    'note_failure',
    'note_prefill_failure',
    'note_withheld',
    'repeatable',
    'run_attempt',
    'silence_timeout_s',
    'target_for',
)
