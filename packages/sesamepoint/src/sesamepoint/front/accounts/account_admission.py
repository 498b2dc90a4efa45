"""Admission of requests by client account, on arrival and again while they wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.serving.accounts import Admitted, Denied, admit
from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.platform.headers import with_account

if TYPE_CHECKING:
    from sesamepoint_core.serving.accounts import Admission, KeyFault
    from sesamepoint_core.serving.routes import Configuration, Route
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.requests.request import FrontRequest


def admission_of(cfg: Configuration, route: Route, req: FrontRequest) -> Admission:
    """Decide whether ``req`` may be served under ``cfg``, and for which account."""
    if cfg.accounts is None:
        return Admitted(None)
    return admit(cfg.accounts, req.key, public=route.public)


def assign_account(job: Job, cfg: Configuration, admission: Admitted) -> None:
    """Set the account that all sends of ``job`` name; its key is not sent."""
    if cfg.accounts is not None:
        job.access.account = admission.account
        job.req = with_account(job.req, admission.account)


def recheck_admission(job: Job, cfg: Configuration) -> None:
    """Check the admission of a waiting request again after a change of configuration.

    Its key may have been revoked, or given to another account, while it waits
    here for seconds. A request that may already run at a runner is allowed to
    finish there, but is not sent again.
    """
    admission = admission_of(cfg, job.route, job.req)
    if isinstance(admission, Denied):
        job.access.denial = admission.fault
        if not job.sends and not job.reply.started:
            job.access.scope.cancel()
    elif not job.sends:
        assign_account(job, cfg, admission)


async def deny(job: Job) -> None:
    """Deny an accepted request whose key no longer belongs to an account."""
    job.trace.cause = FailureCause.denied
    fault = job.access.denial
    if fault:
        log_denied(job.req, job.route, fault)
        await job.reply.deny(fault)


def log_denied(req: FrontRequest, route: Route, fault: KeyFault) -> None:
    """Log why a request is denied; the key is never logged."""
    events.log_event(events.REQUEST_DENIED, request=req.request_id, caller=req.caller, route=route.name, cause=fault)


__all__ = ('admission_of', 'assign_account', 'deny', 'log_denied', 'recheck_admission')
