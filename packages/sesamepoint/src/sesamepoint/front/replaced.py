"""Telling the other entries that another incarnation has the address of a runner."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.serving.suspects import Start

if TYPE_CHECKING:
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.peers import Peers


class ReplacedWord(msgspec.Struct, frozen=True, array_like=True, tag='replaced'):
    """A runner answered that it is not the one that has registered its address."""

    entry: str
    start: Start


class Replaced:
    """Tells what this entry found out, and takes in what others did.

    The registration of the runner before may stay for seconds, and each entry that does
    not know would send it a request to be turned away.
    """

    def __init__(self, fleet: Fleet, peers: Peers) -> None:
        """Mark members of ``fleet``."""
        # No more than there are registrations, so it needs no other bound.
        self._found = trio.open_memory_channel[Start](math.inf)
        self._fleet = fleet
        self._peers = peers
        fleet.on_replaced = self._found[0].send_nowait
        peers.on_word[ReplacedWord] = self.heard

    async def tell(self) -> None:
        """Tell all others of each such runner, until cancelled."""
        async for start in self._found[1]:
            await self._peers.tell_to(self._peers.others(), ReplacedWord(self._peers.name, start))

    def heard(self, word: ReplacedWord) -> None:
        """Take the word of another entry; of a start that is not known here it says nothing."""
        member = self._fleet.members.get(word.start.runner)
        if member is not None and member.start == word.start:
            member.note_replaced(word.entry)


__all__ = ('Replaced', 'ReplacedWord')
