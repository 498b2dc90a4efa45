"""Telling the other entries what this one has found out about a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.front.notices import RunnerFact, RunnerNote

if TYPE_CHECKING:
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.peers import Peers
    from sesamepoint.front.runner_words import RunnerWords

# A word may get lost, or come to an entry that is cut off: it is told again by who found
# it out, after so many seconds, then after twice as many since it was found out, until so
# many have passed. A runner that leaves is there for some seconds more.
AGAIN_S = 1.0
AGAIN_FOR_S = 10.0
# How often it is looked what is to be told again, in seconds.
LOOK_S = 0.25


class _Found(NamedTuple):
    start: Start
    fact: RunnerFact


class _Telling(NamedTuple):
    found_at: float
    due_at: float

    def put_off(self) -> _Telling:
        return _Telling(self.found_at, self.found_at + 2 * (self.due_at - self.found_at))


class RunnerNews:
    """Tells what this entry found out, and takes in what others did.

    Registrations may say otherwise for seconds, or as long as the store is away. Each
    entry that does not know would send the runner a request to find out by.
    """

    def __init__(self, fleet: Fleet, words: RunnerWords, peers: Peers) -> None:
        """Tell through ``peers`` what ``fleet`` and ``words`` learn from answers."""
        self._fleet = fleet
        self._words = words
        self._peers = peers
        self._tellings: dict[_Found, _Telling] = {}
        self._somebody = trio.Event()
        fleet.on_replaced = self._note_replaced
        words.on_leaving = self._note_leaving
        words.on_rest = self._tell_rest
        peers.on_word[RunnerNote] = self.heard
        peers.on_newcomer.append(self.tell_newcomer)

    def heard(self, note: RunnerNote) -> None:
        """Take the word of another entry."""
        if note.fact is RunnerFact.leaving:
            self._words.note_leaving(note.start, note.entry, note.age_s)
            return
        if note.fact is RunnerFact.resting:
            self._words.told_rest(note.start, note.rest_s, note.entry)
            return
        # Of a start that is not known here it says nothing.
        member = self._fleet.of_start(note.start)
        if member is not None:
            member.note_replaced(note.entry)

    def tell_newcomer(self, entry: str) -> None:
        """Tell an entry that has just registered which runners leave."""
        for start in self._words.leaving():
            if self._fleet.of_start(start):
                self._peers.outbox.tell(RunnerNote(self._peers.name, start, RunnerFact.leaving), entry)

    async def run(self) -> None:
        """Tell again what this entry found out, until cancelled."""
        while True:
            await self._somebody.wait()
            await trio.sleep(LOOK_S)
            self._forget()
            for found, telling in tuple(self._tellings.items()):
                if trio.current_time() >= telling.due_at:
                    self._tellings[found] = telling.put_off()
                    self._tell(found)

    def _note_replaced(self, start: Start) -> None:
        self._note(_Found(start, RunnerFact.replaced))

    def _note_leaving(self, start: Start) -> None:
        self._note(_Found(start, RunnerFact.leaving))

    def _tell_rest(self, start: Start, for_s: float) -> None:
        """Tell once: the others make use of it, and need not know."""
        self._peers.outbox.tell(RunnerNote(self._peers.name, start, RunnerFact.resting, rest_s=for_s))

    def _note(self, found: _Found) -> None:
        now = trio.current_time()
        self._tellings[found] = _Telling(now, now + AGAIN_S)
        self._somebody.set()
        self._tell(found)

    def _tell(self, found: _Found) -> None:
        age_s = trio.current_time() - self._tellings[found].found_at
        self._peers.outbox.tell(RunnerNote(self._peers.name, found.start, found.fact, age_s))

    def _forget(self) -> None:
        since = trio.current_time() - AGAIN_FOR_S
        self._tellings = {found: telling for found, telling in self._tellings.items() if telling.found_at > since}
        if not self._tellings:
            self._somebody = trio.Event()


__all__ = ('RunnerNews',)
