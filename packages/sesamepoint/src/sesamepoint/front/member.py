"""One runner of the fleet: registration, connections and known state."""

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

# Assumed cache size of an engine until the operator has published it, in tokens.
UNKNOWN_KV_TOKENS = 200_000
# A probe of whether a runner has ended is reused for this long, in seconds: when a runner
# ends, all its requests fail at once. With a probe for each, one after the other, the last
# of 24 requests was answered 0.9 s later in a network where connections got no reply.
ONE_LOOK_S = 0.1
# Calls that are not requests of callers and don't count as requests in progress.
CALLS_BESIDES = frozenset((SendKind.inventory, SendKind.free_memory))


class Member:
    """One incarnation of a runner: its registration, connections, load, health and reported status."""

    def __init__(self, runner: Runner, network: Network, gate: Gate, kv_tokens: int = UNKNOWN_KV_TOKENS) -> None:
        """Start from the registration only.

        Parameters
        ----------
        gate
            Decides whether anything may be sent to the runner, just before each send.
        kv_tokens
            Size of the KV cache, in tokens.
        """
        self.runner = runner
        self._gate = gate
        self._words = gate.words
        # Whether a newer incarnation has taken its place, or it was dropped from the fleet.
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
        # Whether it has answered any request of this instance.
        self.answered = False
        # Called when an answer from its address comes from another incarnation.
        self.on_replaced: Callable[[Start], None] | None = None
        self._looked_at = -math.inf
        self._refused = False
        self._looking = trio.Lock()

    @property
    def start(self) -> Start:
        """Return the incarnation of the runner that this member stands for."""
        return Start(self.runner.key, self.runner.born_ms)

    @property
    def leaving(self) -> bool:
        """Tell whether it is draining, by its registration or its reported status."""
        return self.runner.leaving or self._belief.leaving

    @property
    def rests(self) -> bool:
        """Tell whether it asked this instance for a back-off that still lasts."""
        return self._belief.rest_left_s(trio.current_time()) > 0

    @property
    def rests_elsewhere(self) -> bool:
        """Tell whether it asked a peer for a back-off that still lasts."""
        return self._belief.hinted(trio.current_time())

    @property
    def has_room(self) -> bool:
        """Tell whether it takes one more request of this instance: none in a back-off, few just after one."""
        return self.in_flight < self._belief.room(trio.current_time())

    def closed_to(self, purpose: Purpose) -> str:
        """Return the condition that forbids to send ``purpose`` to the runner now; empty if none does."""
        return self._gate.closed_by(Passage(self, purpose, self.in_flight))

    async def connection(self, purpose: Purpose) -> ClientConn:
        """Return a connection that runs the admission check before it sends anything.

        Raises
        ------
        ConnectFailedError
            If there is no idle connection, and a new one failed.
        """
        return await self._pool.take(partial(self._pass, purpose))

    def give_back(self, conn: ClientConn) -> None:
        """Return a connection to the pool."""
        self._pool.give_back(conn)

    async def has_ended(self) -> bool:
        """Tell whether the runner has crashed, after a connection to it broke.

        A runner that accepts new connections is alive: it lost an answer, or the
        network lost a connection, and no request is suspected of having ended it.
        The same holds for a runner that is draining or no longer registered.
        """
        if self.leaving or self.gone_at is not None:
            return False
        async with self._looking:
            if trio.current_time() - self._looked_at > ONE_LOOK_S:
                self._refused = await self._pool.refuses()
                self._looked_at = trio.current_time()
            return self._refused

    def note_replaced(self, source: str) -> None:
        """Note that another incarnation has its address.

        Its registration may stay in the store for seconds. A request sent there until
        then would be turned away by the runner, and still count as an arrival.

        Parameters
        ----------
        source
            Where this is known from: an answer, or another instance.
        """
        if self.replaced:
            return
        self.replaced = True
        address = str(self.runner.address)
        events.log_event(events.RUNNER_REPLACED, runner=self.runner.key, address=address, source=source)
        if source == FROM_ANSWER and self.on_replaced is not None:
            self.on_replaced(self.start)

    def same_start(self, runner: Runner) -> bool:
        """Tell whether a registration is of the same incarnation of the runner.

        A new address also means a new incarnation, since connections to the old
        address lead elsewhere.
        """
        return (runner.born_ms, runner.address) == (self.runner.born_ms, self.runner.address)

    def resize(self, kv_tokens: int) -> None:
        """Set the size of its KV cache, in tokens, as published by the operator."""
        if kv_tokens != self.kv_tokens:
            self.kv_tokens = kv_tokens
            self.cache.resize(kv_tokens)

    def close(self) -> None:
        """Close idle connections; requests in progress go on."""
        self.closed = True
        self._pool.close()

    @property
    def _belief(self) -> Belief:
        return self._words.belief_of(self.start)

    def _pass(self, purpose: Purpose) -> None:
        # A request of a caller already counts as in flight itself.
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
