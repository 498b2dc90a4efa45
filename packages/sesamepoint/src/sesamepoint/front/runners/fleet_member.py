"""One runner of the fleet: registration, connections and known state."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.engine_model.engine_model import EngineModel
from sesamepoint_core.fleet_health.runner_health import RunnerHealth
from sesamepoint_core.runner_status.known_status import NO_STATUS, KnownStatus
from sesamepoint_core.runner_status.presence import Presence
from sesamepoint_core.serving.engine_load import EngineLoad
from sesamepoint_core.serving.kv_cache import CacheModel
from sesamepoint_core.serving.loss_meter import LossMeter
from sesamepoint_core.serving.poison_requests import Incarnation
from sesamepoint import events
from sesamepoint.front.runners.connection_pool import ConnectionPool, ProbeOutcome
from sesamepoint.front.runners.crash_probe import CrashProbe
from sesamepoint.front.runners.status_sources import FROM_ANSWER
from sesamepoint.front.runners.send_check import (
    NO_PERMIT_CONDITION,
    PendingSend,
    SendBlockedError,
    SendKind,
    record_send,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_core.serving.runner import Runner
    from sesamepoint_core.stream_origin.origin import StreamOrigin
    from sesamepoint.front.runners.send_check import SendCheck, SendPurpose
    from sesamepoint.http1.client import ClientConn
    from sesamepoint.http1.messages import ResponseHead
    from sesamepoint.http1.transport import Network

# Assumed cache size of an engine until the operator has published it, in tokens.
UNKNOWN_KV_TOKENS = 200_000
# All connections of a runner that ends are seen to break within this time, in seconds. A connection that it accepted
# earlier doesn't show that it lives: each whole answer without a length is followed by such a check.
BREAK_SPREAD_S = 0.02
# Calls that are not requests of callers and don't count as requests in progress.
MAINTENANCE_CALLS = frozenset((SendKind.inventory, SendKind.free_memory, SendKind.health_call, SendKind.report))


class Member:
    """One incarnation of a runner: its registration, connections, load, health and reported status."""

    # Path of the health page of its service; empty without one.
    health_path = ''

    def __init__(
        self, runner: Runner, network: Network, send_check: SendCheck, kv_tokens: int = UNKNOWN_KV_TOKENS
    ) -> None:
        """Start from the registration only.

        Parameters
        ----------
        send_check
            Decides whether anything may be sent to the runner, just before each send.
        kv_tokens
            Size of the KV cache, in tokens.
        """
        self.runner = runner
        # The same for all registrations of one member.
        self.incarnation = Incarnation(runner.key, runner.born_ms)
        self._send_check = send_check
        self._runner_statuses = send_check.runner_statuses
        # Whether a newer incarnation has taken its place, or it was dropped from the fleet.
        self.closed = False
        self.presence = Presence()
        self.replaced = False
        self._pool = ConnectionPool(runner.address, network, self._note_head)
        self.health = RunnerHealth()
        self.load = EngineLoad()
        self.losses = LossMeter()
        self.cache = CacheModel(kv_tokens)
        self.kv_tokens = kv_tokens
        self.model = EngineModel()
        self.in_flight = 0
        self._unread = send_check.unread_sends.of(self.incarnation)
        # Whether it has answered any request of this instance.
        self.answered = False
        # Called when an answer from its address comes from another incarnation.
        self.on_replaced: Callable[[Incarnation], None] | None = None
        self._crash_probe = CrashProbe(self._pool)

    @property
    def draining(self) -> bool:
        """Tell whether it is draining, by its registration or its reported status."""
        return self.runner.draining or self._status.draining

    @property
    def ended(self) -> bool:
        """Tell whether this instance has found that it crashed."""
        return self._crash_probe.ended

    @property
    def backing_off(self) -> bool:
        """Tell whether it asked this instance for a back-off that still lasts."""
        status = self._status
        return status is not NO_STATUS and status.back_off_left_s(trio.current_time()) > 0

    @property
    def backing_off_peer(self) -> bool:
        """Tell whether it asked a peer for a back-off that still lasts."""
        status = self._status
        return status is not NO_STATUS and status.peer_backs_off(trio.current_time())

    @property
    def accepts_more(self) -> bool:
        """Tell whether it takes one more request of this instance: none in a back-off, few just after one."""
        status = self._status
        return status is NO_STATUS or self.in_flight < status.max_in_flight(trio.current_time())

    def blocking_condition(self, purpose: SendPurpose) -> str:
        """Return the condition that forbids to send ``purpose`` to the runner now; empty if none does."""
        return self._send_check.blocked_by(PendingSend(self, purpose, self.in_flight))

    async def connection(self, purpose: SendPurpose) -> ClientConn:
        """Return a connection that runs the admission check before it sends anything.

        Raises
        ------
        ConnectFailedError
            If there is no idle connection, and a new one failed.
        """
        return await self._pool.acquire(self.admission_for(purpose))

    def admission_for(self, purpose: SendPurpose) -> Callable[[], None]:
        """Return the admission check of a message, which raises if it may not be sent."""
        return partial(self._check_admission, purpose)

    def release(self, conn: ClientConn) -> None:
        """Return a connection to the pool."""
        self._pool.release(conn)

    async def has_ended(self, since: float | None = None, *, must_show_life: bool = False) -> bool:
        """Tell whether the runner has crashed, after a connection to it ended.

        It counts as alive if it has accepted a connection after ``since``, on trio's clock; by default
        that is when the first of its connections may have broken.

        A runner that accepts new connections is alive: it lost an answer, or the
        network lost a connection, and no request is suspected of having ended it.
        The same holds for a runner that is draining or no longer registered.

        Parameters
        ----------
        must_show_life
            Whether it counts as ended, planned or not, unless it shows that it lives: by a connection that stays open,
            or by what it sends on others, since one that is full resets new connections.
        """
        now = trio.current_time()
        if must_show_life:
            life = await self._crash_probe.probe_life(now if since is None else since)
            active = self.health.active_since(now + BREAK_SPREAD_S)
            return life is ProbeOutcome.refused or (life is ProbeOutcome.not_open and not active)
        if self.draining or not self.presence.registered:
            return False
        refused = await self._crash_probe.refused(now - BREAK_SPREAD_S if since is None else since)
        if refused:
            self._unread.note_ended()
        return refused

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
            self.on_replaced(self.incarnation)

    def note_restarted(self, born_ms: int) -> None:
        """Note that it reports a later start than its registration."""
        if self._runner_statuses.on_restarted is not None:
            self._runner_statuses.on_restarted(self.incarnation.runner, born_ms)

    def same_incarnation(self, runner: Runner) -> bool:
        """Tell whether a registration is of the same incarnation of the runner.

        A new address also means a new incarnation, since connections to the old
        address lead elsewhere, and so does another version: a process doesn't change its own.
        """
        if self.runner.software_version not in {None, runner.software_version}:
            return False
        return (runner.born_ms, runner.address) == (self.runner.born_ms, self.runner.address)

    def of_origin(self, origin: StreamOrigin) -> bool:
        """Tell whether it may go on with streams of ``origin``, by its service and version."""
        return origin.allows(self.runner.service, self.runner.software_version)

    def resize(self, kv_tokens: int) -> None:
        """Set the size of its KV cache, in tokens, as published by the operator."""
        if kv_tokens != self.kv_tokens:
            self.kv_tokens = kv_tokens
            self.cache.resize(kv_tokens)

    @property
    def oldest_idle_since(self) -> float | None:
        """Return since when its longest idle connection has been idle; None if there is none."""
        return self._pool.oldest_idle_since

    def close_oldest_idle(self) -> None:
        """Close the connection that is idle for longest."""
        self._pool.close_oldest()

    def close(self) -> None:
        """Close idle connections; requests in progress go on."""
        self.closed = True
        self._send_check.unread_sends.note_gone(self.incarnation, trio.current_time())
        self._pool.close()

    @property
    def _status(self) -> KnownStatus:
        return self._runner_statuses.status_of(self.incarnation)

    def _check_admission(self, purpose: SendPurpose) -> None:
        # A request of a caller already counts as in flight itself.
        is_maintenance = purpose.kind in MAINTENANCE_CALLS
        beside = self.in_flight if is_maintenance and purpose.job is None else self.in_flight - 1
        condition = self._send_check.blocked_by(PendingSend(self, purpose, beside))
        if condition:
            raise SendBlockedError(self.runner.key, condition)
        if purpose.job is None:
            return
        # A rate limit counts all that the runner gets for a request, a check of its start too.
        limits = self._runner_statuses.limits
        if not is_maintenance:
            limits.use(self.incarnation, purpose.job)
            self._unread.add(record_send(purpose.kind, purpose.job, self.runner.key))
        elif not limits.use_for_check(self.incarnation, purpose.job):
            raise SendBlockedError(self.runner.key, NO_PERMIT_CONDITION)

    def _note_head(self, head: ResponseHead, sent_at: float) -> None:
        self._unread.note_life(sent_at)
        if not self.answered:
            self.answered = True
            self._runner_statuses.limits.changed.set()
        self._runner_statuses.note_answer(self.incarnation, head, sent_at)


__all__ = ('MAINTENANCE_CALLS', 'Member')
