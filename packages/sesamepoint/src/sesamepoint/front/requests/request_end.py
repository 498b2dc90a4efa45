"""End of a request: the cause of a failure, and the final log line."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.requests.attempt_results import Broken, Relayed, RunFailed, Silent
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.platform.headers import is_signed

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.requests.attempt_results import AttemptResult
    from sesamepoint.front.requests.job import Job
    from sesamepoint.http1.messages import ResponseHead

# Keys of prompt parts in one log line; prompts have two or three parts that others share.
MAX_LOGGED_PARTS = 8
# Statuses by which a caller may conclude that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_CAUSE_BY_OUTCOME: Mapping[type, FailureCause] = MappingProxyType(
    {RunFailed: FailureCause.runner_failed, Silent: FailureCause.silent}
)

_REASON_BY_CAUSE: Mapping[FailureCause, str] = MappingProxyType(
    {
        FailureCause.quarantined: 'its runners end under it',
        FailureCause.withdrawn: 'its runners end under it',
        FailureCause.instance_lag: 'this instance is busy',
        FailureCause.instance_stopping: 'this instance is stopping',
        FailureCause.origin_unknown: 'it is not known which version began the stream',
        FailureCause.origin_gone: 'no runner of the version that began the stream can go on',
    }
)


def refusal_reason(job: Job) -> str:
    """Return the text of the refusal of a request that was not run."""
    reason = _REASON_BY_CAUSE.get(job.trace.unsent_cause, 'no runner can take it now')
    return f'{reason}; it has not run'


def failure_cause_of(job: Job, outcome: AttemptResult | None) -> FailureCause:
    """Return why ``job`` ends without a complete answer; none if it was served."""
    if isinstance(outcome, Relayed):
        return FailureCause.none
    if job.reply.started:
        return _cause_in_answer(job, outcome)
    if job.trace.unsent_cause is FailureCause.withdrawn:
        return FailureCause.withdrawn
    if job.may_have_run:
        return _cause_of_run(outcome)
    return _cause_of_unsent(job)


def may_relay_failure(head: ResponseHead) -> bool:
    """Tell whether a runner's failure goes to the caller with its own status.

    A runner that answers with a status of a refusal, but doesn't report that the request has
    not run, may have run it. Its caller would send it again.
    """
    return is_signed(head) and head.status not in NOT_RUN_STATUSES


def log_request_end(job: Job, cfg: Configuration, took_s: float) -> None:
    """Write the final log line of a request."""
    trace = job.trace
    events.log_event(
        events.ANSWER_ENDED,
        request=job.req.request_id,
        caller=job.req.caller,
        account=job.access.account.name if job.access.account else '',
        content=job.content_id,
        parts=logged_parts(job),
        route=job.route.name,
        service=job.service,
        config_version=cfg.version,
        status=job.reply.status,
        unfinished=job.reply.unfinished or not job.reply.started,
        caller_end=job.reply.end_seen,
        refused=job.trace.refused,
        on_time=job.was_on_time(took_s),
        target_ms=whole_ms(job.route.target_s),
        deadline_ms=None if job.req.deadline_s is None else whole_ms(job.req.deadline_s),
        returned=job.caller_retry,
        sends=job.sends,
        runners=list(job.tried_runners),
        versions=trace.versions,
        **job.req.continuation.log_fields(),
        passed_over=sorted(trace.ineligible_runners),
        took_ms=whole_ms(took_s),
        first_total_ms=None if trace.first_output_at is None else whole_ms(trace.first_output_at - job.req.arrived_at),
        held_ms=whole_ms(trace.queued_s),
        prefill_ms=None if trace.prefill_s is None else whole_ms(trace.prefill_s),
        wait_expected_ms=None if trace.wait_expected_s is None else whole_ms(trace.wait_expected_s),
        need=trace.need,
        pause_ms=whole_ms(trace.longest_pause_s),
        pause_limit_ms=whole_ms(job.route.pause_s),
        cause=trace.cause,
        tokens=job.req.prompt.tokens if job.req.prompt else 0,
        answer_tokens=job.req.prompt.max_output if job.req.prompt else 0,
        **body_fields(job),
        **trace.decision,
    )


def logged_parts(job: Job) -> list[str]:
    """Return the keys of the first parts that other requests may share, for the log."""
    return [part.key for part in job.shared_parts[:MAX_LOGGED_PARTS]]


def body_fields(job: Job) -> dict[str, object]:
    """Return the log fields on the body of the latest answer; none if no body was read."""
    end = job.trace.body_end
    return {} if end is None else {**end.facts.log_fields(), 'body_end': end.tag}


def _cause_in_answer(job: Job, outcome: AttemptResult | None) -> FailureCause:
    if job.trace.unsent_cause is FailureCause.origin_gone:
        return FailureCause.origin_gone
    cause = _cause_of_run(outcome)
    return cause if cause is FailureCause.ended_early else FailureCause.cut_in_answer


def _cause_of_run(outcome: AttemptResult | None) -> FailureCause:
    if isinstance(outcome, Broken) and outcome.ended_early:
        return FailureCause.ended_early
    return _CAUSE_BY_OUTCOME.get(type(outcome), FailureCause.broken)


def _cause_of_unsent(job: Job) -> FailureCause:
    if job.trace.unsent_cause:
        return job.trace.unsent_cause
    if job.trace.refused:
        return FailureCause.refused
    return FailureCause.rejected_by_runners if job.sends else FailureCause.no_runner


__all__ = ('body_fields', 'failure_cause_of', 'log_request_end', 'logged_parts', 'may_relay_failure', 'refusal_reason')
