"""Messages to peers on suspect requests, runners and configuration versions, and their send queue."""

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

# Messages are batched for this time, in seconds: when a runner ends, many
# requests end with it.
GATHER_S = 0.002
# Rows per datagram, so that it fits into one packet.
MAX_ROWS = 24
# Messages in the send queue; more pile up only while a link is full.
MAX_WAITING = 6144
# No configuration has more versions than this.
MAX_VERSION = 1_000_000_000_000
Version = Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]
# Age beyond which a reported status of a runner is not accepted, in seconds.
MAX_AGE_S = 3600
AgeS = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_S)]
RestS = Annotated[float, msgspec.Meta(ge=0, le=LONGEST_REST_S)]


class VersionNote(msgspec.Struct, frozen=True, array_like=True, tag='version'):
    """Configuration version in force at the sender; 0 if none is."""

    entry: str
    version: Version


class RunnerFact(StrEnum):
    """Status of a runner that an instance learned from one of its answers."""

    # Another incarnation than the registered one answers at the address.
    replaced = 'replaced'
    # The runner is draining.
    leaving = 'leaving'
    # The runner rejected a request and asked the instance to back off for a time.
    resting = 'resting'


class RunnerNote(msgspec.Struct, frozen=True, array_like=True, tag='runner'):
    """Status of a runner that the sender learned from an answer ``age_s`` seconds before.

    ``rest_s`` is the back-off that the runner asked for, in seconds, if it did.
    """

    entry: str
    start: Start
    fact: RunnerFact
    age_s: AgeS = 0
    rest_s: RestS = 0


class EndNote(NamedTuple):
    """End of a runner while it ran a request."""

    content_id: Name
    start: Start


class TrialNote(NamedTuple):
    """State of a probe of the sender."""

    trial: Trial
    state: TrialState


class Notice(msgspec.Struct, frozen=True, array_like=True, tag='notice'):
    """Batch of what the sender found out about suspect requests.

    Parameters
    ----------
    served
        Suspect requests that were answered in full.
    quarantined
        Requests that ended a runner while they ran on it alone.
    """

    entry: str
    ends: tuple[EndNote, ...] = ()
    trials: tuple[TrialNote, ...] = ()
    served: tuple[Name, ...] = ()
    quarantined: tuple[Name, ...] = ()


OutgoingWord = Notice | VersionNote | RunnerNote


class Letter(NamedTuple):
    """Queued message and its recipient; an empty recipient stands for all peers."""

    to: str
    word: OutgoingWord


class Outbox:
    """Queue of messages to peers; drops messages instead of blocking if it is full."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        self._fresh = trio.Event()
        self._letters: list[Letter] = []

    def tell(self, word: OutgoingWord, to: str = '') -> None:
        """Queue a message for one peer, or for all peers."""
        if len(self._letters) < MAX_WAITING:
            self._letters.append(Letter(to, word))
        else:
            events.log_event(events.NOTICE_DROPPED, notice=repr(word))
        self._fresh.set()

    async def next_letters(self) -> list[Letter]:
        """Wait for a message and return the queued ones; updates on suspects to all peers are merged."""
        await self._fresh.wait()
        await trio.sleep(GATHER_S)
        self._fresh = trio.Event()
        queued = self._letters
        self._letters = []
        to_all = [outgoing.word for outgoing in queued if not outgoing.to and isinstance(outgoing.word, Notice)]
        chunks = (to_all[start : start + MAX_ROWS] for start in range(0, len(to_all), MAX_ROWS))
        unmerged = (outgoing for outgoing in queued if outgoing.to or not isinstance(outgoing.word, Notice))
        return [*unmerged, *(Letter('', _merged(chunk)) for chunk in chunks)]


def _merged(notices: Sequence[Notice]) -> Notice:
    return Notice(
        notices[0].entry,
        ends=tuple(row for notice in notices for row in notice.ends),
        trials=tuple(row for notice in notices for row in notice.trials),
        served=tuple(row for notice in notices for row in notice.served),
        quarantined=tuple(row for notice in notices for row in notice.quarantined),
    )


__all__ = ('MAX_ROWS', 'EndNote', 'Letter', 'Notice', 'Outbox', 'RunnerFact', 'RunnerNote', 'TrialNote', 'VersionNote')
