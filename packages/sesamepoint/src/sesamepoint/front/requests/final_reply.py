"""Final reply to a request: the failure of its runner, or an error of this instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.body_end.decision import Complete
from sesamepoint.front.accounts.account_admission import deny
from sesamepoint.front.requests.attempt_results import RunFailed, Silent
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.job import RETRY_SOON_S
from sesamepoint.front.requests.retry_after import RETRY_ELSEWHERE_S
from sesamepoint.front.requests.request_end import failure_cause_of, may_relay_failure, refusal_reason
from sesamepoint.platform.headers import response_headers

if TYPE_CHECKING:
    from sesamepoint.front.requests.attempt_results import AttemptResult
    from sesamepoint.front.requests.job import Job

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


async def finish_reply(job: Job, outcome: AttemptResult | None) -> None:
    """Answer a request whose last attempt ended with ``outcome``, unless its answer has begun."""
    job.trace.cause = failure_cause_of(job, outcome)
    if job.reply.started:
        return
    if isinstance(outcome, RunFailed) and isinstance(outcome.end, Complete) and may_relay_failure(outcome.head):
        head = outcome.head
        await job.reply.relay_whole(head.status, response_headers(head, job.req.head.method), outcome.body, outcome.end)
    elif job.may_have_run:
        what = 'did not answer in time' if isinstance(outcome, Silent) else 'broke off'
        await job.reply.refuse(BAD_GATEWAY, f'its runner {what}; it may have run')
    elif job.access.denial:
        await deny(job)
    else:
        await job.reply.refuse(UNAVAILABLE, refusal_reason(job), job.retry_after_s)


async def reply_after_deadline(job: Job) -> None:
    """Answer a request whose deadline has passed, unless its answer has begun."""
    if job.access.cut_short and not job.access.denial:
        return await _reply_at_stop(job)
    if job.reply.started:
        job.trace.cause = FailureCause.answer_too_long
    elif job.may_have_run:
        job.trace.cause = FailureCause.no_answer_in_time
        await job.reply.refuse(GATEWAY_TIMEOUT, 'no answer in time; it may have run')
    elif job.access.denial:
        await deny(job)
    else:
        job.trace.cause = FailureCause.not_run_in_time
        await job.reply.refuse(UNAVAILABLE, 'no runner took it in time; it has not run', RETRY_SOON_S)
    return None


async def _reply_at_stop(job: Job) -> None:
    """Answer a request that this instance can't finish before its planned stop, unless its answer has begun."""
    job.trace.cause = FailureCause.instance_stopping
    if job.reply.started:
        return
    if job.may_have_run:
        await job.reply.refuse(GATEWAY_TIMEOUT, 'this instance is stopping; it may have run')
    else:
        await job.reply.refuse(UNAVAILABLE, 'this instance is stopping; it has not run', RETRY_ELSEWHERE_S)


__all__ = ('finish_reply', 'reply_after_deadline')
