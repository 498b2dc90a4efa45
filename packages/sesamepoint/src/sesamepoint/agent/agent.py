"""The only door to one upstream: every attempt and order passes here."""

from __future__ import annotations

from contextlib import aclosing, suppress
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import UpstreamError
from sesamepoint import events
from sesamepoint.agent.attempts import Attempt, AttemptTable
from sesamepoint.agent.offered import OfferedTable
from sesamepoint.control.signal import Signal
from sesamepoint.link.messages import (
    NEVER_ARRIVED,
    BeatRequest,
    CancelReply,
    CancelRequest,
    End,
    Frame,
    FrameKind,
    LoadReport,
    RunRequest,
    SyncReply,
    SyncRequest,
)
from sesamepoint.upstream.base import NO_LOAD, UnreachableError, UpstreamLoad

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.control.follower import Follower
    from sesamepoint.keys.homes import KeyHomes
    from sesamepoint.keys.messages import ClaimReply, ClaimRequest, SettleReply, SettleRequest
    from sesamepoint.upstream.base import Upstream

LOAD_INTERVAL_S = 1.0
ORPHAN_S = 10.0
PRUNE_INTERVAL_S = 5.0
CLEAN_UP_S = 2.0
UNKNOWN_LOAD = NO_LOAD._replace(changing=True)


