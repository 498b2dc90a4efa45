"""What entries tell each other of requests that may end runners."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec
import trio

from sesamepoint_core.runner_words.texts import LONGEST_REST_S
from sesamepoint_core.serving.suspects import Name, Start
from sesamepoint import events
from sesamepoint.front.trials import Trial, TrialState

if TYPE_CHECKING:
    from collections.abc import Sequence

# What happened within this time goes together, in seconds: with a runner many
# requests end at once.
GATHER_S = 0.002
# Rows in one datagram, so that it is one packet.
MAX_ROWS = 24
# Notices that wait to be told; more only pile up while a link is full.
MAX_WAITING = 6144
# No configuration has more versions than this.
MAX_VERSION = 1_000_000_000_000
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
# Nothing is told of what was found out longer ago than this, in seconds.
MAX_AGE_S = 3600
AgeS = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]
RestS = Annotated[float, msgspec.Meta(ge=0, le=LONGEST_REST_S)]


class VersionNote(msgspec.Struct, frozen=True, array_like=True, tag='version'):
    """The version of the configuration that is in force at an entry; 0 if none is."""

    entry: str
    version: Version


class RunnerFact(StrEnum):
    """What an entry may find out about a runner from one answer."""

    # It answered that it is not the one that has registered its address.
    replaced = 'replaced'
    leaving = 'leaving'
    # It turned the entry away and wants nothing from it for a while.
    resting = 'resting'


class RunnerNote(msgspec.Struct, frozen=True, array_like=True, tag='runner'):
    """A fact about a runner that ``entry`` learned from an answer ``age_s`` seconds before.

    ``rest_s`` is for how long it wants rest, if that is the fact.
    """

    entry: str
    start: Start
    fact: RunnerFact
    age_s: AgeS = 0
    rest_s: RestS = 0


class EndNote(NamedTuple):
    """A runner ended under a request."""

    content_id: Name
    start: Start


class TrialNote(NamedTuple):
    """How far a trial of the entry that tells is."""

    trial: Trial
    state: TrialState


class Notice(msgspec.Struct, frozen=True, array_like=True, tag='notice'):
    """What one entry tells the others at a time.

    Parameters
    ----------
    served
        Requests that were suspect and have been answered whole.
    quarantined
        Requests that ended a runner on which they ran alone.
    """

    entry: str
    ends: tuple[EndNote, ...] = ()
    trials: tuple[TrialNote, ...] = ()
    served: tuple[Name, ...] = ()
    quarantined: tuple[Name, ...] = ()


OutgoingWord = Notice | VersionNote | RunnerNote


class Letter(NamedTuple):
    """A word and whom it is for; all others if ``to`` is empty."""

    to: str
    word: OutgoingWord


class Outbox:
    """Gathers what there is to tell; never blocks who tells it."""

    def __init__(self) -> None:
        """Start with nothing to tell."""
        self._fresh = trio.Event()
        self._letters: list[Letter] = []

    def tell(self, word: OutgoingWord, to: str = '') -> None:
        """Tell one entry, or all others."""
        if len(self._letters) < MAX_WAITING:
            self._letters.append(Letter(to, word))
        else:
            events.log_event(events.NOTICE_DROPPED, notice=repr(word))
        self._fresh.set()

    async def next_letters(self) -> list[Letter]:
        """Return what there is to send, waiting for the first; notices to all go together."""
        await self._fresh.wait()
        await trio.sleep(GATHER_S)
        self._fresh = trio.Event()
        waiting = self._letters
        self._letters = []
        to_all = [letter.word for letter in waiting if not letter.to and isinstance(letter.word, Notice)]
        chunks = (to_all[start : start + MAX_ROWS] for start in range(0, len(to_all), MAX_ROWS))
        apart = (letter for letter in waiting if letter.to or not isinstance(letter.word, Notice))
        return [*apart, *(Letter('', _merged(chunk)) for chunk in chunks)]


def _merged(notices: Sequence[Notice]) -> Notice:
    return Notice(
        notices[0].entry,
        ends=tuple(row for notice in notices for row in notice.ends),
        trials=tuple(row for notice in notices for row in notice.trials),
        served=tuple(row for notice in notices for row in notice.served),
        quarantined=tuple(row for notice in notices for row in notice.quarantined),
    )


__all__ = ('MAX_ROWS', 'EndNote', 'Letter', 'Notice', 'Outbox', 'RunnerFact', 'RunnerNote', 'TrialNote', 'VersionNote')
