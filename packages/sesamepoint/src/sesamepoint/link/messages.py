"""Typed messages between an instance and an agent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sesamepoint_core.plan.demand import OfferedDemand
from sesamepoint_core.route.load import UpstreamLoad


NEVER_ARRIVED = 'never_arrived'
DEADLINE_PASSED = 'deadline_passed'


class Job(NamedTuple):
    """The work of one request, as the agent passes it to its upstream.

    Parameters
    ----------
    kind
        Kind of the fleet that serves it: ``engine`` or ``plain``.
    method, path
        For plain services, method and path of the caller's request.
    body
        Body of the caller's request.
    prompt_tokens, output_tokens
        Length of the prompt and maximum length of the answer, in tokens.
    urgent
        Whether it belongs to the main class of requests, which has priority at the engine.
    prefix, prefix_tokens
        Name of the prompt's prefix that other prompts may share, and its length in tokens.
    """

    kind: str
    method: str
    path: str
    body: bytes
    prompt_tokens: int
    output_tokens: int
    urgent: bool
    prefix: str
    prefix_tokens: int


class RunRequest(NamedTuple):
    """Run an attempt, or resume its stream.

    Parameters
    ----------
    attempt
        Identity of the attempt.
    incarnation
        Incarnation of the agent that the attempt is meant for.
    from_chunk
        Number of the first chunk to send.
    resume
        Whether the attempt was sent before; it must not be started again.
    timeout_s
        Seconds left until the caller's deadline.
    job
        The work. A resume carries it too, since it is small compared with the answer.
    """

    attempt: str
    incarnation: str
    from_chunk: int
    resume: bool
    timeout_s: float
    job: Job


class AttemptOutcome(Enum):
    """How an attempt ended, as far as its agent knows."""

    answered = 'answered'
    not_started = 'not_started'
    failed = 'failed'
    cancelled = 'cancelled'
    unknown = 'unknown'


class FrameKind(Enum):
    """Type of a frame."""

    chunk = 'chunk'
    heartbeat = 'beat'
    end = 'end'


class CancelRequest(NamedTuple):
    """Stop an attempt."""

    attempt: str
    incarnation: str


class CancelReply(NamedTuple):
    """How the attempt ended."""

    outcome: AttemptOutcome


class BeatRequest(NamedTuple):
    """Heartbeat of an instance; the reply carries the load.

    Parameters
    ----------
    instance
        Incarnation of the instance that sends it.
    folded_offset
        Control log offset up to which the instance has applied records.
    offered_demand
        Demand of the instance's callers on the agent's fleet, per second.
    """

    instance: str
    folded_offset: int
    offered_demand: OfferedDemand


class LoadReport(NamedTuple):
    """Status of an agent; its load is as old as its upstream's last report.

    Parameters
    ----------
    runner, incarnation
        Name of the runner and incarnation of its agent.
    ready
        Whether the agent accepts new attempts.
    draining
        Whether the agent is draining before it stops.
    folded_offset
        Control log offset up to which the agent has applied records.
    offered_demand
        Sum of the demands that instances reported in their heartbeats.
    load
        Load that the upstream reported.
    """

    runner: str
    incarnation: str
    ready: bool
    draining: bool
    folded_offset: int
    offered_demand: OfferedDemand
    load: UpstreamLoad


class Frame(NamedTuple):
    """One message in the stream of an attempt.

    ``number`` counts chunks from 0; in the end frame it is the number of
    chunks. An end frame also carries the agent's load, so that the instance
    knows of busy runners without a call of its own.
    """

    kind: FrameKind
    number: int = 0
    payload: bytes = b''
    outcome: AttemptOutcome = AttemptOutcome.answered
    code: str = ''
    load: LoadReport | None = None


class SyncRequest(NamedTuple):
    """Request the control log records after an offset."""

    after: int


class SyncReply(NamedTuple):
    """Control log records with their offsets, in order and without a gap."""

    records: tuple[tuple[int, bytes], ...]


__all__ = (
    'DEADLINE_PASSED',
    'NEVER_ARRIVED',
    'AttemptOutcome',
    'BeatRequest',
    'CancelReply',
    'CancelRequest',
    'Frame',
    'FrameKind',
    'Job',
    'LoadReport',
    'RunRequest',
    'SyncReply',
    'SyncRequest',
)
