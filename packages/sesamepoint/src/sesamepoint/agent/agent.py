"""Agent of one upstream, through which all attempts and orders reach it."""

from __future__ import annotations

from contextlib import aclosing, suppress
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import UpstreamError
from sesamepoint import events
from sesamepoint.agent.attempts import Attempt, AttemptTable
from sesamepoint.agent.offered_demand import OfferedDemandTable
from sesamepoint.control.notifier import Notifier
from sesamepoint.link.messages import (
    NEVER_ARRIVED,
    BeatRequest,
    CancelReply,
    CancelRequest,
    AttemptOutcome,
    Frame,
    FrameKind,
    LoadReport,
    RunRequest,
    SyncReply,
    SyncRequest,
)
from sesamepoint.upstream.base import NO_LOAD, UpstreamLoad, UpstreamUnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.control.follower import Follower
    from sesamepoint.keys.messages import ClaimReply, ClaimRequest, SettleReply, SettleRequest
    from sesamepoint.keys.shard_coordinators import ShardCoordinators
    from sesamepoint.upstream.base import Upstream

LOAD_INTERVAL_S = 1.0
ORPHAN_TIMEOUT_S = 10.0
PRUNE_INTERVAL_S = 5.0
UPSTREAM_TIMEOUT_S = 2.0
UNKNOWN_LOAD = NO_LOAD._replace(changing=True)


