"""End of a request: the cause of a failure, and the final log line."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.cause import Cause
from sesamepoint.front.results import Relayed, RunFailed, Silent

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.job import Job
    from sesamepoint.front.results import AttemptResult

_CAUSE_OF_RUN: Mapping[type, Cause] = MappingProxyType({RunFailed: Cause.runner_failed, Silent: Cause.silent})


def cause_of(job: Job, found: AttemptResult | None) -> Cause:
    """Return why ``job`` ends without a complete answer; none if it was served."""
    if isinstance(found, Relayed):
        return Cause.none
    if job.reply.begun:
        return Cause.cut_in_answer
    if job.maybe_run:
        return _CAUSE_OF_RUN.get(type(found), Cause.broken)
    return _cause_unsent(job)


def log_end(job: Job, cfg: Configuration, took_s: float) -> None:
    """Write the final log line of a request."""
    trace = job.notes
    events.log_event(
        events.ANSWER_ENDED,
        request=job.req.request_id,
        caller=job.req.caller,
        account=job.standing.account.name if job.standing.account else '',
        content=job.content_id,
        route=job.route.name,
        config_version=cfg.version,
        status=job.reply.status,
        unfinished=job.reply.unfinished or not job.reply.begun,
        refused=job.notes.refused,
        on_time=job.was_on_time(took_s),
        target_ms=whole_ms(job.route.target_s),
        deadline_ms=None if job.req.deadline_s is None else whole_ms(job.req.deadline_s),
        returned=job.returned,
        sends=job.sends,
        runners=sorted(job.tried),
        passed_over=sorted(trace.passed_over),
        took_ms=whole_ms(took_s),
        first_total_ms=None if trace.first_at is None else whole_ms(trace.first_at - job.req.arrived),
        held_ms=whole_ms(trace.held_s),
        prefill_ms=None if trace.prefill_s is None else whole_ms(trace.prefill_s),
        wait_expected_ms=None if trace.wait_expected_s is None else whole_ms(trace.wait_expected_s),
        need=trace.need,
        pause_ms=whole_ms(trace.longest_pause_s),
        pause_limit_ms=whole_ms(job.route.pause_s),
        cause=trace.cause,
        tokens=job.req.prompt.tokens if job.req.prompt else 0,
        answer_tokens=job.req.prompt.max_output if job.req.prompt else 0,
        **trace.decision,
    )


def _cause_unsent(job: Job) -> Cause:
    if job.notes.held_back:
        return job.notes.held_back
    if job.notes.refused:
        return Cause.refused
    return Cause.turned_away if job.sends else Cause.no_runner


__all__ = ('cause_of', 'log_end')
