"""Telling the other entries that another incarnation has the address of a runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.front.notices import ReplacedWord

if TYPE_CHECKING:
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.peers import Peers


class Replaced:
    """Tells what this entry found out, and takes in what others did.

    The registration of the runner before may stay for seconds, and each entry that does
    not know would send it a request to be turned away.
    """

    def __init__(self, fleet: Fleet, peers: Peers) -> None:
        """Mark members of ``fleet``; those that join it from now on say when they are replaced."""
        self._fleet = fleet
        self._peers = peers
        fleet.on_replaced = self._tell
        peers.on_word[ReplacedWord] = self.heard

    def heard(self, word: ReplacedWord) -> None:
        """Take the word of another entry; of a start that is not known here it says nothing."""
        member = self._fleet.members.get(word.start.runner)
        if member is not None and member.start == word.start:
            member.note_replaced(word.entry)

    def _tell(self, start: Start) -> None:
        self._peers.outbox.tell(ReplacedWord(self._peers.name, start))


__all__ = ('Replaced',)
