"""Send check: whether this instance may send something to a runner now, checked just before the send."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.errors import SesamepointError
from sesamepoint_core.registry import Registry
from sesamepoint.front.runner_words import RunnerWords

if TYPE_CHECKING:
    from sesamepoint_core.serving.suspects import Suspects
    from sesamepoint.front.job import Job
    from sesamepoint.front.member import Member
    from sesamepoint.front.runner_limits import RunnerLimits


class SendKind(StrEnum):
    """Kinds of messages to runners."""

    # First attempts, retries, resumed runs and probes.
    run = 'run'
    read_apart = 'read_apart'
    second_step = 'second_step'
    inventory = 'inventory'
    free_memory = 'free_memory'


class Purpose(NamedTuple):
    """Kind of a message, and the request of a caller that it serves, if any."""

    kind: SendKind
    job: Job | None = None


class Passage(NamedTuple):
    """A message that is about to be sent to a runner.

    Parameters
    ----------
    beside
        Other requests of this instance in progress at the runner.
    """

    member: Member
    purpose: Purpose
    beside: int


class GateClosedError(SesamepointError):
    """Nothing was sent, because the send check failed."""

    def __init__(self, runner: str, condition: str) -> None:
        """Name the runner and the condition that blocked the send."""
        self.condition = condition
        super().__init__(f'send to {runner} blocked ({condition})', 'choose another runner')


Condition = Callable[['Gate', Passage], bool]

CONDITIONS: Registry[Condition] = Registry('condition that blocks sends')


class Gate:
    """Checks each message to a runner once its connection is open, before the first byte is sent.

    Runner status changes while a request waits in a queue, for its prefill or for
    a connection, so a runner that was chosen earlier may no longer be eligible.
    """

    def __init__(self, words: RunnerWords, suspects: Suspects) -> None:
        """Check against the given runner status, and against the suspected poison requests in ``suspects``."""
        self.words = words
        self.suspects = suspects
        self._conditions = tuple((name, CONDITIONS.get(name)) for name in CONDITIONS)

    @classmethod
    def from_limits(cls, limits: RunnerLimits, suspects: Suspects) -> Gate:
        """Build the check of an instance without runner status so far, which keeps rate limits by ``limits``."""
        return cls(RunnerWords(limits), suspects)

    def closed_by(self, passage: Passage) -> str:
        """Return the name of a condition that blocks the message; empty if there is none."""
        return next((name for name, blocks in self._conditions if blocks(self, passage)), '')


@CONDITIONS.register('gone')
def _gone(gate: Gate, passage: Passage) -> bool:
    """Return whether the registration has been gone for too long, or the runner has restarted."""
    return passage.member.closed


@CONDITIONS.register('replaced')
def _replaced(gate: Gate, passage: Passage) -> bool:
    return passage.member.replaced


@CONDITIONS.register('resting')
def _resting(gate: Gate, passage: Passage) -> bool:
    """Return whether the runner asked for back-off, or has as many requests as it may right after one."""
    return passage.beside >= gate.words.belief_of(passage.member.start).room(trio.current_time())


@CONDITIONS.register('leaving')
def _leaving(gate: Gate, passage: Passage) -> bool:
    return passage.member.leaving


@CONDITIONS.register('limit')
def _limit(gate: Gate, passage: Passage) -> bool:
    """Return whether a rate limit leaves no token, or the runner never answered and so may yet report a limit."""
    limits, job = gate.words.limits, passage.purpose.job
    start = passage.member.start
    if job is None:
        # All tokens of a rate-limited runner go to requests of callers.
        return limits.limited(start)
    return passage.beside >= limits.room(passage.member) or not limits.has_permit(start, job)


@CONDITIONS.register('suspect')
def _suspect(gate: Gate, passage: Passage) -> bool:
    """Return whether the request has become suspect since the choice, and is not sent as a probe."""
    job = passage.purpose.job
    if job is None:
        return False
    suspects = gate.suspects
    return suspects.quarantined(job.content_id) or (suspects.needs_trial(job.content_id) and job.trial is None)


__all__ = ('CONDITIONS', 'Gate', 'GateClosedError', 'Passage', 'Purpose', 'SendKind')
