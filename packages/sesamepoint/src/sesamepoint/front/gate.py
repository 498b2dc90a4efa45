"""The last question before anything goes to a runner: may this instance send it there now?"""

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
    """All kinds of messages that runners get."""

    # First sends, retries, resumed runs and trials.
    run = 'run'
    read_apart = 'read_apart'
    second_step = 'second_step'
    inventory = 'inventory'
    free_memory = 'free_memory'


class Purpose(NamedTuple):
    """What is to be sent, and for which request of a caller, if for one."""

    kind: SendKind
    job: Job | None = None


class Passage(NamedTuple):
    """Something that is about to be sent.

    Parameters
    ----------
    beside
        Requests of this instance that are under way at the runner besides it.
    """

    member: Member
    purpose: Purpose
    beside: int


class GateClosedError(SesamepointError):
    """Nothing was sent: the runner may not have it now."""

    def __init__(self, runner: str, condition: str) -> None:
        """Name the runner and the condition that closes the gate to it."""
        self.condition = condition
        super().__init__(f'nothing may be sent to {runner} now ({condition})', 'another runner is chosen')


Condition = Callable[['Gate', Passage], bool]

CONDITIONS: Registry[Condition] = Registry('condition that closes the gate')


class Gate:
    """Asked last by all that is sent to runners, when its connection is there and no byte has gone.

    Beliefs change while a request waits for its turn, for its prompt to be read or for
    a connection, so that a choice made a moment ago may not hold any more.
    """

    def __init__(self, words: RunnerWords, suspects: Suspects) -> None:
        """Decide by what is believed in ``words``, and of requests that may end runners in ``suspects``."""
        self.words = words
        self.suspects = suspects
        self._conditions = tuple((name, CONDITIONS.get(name)) for name in CONDITIONS)

    @classmethod
    def from_limits(cls, limits: RunnerLimits, suspects: Suspects) -> Gate:
        """Build the gate of an instance that believes nothing yet, and keeps limits by ``limits``."""
        return cls(RunnerWords(limits), suspects)

    def closed_by(self, passage: Passage) -> str:
        """Return the name of a condition that keeps ``passage`` from being sent; empty if there is none."""
        return next((name for name, closes in self._conditions if closes(self, passage)), '')


@CONDITIONS.register('gone')
def _gone(gate: Gate, passage: Passage) -> bool:
    """Its registration vanished too long ago, or it has started again."""
    return passage.member.closed


@CONDITIONS.register('replaced')
def _replaced(gate: Gate, passage: Passage) -> bool:
    return passage.member.replaced


@CONDITIONS.register('resting')
def _resting(gate: Gate, passage: Passage) -> bool:
    """It wants nothing from this instance, or no more at a time so soon after."""
    return passage.beside >= gate.words.belief_of(passage.member.start).room(trio.current_time())


@CONDITIONS.register('leaving')
def _leaving(gate: Gate, passage: Passage) -> bool:
    return passage.member.leaving


@CONDITIONS.register('limit')
def _limit(gate: Gate, passage: Passage) -> bool:
    """It names a limit and there is no permit, or has never answered and may name one."""
    limits, job = gate.words.limits, passage.purpose.job
    start = passage.member.start
    if job is None:
        # Besides requests of callers it gets nothing: what it takes is theirs.
        return limits.limited(start)
    return passage.beside >= limits.room(passage.member) or not limits.has_permit(start, job)


@CONDITIONS.register('suspect')
def _suspect(gate: Gate, passage: Passage) -> bool:
    """Runners have ended under the request since it was chosen, and it is not sent alone."""
    job = passage.purpose.job
    if job is None:
        return False
    suspects = gate.suspects
    return suspects.quarantined(job.content_id) or (suspects.needs_trial(job.content_id) and job.trial is None)


__all__ = ('CONDITIONS', 'Gate', 'GateClosedError', 'Passage', 'Purpose', 'SendKind')
