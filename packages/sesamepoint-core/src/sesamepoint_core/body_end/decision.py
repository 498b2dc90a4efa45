"""The decision whether a body is whole.

Framing holds for one hop. A connection that was closed in order marks the end of a body without a
length and without chunks, and says nothing about whether its sender was done. Passed on in
chunks, such a body would be marked as complete by an instance that doesn't know it. So nothing is
complete here but by this decision.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import ClassVar

from sesamepoint_core.body_end.body_facts import BodyFacts, BodyKind, Framing, ReadEnd


class BreakCause(Enum):
    """Why a body is not whole.

    ``connection``: it ended before the framing marked the end, or was reset.
    ``inside_event``: the body ended inside an event. ``event_too_long``: an event exceeds the limit.
    ``body_given_up``: a body that is read as a whole exceeds its limit of bytes or time.
    ``no_event``: a stream whose end is unmarked has no event. ``sender_ended``: the end is unmarked, and
    the process of the sender ended with it.
    """

    connection = 'connection'
    inside_event = 'inside_event'
    event_too_long = 'event_too_long'
    body_given_up = 'body_given_up'
    no_event = 'no_event'
    sender_ended = 'sender_ended'


@dataclass(frozen=True)
class Complete:
    """The body is whole. Only :func:`decide_end` and :func:`settle` create this."""

    tag: ClassVar[str] = 'complete'
    facts: BodyFacts


@dataclass(frozen=True)
class BrokenOff:
    """A part of the body is missing."""

    tag: ClassVar[str] = 'broken_off'
    facts: BodyFacts
    cause: BreakCause

    def __str__(self) -> str:
        """Describe it for log lines."""
        facts = self.facts
        return f'body broken off ({self.cause.value}, framing {facts.framing.value}, {facts.read_end.value})'


@dataclass(frozen=True)
class Unmarked:
    """The body ended with its connection, and nothing in it tells whether it is whole."""

    tag: ClassVar[str] = 'unmarked'
    facts: BodyFacts


BodyEnd = Complete | BrokenOff | Unmarked


def decide_end(facts: BodyFacts) -> BodyEnd:
    """Decide how a body ended.

    A reset is never a complete end, not even after all bytes: without a length and chunks nobody knows that these
    are all.
    """
    if facts.read_end is ReadEnd.given_up:
        is_stream = facts.kind is BodyKind.events
        return BrokenOff(facts, BreakCause.event_too_long if is_stream else BreakCause.body_given_up)
    closed_at_end = facts.read_end is ReadEnd.closed and facts.framing is Framing.until_close
    if facts.read_end is not ReadEnd.last_byte and not closed_at_end:
        return BrokenOff(facts, BreakCause.connection)
    if facts.left_over_bytes:
        return BrokenOff(facts, BreakCause.inside_event)
    return Unmarked(facts) if closed_at_end else Complete(facts)


def settle(end: Unmarked, *, sender_ended: bool) -> Complete | BrokenOff:
    """Decide on a body whose end is unmarked.

    Parameters
    ----------
    sender_ended
        Whether the sender's process has ended unplanned, as seen after the end of the body. It then broke off all
        its answers in progress, so that one which ended at this moment is hardly whole.
    """
    facts = end.facts
    if sender_ended:
        return BrokenOff(facts, BreakCause.sender_ended)
    if facts.kind is BodyKind.events and not facts.whole_events:
        return BrokenOff(facts, BreakCause.no_event)
    return Complete(facts)


__all__ = ('BodyEnd', 'BreakCause', 'BrokenOff', 'Complete', 'Unmarked', 'decide_end', 'settle')