class Agent:
    """Runs attempts at its upstream and reports their outcome.

    Parameters
    ----------
    runner
        Name of the runner that the agent serves.
    upstream
        Adapter of the upstream.
    follower
        Follower of the control log; its writer name is the agent's incarnation.
    coordinators
        Coordinators of the shards of idempotency keys that this agent serves.
    """

    def __init__(self, runner: str, upstream: Upstream, follower: Follower, coordinators: ShardCoordinators) -> None:
        """Start not ready; attempts are accepted once :meth:`serve_attempts` runs."""
        self.runner = runner
        self.incarnation = follower.writer
        self.coordinators = coordinators
        self.upstream = upstream
        self.follower = follower
        self.load = UNKNOWN_LOAD
        self.executing_order = False
        self.draining = False
        self.attempts = AttemptTable()
        self.offered_demand = OfferedDemandTable()
        self.attempt_ended = Notifier()
        self._nursery: trio.Nursery | None = None

    @property
    def ready(self) -> bool:
        """Whether new attempts are accepted."""
        return not (self.draining or self.executing_order or self.load.changing or self._nursery is None)

    async def run(self, req: RunRequest, send: Callable[[Frame], None]) -> None:
        """Start or resume the attempt and send its frames."""
        attempt = self.attempts.get(req.attempt) or self._admit(req)
        attempt.listeners += 1
        try:
            async with aclosing(attempt.frames(req.from_chunk)) as frames:
                async for frame in frames:
                    send(frame._replace(load=self.report()) if frame.kind is FrameKind.end else frame)
        finally:
            attempt.listeners -= 1
            self.attempt_ended.notify_all()

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt; one not seen yet is prevented from starting later."""
        attempt = self.attempts.get(req.attempt)
        if attempt is None:
            end = AttemptOutcome.not_started if req.incarnation == self.incarnation else AttemptOutcome.unknown
            self.attempts.create(req.attempt, ORPHAN_TIMEOUT_S).finish(end, 'cancelled_before_start')
            return CancelReply(end)
        attempt.scope.cancel()
        while attempt.end_frame is None:
            await attempt.changed.wait()
        return CancelReply(attempt.end_frame.outcome)

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Answer a heartbeat with the load."""
        await trio.lowlevel.checkpoint()
        self.offered_demand.on_heartbeat(req)
        return self.report()

    def report(self) -> LoadReport:
        """Return the status and the last known load."""
        return LoadReport(
            runner=self.runner,
            incarnation=self.incarnation,
            ready=self.ready,
            draining=self.draining,
            folded_offset=self.follower.state.offset,
            offered_demand=self.offered_demand.total(),
            load=self.load,
        )

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Return the control log records after the given offset."""
        return SyncReply(self.follower.records_after(req.after))

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Handle a claim on an idempotency key."""
        return await self.coordinators.claim(req)

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Store the outcome of the run under an idempotency key."""
        return await self.coordinators.settle(req)

    async def serve_attempts(self) -> None:
        """Run attempts until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def poll_load(self) -> None:
        """Request the load from the upstream periodically."""
        while True:
            await self.refresh_load()
            await trio.sleep(LOAD_INTERVAL_S)

    async def refresh_load(self) -> UpstreamLoad:
        """Request the load from the upstream; without a reply it counts as not ready.

        The last report stays valid until the reply: if the agent were not
        ready during each request, it would reject work each time.
        """
        load = UNKNOWN_LOAD._replace(role=self.load.role)
        with trio.move_on_after(UPSTREAM_TIMEOUT_S), suppress(UpstreamError, UpstreamUnreachableError):
            load = await self.upstream.load()
        self.load = load
        return load

    async def prune_attempts(self) -> None:
        """Cancel attempts without listeners and remove old ones."""
        orphan_rounds: dict[int, int] = {}
        while True:
            await trio.sleep(PRUNE_INTERVAL_S)
            self.attempts.prune()
            orphan_rounds = self._cancel_orphans(orphan_rounds)

    async def drained(self) -> None:
        """Wait until nothing runs and every listener received the end frame."""
        while self.attempts.active_count:
            await self.attempt_ended.wait()

    def _cancel_orphans(self, orphan_rounds: dict[int, int]) -> dict[int, int]:
        orphans = [attempt for attempt in self.attempts if attempt.end_frame is None and not attempt.listeners]
        rounds = {id(orphan): orphan_rounds.get(id(orphan), 0) + 1 for orphan in orphans}
        for orphan in orphans:
            # Its instance failed. If it kept running, it would take engine
            # time from answers that callers still wait for.
            if rounds[id(orphan)] * PRUNE_INTERVAL_S > ORPHAN_TIMEOUT_S:
                orphan.scope.cancel()
        return rounds

    def _admit(self, req: RunRequest) -> Attempt:
        attempt = self.attempts.create(req.attempt, req.timeout_s)
        refusal = self._refusal(req)
        if refusal is not None:
            attempt.finish(*refusal)
            return attempt
        if self._nursery is not None:
            self._nursery.start_soon(self._execute, req, attempt)
        return attempt

    def _refusal(self, req: RunRequest) -> tuple[AttemptOutcome, str] | None:
        if req.incarnation != self.incarnation:
            # A previous incarnation may have run a resumed attempt. One sent
            # for the first time was sent only here, so it has not started.
            return (AttemptOutcome.unknown if req.resume else AttemptOutcome.not_started), 'other_incarnation'
        if req.resume:
            # The first message was lost or is delayed. The attempt is now
            # recorded as ended, so the delayed message can't start it.
            return AttemptOutcome.not_started, NEVER_ARRIVED
        if not self.ready:
            return AttemptOutcome.not_started, 'not_ready'
        return None

    async def _execute(self, req: RunRequest, attempt: Attempt) -> None:
        attempt.scope.deadline = attempt.deadline
        with attempt.scope:
            await self._collect_chunks(req, attempt)
        if attempt.end_frame is None:
            with trio.move_on_after(UPSTREAM_TIMEOUT_S, shield=True):
                await self._cancel_upstream(req.attempt)
            attempt.finish(AttemptOutcome.cancelled, 'cancelled')
        self.attempt_ended.notify_all()

    async def _collect_chunks(self, req: RunRequest, attempt: Attempt) -> None:
        try:
            async with aclosing(self.upstream.start(req.attempt, req.job)) as chunks:
                async for chunk in chunks:
                    attempt.add_chunk(chunk)
        except UpstreamUnreachableError:
            attempt.finish(AttemptOutcome.not_started, 'upstream_unreachable')
        except UpstreamError:
            attempt.finish(AttemptOutcome.failed if attempt.chunks else AttemptOutcome.unknown, 'upstream_broke_off')
        except Exception as exc:
            # An answer that the adapter can't parse must end only its own
            # attempt; raised from here, the error would end all others too.
            events.log_event(events.ATTEMPT_BROKE, attempt=req.attempt, cause=repr(exc))
            attempt.finish(AttemptOutcome.failed if attempt.chunks else AttemptOutcome.unknown, 'upstream_unreadable')
        else:
            attempt.finish(AttemptOutcome.answered)

    async def _cancel_upstream(self, name: str) -> None:
        try:
            await self.upstream.cancel(name)
        except (UpstreamError, UpstreamUnreachableError):
            self.load = UNKNOWN_LOAD._replace(role=self.load.role)


__all__ = ('Agent',)
