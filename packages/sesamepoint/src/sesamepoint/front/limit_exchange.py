"""Keeping the limits of runners together with the other entries."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.words import Ask
from sesamepoint.front.limit_words import AskWord, GrantWord

if TYPE_CHECKING:
    from sesamepoint_core.runner_limit.sharing import Sharing
    from sesamepoint_core.runner_limit.words import Letter
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.engine_tools import EngineTools
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.known_engines import KnownEngines
    from sesamepoint.front.member import Member
    from sesamepoint.front.peers import Peers

# Words of one moment go together: it is looked what there is to tell no more often
# than this, in seconds.
GATHER_S = 0.002
# How often it is looked which entries may send to a runner with a limit, in seconds.
JOIN_EVERY_S = 0.25


class LimitExchange:
    """Tells and hears what keeps the sum of all entries' sends under the limits."""

    def __init__(self, tools: EngineTools, fleet: Fleet, known: KnownEngines, peers: Peers) -> None:
        """Work for the requests that wait in ``tools``, with the other entries that ``peers`` knows."""
        self._limits = tools.limits
        self._tools = tools
        self._fleet = fleet
        self._known = known
        self._peers = peers
        self._joined_at: dict[Start, float] = {}
        peers.on_word[AskWord] = tools.limits.heard
        peers.on_word[GrantWord] = tools.limits.heard

    async def run(self) -> None:
        """Tell what there is to tell, and let waiting requests go, until cancelled."""
        self._limits.begin()
        while True:
            self._limits.fresh = trio.Event()
            due_at = await self._look()
            with trio.move_on_at(due_at):
                await self._limits.fresh.wait()
            await trio.sleep(GATHER_S)

    async def _look(self) -> float:
        """Go through all limits; returns when the next one is due."""
        due_at = math.inf
        for start, sharing in self._limits.sharings():
            member = self._fleet.of_start(start)
            if member is None:
                self._forget(start, 'the runner is gone')
            elif sharing.belief.allowed(trio.current_time()) is None:
                self._forget(start, 'it is over')
            else:
                await self._step(member, sharing)
                now = trio.current_time()
                due_at = min(due_at, sharing.next_at(now), now + JOIN_EVERY_S)
        # Whoever waits has been handed what permits there were, so none is left to run for.
        self._tools.places.let_go()
        return due_at

    async def _step(self, member: Member, sharing: Sharing) -> None:
        start = member.start
        now = trio.current_time()
        self._join(start, sharing, now)
        self._tools.places.hand_out(start)
        sharing.wish(self._tools.places.wish(member, self._tools.waiting.wanting(start.runner), sharing.stock(now)))
        letters = sharing.step(now)
        self._tools.places.hand_out(start)
        for letter in letters:
            await self._tell(start, letter)

    async def _tell(self, start: Start, letter: Letter) -> None:
        name = self._peers.name
        if isinstance(letter.word, Ask):
            await self._peers.tell_to([letter.to], AskWord(name, start, letter.word))
        else:
            await self._peers.tell_to([letter.to], GrantWord(name, start, letter.word))

    def _join(self, start: Start, sharing: Sharing, now: float) -> None:
        if now - self._joined_at.get(start, 0) >= JOIN_EVERY_S:
            self._joined_at[start] = now
            sharing.join(name for name in self._peers.others() if self._known.at(name, start.runner))

    def _forget(self, start: Start, cause: str) -> None:
        self._joined_at.pop(start, None)
        self._limits.forget(start, cause)


__all__ = ('LimitExchange',)
