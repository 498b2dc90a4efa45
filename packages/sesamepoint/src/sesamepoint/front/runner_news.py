"""Updates to peers about runners: replaced, draining, or asking for a back-off."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.front.notices import RunnerFact, RunnerNote

if TYPE_CHECKING:
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.peers import Peers
    from sesamepoint.front.runner_words import RunnerWords

# A message may be lost, or its recipient disconnected, so the instance that found out a fact
# sends it again: first at this age of the fact, in seconds, then each time at twice the age.
AGAIN_S = 1.0
# Age of a fact, in seconds, from which it is not sent any more. A draining runner stays for
# some seconds more.
AGAIN_FOR_S = 10.0
# How often due messages are looked for, in seconds.
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
    """Sends what this instance found out about runners, and receives the updates of peers.

    Registrations may be outdated for seconds, or for as long as the store is unreachable.
    Each instance without the update would find out only by sending the runner a request.
    """

    def __init__(self, fleet: Fleet, words: RunnerWords, peers: Peers) -> None:
        """Send what answers reveal about runners to ``peers``."""
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
        """Handle the update of a peer."""
        if note.fact is RunnerFact.leaving:
            self._words.note_leaving(note.start, note.entry, note.age_s)
            return
        if note.fact is RunnerFact.resting:
            self._words.told_rest(note.start, note.rest_s, note.entry)
            return
        # A replacement of an incarnation that is not known here is ignored.
        member = self._fleet.of_start(note.start)
        if member is not None:
            member.note_replaced(note.entry)

    def tell_newcomer(self, entry: str) -> None:
        """Send an instance that has just registered the runners that are draining."""
        for incarnation in self._words.leaving():
            if self._fleet.of_start(incarnation):
                self._peers.outbox.tell(RunnerNote(self._peers.name, incarnation, RunnerFact.leaving), entry)

    async def run(self) -> None:
        """Send what this instance finding out again when due, until cancelled."""
        while True:
            await self._somebody.wait()
            await trio.sleep(LOOK_S)
            self._forget()
            for finding, announcement in tuple(self._tellings.items()):
                if trio.current_time() >= announcement.due_at:
                    self._tellings[finding] = announcement.put_off()
                    self._tell(finding)

    def _note_replaced(self, start: Start) -> None:
        self._note(_Found(start, RunnerFact.replaced))

    def _note_leaving(self, start: Start) -> None:
        self._note(_Found(start, RunnerFact.leaving))

    def _tell_rest(self, start: Start, for_s: float) -> None:
        """Send a back-off once: it only helps peers to choose, so it may be lost."""
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
        self._tellings = {
            finding: announcement for finding, announcement in self._tellings.items() if announcement.found_at > since
        }
        if not self._tellings:
            self._somebody = trio.Event()


__all__ = ('RunnerNews',)
