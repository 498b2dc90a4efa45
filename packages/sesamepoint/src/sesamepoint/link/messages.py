"""Typed messages between an entry and an agent."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from sesamepoint_core.plan.demand import Offered
from sesamepoint_core.route.load import UpstreamLoad


NEVER_ARRIVED = 'never_arrived'
DEADLINE_PASSED = 'deadline_passed'


class Job(NamedTuple):
    """The work of one request, as the agent hands it to its upstream.

    Parameters
    ----------
    kind
        Which kind of fleet serves it: ``plan`` or ``plain_runner``.
    method, path
        For plain services, the call as the caller made it.
    body
        The caller's body.
    prompt_tokens, output_tokens
        Length of the prompt and the bound of the answer, in tokens.
    urgent
        Whether it belongs to the main job.
    prefix, prefix_tokens
        Name and length of the prompt's head that others may share.
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
    """Run an attempt, or go on listening to one.

    Parameters
    ----------
    attempt
        Identity of the attempt.
    incarnation
        The agent's incarnation that the entry means.
    from_chunk
        Number of the first chunk wanted.
    resume
        True when the attempt was sent before: it must not start anew.
    timeout_s
        Seconds left until the caller's deadline.
    job
        The work; on a resume too, since it is small beside the answer.
    """

    attempt: str
    incarnation: str
    from_chunk: int
    resume: bool
    timeout_s: float
    job: Job


class End(Enum):
    """How an attempt ended, as its agent knows it."""

    answered = 'answered'
    not_started = 'not_started'
    failed = 'failed'
    cancelled = 'cancelled'
    unknown = 'unknown'


class FrameKind(Enum):
    """What a frame carries."""

    chunk = 'chunk'
    beat = 'beat'
    end = 'end'


class CancelRequest(NamedTuple):
    """Stop an attempt."""

    attempt: str
    incarnation: str


class CancelReply(NamedTuple):
    """What the attempt had come to."""

    end: End


class BeatRequest(NamedTuple):
    """Ask for a sign of life and the load.

    Parameters
    ----------
    entry
        The incarnation that asks.
    folded
        Offset that it folded up to.
    offered
        What its callers asked of the agent's fleet, per second.
    """

    entry: str
    folded: int
    offered: Offered


class LoadReport(NamedTuple):
    """An agent's word, with a load as old as its upstream's own report.

    Parameters
    ----------
    runner, incarnation
        Who reports.
    ready
        Whether new work is taken.
    leaving
        Whether the agent was told to stop.
    folded
        Offset that the agent folded up to.
    offered
        Sum of what the entries that ask here were asked for.
    load
        The upstream's report.
    """

    runner: str
    incarnation: str
    ready: bool
    leaving: bool
    folded: int
    offered: Offered
    load: UpstreamLoad


class Frame(NamedTuple):
    """One message of an answer's stream.

    ``number`` counts chunks from 0; in the end frame it is their total. An
    end frame also carries the agent's load, so that busy runners are known
    without asking.
    """

    kind: FrameKind
    number: int = 0
    payload: bytes = b''
    end: End = End.answered
    code: str = ''
    load: LoadReport | None = None


class SyncRequest(NamedTuple):
    """Ask a peer for records after an offset."""

    after: int


class SyncReply(NamedTuple):
    """Records that a peer has, in order, without a hole."""

    records: tuple[tuple[int, bytes], ...]


__all__ = (
    'DEADLINE_PASSED',
    'NEVER_ARRIVED',
    'BeatRequest',
    'CancelReply',
    'CancelRequest',
    'End',
    'Frame',
    'FrameKind',
    'Job',
    'LoadReport',
    'RunRequest',
    'SyncReply',
    'SyncRequest',
)
