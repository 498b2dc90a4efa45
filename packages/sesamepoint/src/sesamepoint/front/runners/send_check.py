"""Send check: whether this instance may send something to a runner now, checked just before the send."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.registry import Registry
from sesamepoint.front.requests.arrivals import SendReason, Sent
from sesamepoint.front.runners.runner_limits import RunnerLimits
from sesamepoint.front.runners.runner_status import RunnerStatuses
from sesamepoint.front.runners.unread_sends import UnreadRegistry

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
    from sesamepoint.front.runners.known_runner import KnownRunner
    from sesamepoint.front.requests.job import Job


# Condition that blocks a check of a runner which a rate limit has no permit for.
NO_PERMIT_CONDITION = 'check_permit'
# Condition that blocks a send of a stream to a runner of another version.
ORIGIN_CONDITION = 'origin'


class SendKind(StrEnum):
    """Kinds of messages to runners."""

    # First attempts, retries, resumed runs and probes.
    run = 'run'
    remote_prefill = 'read_apart'
    remote_decode = 'second_step'
    inventory = 'inventory'
    free_memory = 'free_memory'
    health_call = 'health_call'
    report = 'report'


_REASON_BY_KIND: Mapping[SendKind, SendReason] = MappingProxyType(
    {SendKind.remote_prefill: SendReason.prefill, SendKind.remote_decode: SendReason.decode}
)


def _run_reason(job: Job) -> SendReason:
    if job.reply.started:
        return SendReason.resumption
    if job.arrivals.counted:
        return SendReason.retry
    return SendReason.probe if job.probe else SendReason.first


class SendPurpose(NamedTuple):
    """Kind of a message, and the request of a caller that it serves, if any."""

    kind: SendKind
    job: Job | None = None

    @property
    def latest_send(self) -> Sent | None:
        """Return the record of the latest send of the request; None without a request."""
        return None if self.job is None else self.job.arrivals.latest


def record_send(kind: SendKind, job: Job, runner: str) -> Sent:
    """Record that a request of a caller goes out to ``runner``."""
    reason = _REASON_BY_KIND.get(kind) or _run_reason(job)
    return job.arrivals.note(job.req.request_id, runner, reason)


class PendingSend(NamedTuple):
    """A message that is about to be sent to a runner.

    Parameters
    ----------
    other_requests
        Other requests of this instance in progress at the runner.
    """

    member: KnownRunner
    purpose: SendPurpose
    other_requests: int


class SendBlockedError(SesamepointError):
    """Nothing was sent, because the send check failed."""

    def __init__(self, runner: str, condition: str) -> None:
        """Name the runner and the condition that blocked the send."""
        self.condition = condition
        super().__init__(f'send to {runner} blocked ({condition})', 'choose another runner')


BlockCondition = Callable[['SendCheck', PendingSend], bool]

BLOCK_CONDITIONS: Registry[BlockCondition] = Registry('condition that blocks sends')


class SendCheck:
    """Checks each message to a runner once its connection is open, before the first byte is sent.

    Runner status changes while a request waits in a queue, for its prefill or for
    a connection, so a runner that was chosen earlier may no longer be eligible.
    """

    def __init__(self, runner_statuses: RunnerStatuses, suspects: CrashSuspects) -> None:
        """Check against the given runner status, and against the suspected poison requests in ``suspects``."""
        self.runner_statuses = runner_statuses
        self.suspects = suspects
        self.unread_sends = UnreadRegistry()
        self._conditions = tuple((name, BLOCK_CONDITIONS.get(name)) for name in BLOCK_CONDITIONS)

    @classmethod
    def from_limits(cls, limits: RunnerLimits, suspects: CrashSuspects) -> SendCheck:
        """Build the check of an instance without runner status so far, which keeps rate limits by ``limits``."""
        return cls(RunnerStatuses(limits), suspects)

    @classmethod
    def for_instance(cls, name: str, rng: Random, suspects: CrashSuspects) -> SendCheck:
        """Build the check of the instance called ``name``, without runner status and rate limits so far."""
        return cls.from_limits(RunnerLimits(name, rng), suspects)

    def blocked_by(self, pending_send: PendingSend) -> str:
        """Return the name of a condition that blocks the message; empty if there is none."""
        return next((name for name, blocks in self._conditions if blocks(self, pending_send)), '')


@BLOCK_CONDITIONS.register('gone')
def _is_gone(check: SendCheck, pending_send: PendingSend) -> bool:
    """Return whether the registration has been gone for too long, or the runner has restarted."""
    member = pending_send.member
    return member.closed or member.presence.gone(trio.current_time())


@BLOCK_CONDITIONS.register('unconfirmed')
def _is_unconfirmed(check: SendCheck, pending_send: PendingSend) -> bool:
    """Return whether the registration was removed and is back, and nothing shows yet that the runner serves."""
    if pending_send.purpose.kind is SendKind.health_call:
        return False
    return pending_send.member.presence.lapsed(trio.current_time())


@BLOCK_CONDITIONS.register('replaced')
def _is_replaced(check: SendCheck, pending_send: PendingSend) -> bool:
    return pending_send.member.replaced


@BLOCK_CONDITIONS.register('resting')
def _backs_off(check: SendCheck, pending_send: PendingSend) -> bool:
    """Return whether the runner asked for back-off, or has as many requests as it may right after one."""
    return pending_send.other_requests >= check.runner_statuses.status_of(
        pending_send.member.incarnation
    ).max_in_flight(trio.current_time())


@BLOCK_CONDITIONS.register('leaving')
def _is_draining(check: SendCheck, pending_send: PendingSend) -> bool:
    return pending_send.member.draining


@BLOCK_CONDITIONS.register('limit')
def _lacks_permit(check: SendCheck, pending_send: PendingSend) -> bool:
    """Return whether a rate limit leaves no token, or the runner never answered and so may yet report a limit."""
    limits, job = check.runner_statuses.limits, pending_send.purpose.job
    incarnation = pending_send.member.incarnation
    if job is None:
        # All tokens of a rate-limited runner go to requests of callers.
        return limits.limited(incarnation)
    return pending_send.other_requests >= limits.max_in_flight(pending_send.member) or not limits.has_permit(
        incarnation, job
    )


@BLOCK_CONDITIONS.register('suspect')
def _is_suspect(check: SendCheck, pending_send: PendingSend) -> bool:
    """Return whether the request has become suspect since the choice, and is not sent as a probe."""
    job = pending_send.purpose.job
    if job is None:
        return False
    suspects, parts = check.suspects, job.shared_parts
    if suspects.quarantined(job.content_id) or (suspects.quarantined_parts(parts) and not job.is_trial):
        return True
    return job.probe is None and (suspects.needs_probe(job.content_id) or bool(suspects.suspect_parts(parts)))


@BLOCK_CONDITIONS.register(ORIGIN_CONDITION)
def _has_other_origin(check: SendCheck, pending_send: PendingSend) -> bool:
    """Return whether the request goes on with a stream that runners of another version have begun."""
    job, member = pending_send.purpose.job, pending_send.member
    if job is None or job.stream.origin is None:
        return False
    return not member.of_origin(job.stream.origin)


__all__ = (
    'BLOCK_CONDITIONS',
    'NO_PERMIT_CONDITION',
    'ORIGIN_CONDITION',
    'PendingSend',
    'SendBlockedError',
    'SendCheck',
    'SendKind',
    'SendPurpose',
    'record_send',
)
