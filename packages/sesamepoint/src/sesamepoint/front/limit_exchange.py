"""Exchange of messages with peers that keeps all instances together within the rate limits of runners."""

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

# Least time between two rounds of messages, in seconds: messages that become due at the same
# moment are sent in one round.
GATHER_S = 0.002
# How often the peers that may send to a runner with a limit are read, in seconds.
JOIN_EVERY_S = 0.25


class LimitExchange:
    """Sends and receives the messages that keep the requests of all instances together within the limits."""

    def __init__(self, tools: EngineTools, fleet: Fleet, known: KnownEngines, peers: Peers) -> None:
        """Serve the requests that wait in ``tools``, with the instances in ``peers``."""
        self._limits = tools.limits
        self._tools = tools
        self._fleet = fleet
        self._known = known
        self._peers = peers
        self._joined_at: dict[Start, float] = {}
        peers.on_word[AskWord] = tools.limits.heard
        peers.on_word[GrantWord] = tools.limits.heard

    async def run(self) -> None:
        """Send due messages and release waiting requests until cancelled."""
        self._limits.begin()
        while True:
            self._limits.fresh = trio.Event()
            due_at = await self._look()
            with trio.move_on_at(due_at):
                await self._limits.fresh.wait()
            await trio.sleep(GATHER_S)

    async def _look(self) -> float:
        """Step all limits; return when the next one is due."""
        due_at = math.inf
        for incarnation, limit in self._limits.sharings():
            member = self._fleet.of_start(incarnation)
            if member is None:
                self._forget(incarnation, 'runner is gone')
            elif limit.belief.allowed(trio.current_time()) is None:
                self._forget(incarnation, 'limit has ended')
            else:
                await self._step(member, limit)
                now = trio.current_time()
                due_at = min(due_at, limit.next_at(now), now + JOIN_EVERY_S)
        # All available permits are reserved by now, so the requests released here don't compete for any.
        self._tools.places.let_go()
        return due_at

    async def _step(self, member: Member, sharing: Sharing) -> None:
        incarnation = member.start
        now = trio.current_time()
        self._join(incarnation, sharing, now)
        self._tools.places.hand_out(incarnation)
        sharing.wish(
            self._tools.places.wish(member, self._tools.waiting.wanting(incarnation.runner), sharing.stock(now))
        )
        messages = sharing.step(now)
        self._tools.places.hand_out(incarnation)
        for message in messages:
            await self._tell(incarnation, message)

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
