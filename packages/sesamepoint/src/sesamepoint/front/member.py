"""What this process knows of one runner."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.route.pace import Pace
from sesamepoint_core.serving.engine_load import EngineLoad
from sesamepoint_core.serving.health import Health
from sesamepoint_core.serving.kv_cache import CacheModel
from sesamepoint_core.serving.losses import LossMeter
from sesamepoint_core.serving.suspects import Start
from sesamepoint import events
from sesamepoint.front.gate import GateClosedError, Passage, SendKind
from sesamepoint.front.pool import Pool
from sesamepoint.front.runner_words import FROM_ANSWER

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.runner_words.belief import Belief
    from sesamepoint_core.serving.runner import Runner
    from sesamepoint.front.gate import Gate, Purpose
    from sesamepoint.http1.client import ClientConn
    from sesamepoint.http1.messages import ResponseHead
    from sesamepoint.http1.transport import Network

# Until the operator has published the memory of an engine.
UNKNOWN_KV_TOKENS = 200_000
# With a runner all its requests break off at once; one look does for those of this
# time, in seconds. With a look each, behind one another, the last of 24 requests was
# answered 0.9 s later where the network let no connection come about.
ONE_LOOK_S = 0.1


# These are no requests of callers, and don't count as under way.
CALLS_BESIDES = frozenset((SendKind.inventory, SendKind.free_memory))


class Member:
    """One runner: its registration, its connections, and beliefs about it."""

    def __init__(self, runner: Runner, network: Network, gate: Gate, kv_tokens: int = UNKNOWN_KV_TOKENS) -> None:
        """Know nothing but the registration; ``gate`` is asked before anything is sent to it."""
        self.runner = runner
        self._gate = gate
        self._words = gate.words
        # Whether it is another start's turn, or none's.
        self.closed = False
        self.gone_at: float | None = None
        self.replaced = False
        self._pool = Pool(runner.address, network, self._note_head)
        self.health = Health()
        self.load = EngineLoad()
        self.losses = LossMeter()
        self.cache = CacheModel(kv_tokens)
        self.kv_tokens = kv_tokens
        self.pace = Pace()
        self.in_flight = 0
        # Whether it has answered anything since it is known here.
        self.answered = False
        # Called when an answer of its address is another incarnation's.
        self.on_replaced: Callable[[Start], None] | None = None
        self._looked_at = -math.inf
        self._refused = False
        self._looking = trio.Lock()

    @property
    def start(self) -> Start:
        """Return which run of its process this is about."""
        return Start(self.runner.key, self.runner.born_ms)

    @property
    def leaving(self) -> bool:
        """Tell whether it leaves, by its registration or by what it has said."""
        return self.runner.leaving or self._belief.leaving

    @property
    def rests(self) -> bool:
        """Tell whether it wants nothing from this instance now."""
        return self._belief.rest_left_s(trio.current_time()) > 0

    @property
    def rests_elsewhere(self) -> bool:
        """Tell whether it wants nothing from another instance now."""
        return self._belief.hinted(trio.current_time())

    @property
    def has_room(self) -> bool:
        """Tell whether it takes one request more of this instance, by its rest."""
        return self.in_flight < self._belief.room(trio.current_time())

    def closed_to(self, purpose: Purpose) -> str:
        """Return what would keep ``purpose`` from being sent if it were chosen now; empty if nothing does."""
        return self._gate.closed_by(Passage(self, purpose, self.in_flight))

    async def connection(self, purpose: Purpose) -> ClientConn:
        """Return a connection that asks the gate before it sends anything.

        Raises
        ------
        ConnectFailedError
            If there is none, and no new one came about.
        """
        return await self._pool.take(partial(self._pass, purpose))

    def give_back(self, conn: ClientConn) -> None:
        """Take a connection back."""
        self._pool.give_back(conn)

    async def has_ended(self) -> bool:
        """Tell whether the runner, where a connection has just broken, has ended unplanned.

        Runners also lose answers, and networks connections, while the runner
        lives and takes new ones: its requests are not to blame for an end. Nor
        are they if it was about to leave.
        """
        if self.leaving or self.gone_at is not None:
            return False
        async with self._looking:
            if trio.current_time() - self._looked_at > ONE_LOOK_S:
                self._refused = await self._pool.refuses()
                self._looked_at = trio.current_time()
            return self._refused

    def note_replaced(self, source: str) -> None:
        """Note that another incarnation has its address, as ``source`` tells: an answer, or another instance.

        Its registration may stay for seconds. Each request sent there until then
        would be turned away, and count as an arrival all the same.
        """
        if self.replaced:
            return
        self.replaced = True
        address = str(self.runner.address)
        events.log_event(events.RUNNER_REPLACED, runner=self.runner.key, address=address, source=source)
        if source == FROM_ANSWER and self.on_replaced is not None:
            self.on_replaced(self.start)

    def same_start(self, runner: Runner) -> bool:
        """Tell whether a registration is of the start that this is about.

        A new address is one too: connections to the old one lead elsewhere.
        """
        return (runner.born_ms, runner.address) == (self.runner.born_ms, self.runner.address)

    def resize(self, kv_tokens: int) -> None:
        """Take the size of its memory, in tokens, as the operator publishes it."""
        if kv_tokens != self.kv_tokens:
            self.kv_tokens = kv_tokens
            self.cache.resize(kv_tokens)

    def close(self) -> None:
        """Close idle connections; what is under way goes on."""
        self.closed = True
        self._pool.close()

    @property
    def _belief(self) -> Belief:
        return self._words.belief_of(self.start)

    def _pass(self, purpose: Purpose) -> None:
        # A request of a caller is under way there already.
        beside = self.in_flight if purpose.kind in CALLS_BESIDES else self.in_flight - 1
        condition = self._gate.closed_by(Passage(self, purpose, beside))
        if condition:
            raise GateClosedError(self.runner.key, condition)
        if purpose.job is not None:
            self._words.limits.use(self.start, purpose.job)

    def _note_head(self, head: ResponseHead, sent_at: float) -> None:
        if not self.answered:
            self.answered = True
            self._words.limits.fresh.set()
        self._words.note_answer(self.start, head, sent_at)


__all__ = ('CALLS_BESIDES', 'Member')
