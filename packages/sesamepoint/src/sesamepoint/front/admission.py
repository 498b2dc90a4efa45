"""Whose request it is, when it comes and for as long as it waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint_core.serving.accounts import Admitted, Denied, admit
from sesamepoint import events
from sesamepoint.front.cause import Cause
from sesamepoint.platform.headers import attributed

if TYPE_CHECKING:
    from sesamepoint_core.serving.accounts import Admission, KeyFault
    from sesamepoint_core.serving.routes import Configuration, Route
    from sesamepoint.front.job import Job
    from sesamepoint.front.request import FrontRequest


def admission_of(cfg: Configuration, route: Route, req: FrontRequest) -> Admission:
    """Tell whether ``req`` may be served under ``cfg``, and for which account."""
    if cfg.accounts is None:
        return Admitted(None)
    return admit(cfg.accounts, req.key, public=route.public)


def attribute(job: Job, cfg: Configuration, admission: Admitted) -> None:
    """Have all sends of ``job`` name its account; none bears its key."""
    if cfg.accounts is not None:
        job.standing.account = admission.account
        job.req = attributed(job.req, admission.account)


def admit_again(job: Job, cfg: Configuration) -> None:
    """Look at a request anew that came under an older configuration.

    Its key may have been taken, or given to another account, while it waits
    here for seconds. What may run at a runner ends whole, and is not sent again.
    """
    admission = admission_of(cfg, job.route, job.req)
    if isinstance(admission, Denied):
        job.standing.denied = admission.fault
        if not job.sends and not job.reply.begun:
            job.standing.scope.cancel()
    elif not job.sends:
        attribute(job, cfg, admission)


async def deny(job: Job) -> None:
    """Tell the caller of a request that was taken that its key is no account's any more."""
    job.notes.cause = Cause.denied
    fault = job.standing.denied
    if fault:
        log_denied(job.req, job.route, fault)
        await job.reply.deny(fault)


def log_denied(req: FrontRequest, route: Route, fault: KeyFault) -> None:
    """Write the line that tells why a request is denied; the key is in no line."""
    events.log_event(events.REQUEST_DENIED, request=req.request_id, caller=req.caller, route=route.name, cause=fault)


__all__ = ('admission_of', 'admit_again', 'attribute', 'deny', 'log_denied')
