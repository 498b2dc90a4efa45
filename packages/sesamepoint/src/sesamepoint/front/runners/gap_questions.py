"""Questions to peers about what this instance may have missed in a gap of the list of runners."""

from __future__ import annotations

from bisect import bisect
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.peering.peer_messages import RunnerStatusQuestion

if TYPE_CHECKING:
    from sesamepoint.front.peering.peers import Peers

# Peers asked at a time. More than one, since datagrams are lost and a peer may have missed the same.
MAX_ASKED = 6
# Times of the questions after a gap, in seconds: those asked at first may follow the store up
# to a second later.
ASK_AFTER_S = (0, 1, 3)


class GapQuestions:
    """Asks some peers which runners drain or were removed lately, after each read of the whole list of runners.

    The whole list doesn't show a removal whose runner is registered again by a late heartbeat. After a restore of the
    store it isn't applied, and the log is followed from its end, so that what was written just before is missed.
    """

    def __init__(self, peers: Peers) -> None:
        """Ask ``peers``."""
        self._peers = peers
        self._asked_last = peers.name
        self._due: list[float] = []
        self._noted = trio.Event()

    def note_gap(self) -> None:
        """Note that the whole list was read."""
        now = trio.current_time()
        self._due = [now + after_s for after_s in ASK_AFTER_S]
        self._noted.set()

    async def run(self) -> None:
        """Ask when due, until cancelled."""
        while True:
            await self._noted.wait()
            while self._due:
                await trio.sleep_until(self._due[0])
                self._ask_due()
            self._noted = trio.Event()

    def _ask_due(self) -> None:
        now = trio.current_time()
        # Another gap may have been noted meanwhile.
        if self._due and self._due[0] <= now:
            self._due.pop(0)
            asked = self._next_peers()
            events.log_event(events.PEERS_ASKED_AFTER_GAP, peers=asked)
            for peer in asked:
                self._peers.send_queue.enqueue(RunnerStatusQuestion(self._peers.name), peer)

    def _next_peers(self) -> list[str]:
        """Return the next peers by name, after those that were asked last."""
        names = sorted(self._peers.peer_names())
        first = bisect(names, self._asked_last)
        chosen = (names[first:] + names[:first])[:MAX_ASKED]
        self._asked_last = chosen[-1] if chosen else self._peers.name
        return chosen


__all__ = ('GapQuestions',)