class Agent:
    """Runs attempts at its upstream and tells how they went.

    Parameters
    ----------
    runner
        Name of the runner it sits beside.
    upstream
        The adapter to the upstream.
    follower
        The control log's fold; its writer is the agent's incarnation.
    homes
        The idempotency keys that it gathers for.
    """

    def __init__(self, runner: str, upstream: Upstream, follower: Follower, homes: KeyHomes) -> None:
        """Start closed; :meth:`run_parts` opens the door."""
        self.runner = runner
        self.incarnation = follower.writer
        self.homes = homes
        self.upstream = upstream
        self.follower = follower
        self.load = UNKNOWN_LOAD
        self.held = False
        self.leaving = False
        self.attempts = AttemptTable()
        self.offered = OfferedTable()
        self.ended = Signal()
        self._nursery: trio.Nursery | None = None

    @property
    def ready(self) -> bool:
        """Whether new attempts are taken."""
        return not (self.leaving or self.held or self.load.changing or self._nursery is None)

    async def run(self, req: RunRequest, send: Callable[[Frame], None]) -> None:
        """Start or find the attempt and send its frames."""
        attempt = self.attempts.get(req.attempt) or self._admit(req)
        attempt.listeners += 1
        try:
            async with aclosing(attempt.frames(req.from_chunk)) as frames:
                async for frame in frames:
                    send(frame._replace(load=self.report()) if frame.kind is FrameKind.end else frame)
        finally:
            attempt.listeners -= 1
            self.ended.set_off()

    async def cancel(self, req: CancelRequest) -> CancelReply:
        """Stop an attempt; one never seen is barred from starting."""
        attempt = self.attempts.get(req.attempt)
        if attempt is None:
            end = End.not_started if req.incarnation == self.incarnation else End.unknown
            self.attempts.create(req.attempt, ORPHAN_S).finish(end, 'cancelled_before_start')
            return CancelReply(end)
        attempt.scope.cancel()
        while attempt.end is None:
            await attempt.changed.wait()
        return CancelReply(attempt.end.end)

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Answer with a sign of life and the load."""
        await trio.lowlevel.checkpoint()
        self.offered.hear(req)
        return self.report()

    def report(self) -> LoadReport:
        """Return the load as it is known now."""
        return LoadReport(
            runner=self.runner,
            incarnation=self.incarnation,
            ready=self.ready,
            leaving=self.leaving,
            folded=self.follower.state.offset,
            offered=self.offered.total(),
            load=self.load,
        )

    async def sync(self, req: SyncRequest) -> SyncReply:
        """Hand out records that the asker lacks."""
        return SyncReply(self.follower.records_after(req.after))

    async def claim(self, req: ClaimRequest) -> ClaimReply:
        """Answer for an idempotency key."""
        return await self.homes.claim(req)

    async def settle(self, req: SettleRequest) -> SettleReply:
        """Keep the answer for an idempotency key."""
        return await self.homes.settle(req)

    async def serve_attempts(self) -> None:
        """Hold the nursery in which attempts run."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None

    async def watch_load(self) -> None:
        """Keep the newest report of the upstream."""
        while True:
            await self.refresh_load()
            await trio.sleep(LOAD_INTERVAL_S)

    async def refresh_load(self) -> UpstreamLoad:
        """Ask the upstream now; a silent one counts as not ready.

        Until it answers the last report stands: an agent that called itself
        not ready while it asked would turn work away each time.
        """
        load = UNKNOWN_LOAD._replace(role=self.load.role)
        with trio.move_on_after(CLEAN_UP_S), suppress(UpstreamError, UnreachableError):
            load = await self.upstream.load()
        self.load = load
        return load

    async def tidy(self) -> None:
        """Stop attempts that nobody listens to and forget old ones."""
        unheard: dict[int, int] = {}
        while True:
            await trio.sleep(PRUNE_INTERVAL_S)
            self.attempts.prune()
            unheard = self._cancel_orphans(unheard)

    async def drained(self) -> None:
        """Wait until nothing runs and every listener has its end."""
        while self.attempts.running:
            await self.ended.wait()

    def _cancel_orphans(self, unheard: dict[int, int]) -> dict[int, int]:
        alone = [found for found in self.attempts if found.end is None and not found.listeners]
        rounds = {id(found): unheard.get(id(found), 0) + 1 for found in alone}
        for found in alone:
            # Its entry died. Left running, it would take the engine's time
            # from answers that somebody still waits for.
            if rounds[id(found)] * PRUNE_INTERVAL_S > ORPHAN_S:
                found.scope.cancel()
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

    def _refusal(self, req: RunRequest) -> tuple[End, str] | None:
        if req.incarnation != self.incarnation:
            # A former incarnation may have run a resumed attempt. One sent
            # for the first time was sent here only, and stops here.
            return (End.unknown if req.resume else End.not_started), 'other_incarnation'
        if req.resume:
            # The first message was lost or is still on its way. The attempt
            # now stands here as ended, so the late message cannot start it.
            return End.not_started, NEVER_ARRIVED
        if not self.ready:
            return End.not_started, 'not_ready'
        return None

    async def _execute(self, req: RunRequest, attempt: Attempt) -> None:
        attempt.scope.deadline = attempt.deadline
        with attempt.scope:
            await self._collect(req, attempt)
        if attempt.end is None:
            with trio.move_on_after(CLEAN_UP_S, shield=True):
                await self._cancel_upstream(req.attempt)
            attempt.finish(End.cancelled, 'cancelled')
        self.ended.set_off()

    async def _collect(self, req: RunRequest, attempt: Attempt) -> None:
        try:
            async with aclosing(self.upstream.start(req.attempt, req.job)) as chunks:
                async for chunk in chunks:
                    attempt.add(chunk)
        except UnreachableError:
            attempt.finish(End.not_started, 'upstream_unreachable')
        except UpstreamError:
            attempt.finish(End.failed if attempt.chunks else End.unknown, 'upstream_broke_off')
        except Exception as exc:
            # An answer that the adapter cannot read must end its own attempt
            # only; let through, it would end every other run beside it.
            events.log_event(events.ATTEMPT_BROKE, attempt=req.attempt, cause=repr(exc))
            attempt.finish(End.failed if attempt.chunks else End.unknown, 'upstream_unreadable')
        else:
            attempt.finish(End.answered)

    async def _cancel_upstream(self, name: str) -> None:
        try:
            await self.upstream.cancel(name)
        except (UpstreamError, UnreachableError):
            self.load = UNKNOWN_LOAD._replace(role=self.load.role)


__all__ = ('Agent',)
