"""What entries tell each other of requests that may end runners."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeVar

import msgspec
import trio

from sesamepoint_core.serving.suspects import Name, Start
from sesamepoint import events
from sesamepoint.front.trials import Trial, TrialState

if TYPE_CHECKING:
    from collections.abc import Iterator

# What happened within this time goes together, in seconds: with a runner many
# requests end at once.
GATHER_S = 0.002
# Rows of a kind in one datagram, so that it is about one packet.
MAX_ROWS = 24
# Rows of a kind that wait to be told; more only pile up while a link is full.
MAX_WAITING = 6144


_Row = TypeVar('_Row')


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


class Letter(NamedTuple):
    """A notice and whom it is for; all others if ``to`` is empty."""

    to: str
    notice: Notice


class Outbox:
    """Gathers what there is to tell; never blocks who tells it."""

    def __init__(self, entry: str) -> None:
        """Tell in the name of ``entry``."""
        self._entry = entry
        self._fresh = trio.Event()
        self._letters: list[Letter] = []
        self._ends: list[EndNote] = []
        self._trials: list[TrialNote] = []
        self._served: list[str] = []
        self._quarantined: list[str] = []

    def runner_ended(self, note: EndNote) -> None:
        """Tell all others that a runner ended."""
        self._add(self._ends, note)

    def trial(self, note: TrialNote) -> None:
        """Tell all others of a trial."""
        self._add(self._trials, note)

    def served(self, content_id: str) -> None:
        """Tell all others that a suspect was answered."""
        self._add(self._served, content_id)

    def quarantined(self, content_id: str) -> None:
        """Tell all others that a request may not be sent."""
        self._add(self._quarantined, content_id)

    def send(self, letter: Letter) -> None:
        """Send a notice to one entry."""
        self._add(self._letters, letter)

    async def next_letters(self) -> list[Letter]:
        """Return what there is to send, waiting for the first."""
        await self._fresh.wait()
        await trio.sleep(GATHER_S)
        self._fresh = trio.Event()
        letters = [*self._letters, *self._gathered()]
        for rows in (self._letters, self._ends, self._trials, self._served, self._quarantined):
            rows.clear()
        return letters

    def _add(self, rows: list[_Row], row: _Row) -> None:
        if len(rows) < MAX_WAITING:
            rows.append(row)
        else:
            events.log_event(events.NOTICE_DROPPED, row=repr(row))
        self._fresh.set()

    def _gathered(self) -> Iterator[Letter]:
        longest = max(len(self._ends), len(self._trials), len(self._served), len(self._quarantined))
        for start in range(0, longest, MAX_ROWS):
            part = slice(start, start + MAX_ROWS)
            notice = Notice(
                self._entry,
                tuple(self._ends[part]),
                tuple(self._trials[part]),
                tuple(self._served[part]),
                tuple(self._quarantined[part]),
            )
            yield Letter('', notice)


__all__ = ('MAX_ROWS', 'EndNote', 'Letter', 'Notice', 'Outbox', 'TrialNote')
