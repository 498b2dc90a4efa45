"""Requests with an idempotency key: at most one run, one answer for all."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Outcome, Unknown
from sesamepoint.keys.asker import KeyAsker, claim_of
from sesamepoint.keys.messages import ClaimReply, Standing
from sesamepoint.link.messages import End
from sesamepoint.unique_ids import new_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from random import Random

    from sesamepoint_core.keys.fold import Claim
    from sesamepoint.control.signal import Signal
    from sesamepoint.entry.request import CallerRequest

    Emit = Callable[[bytes], Awaitable[None]]
    Serve = Callable[[CallerRequest, Emit], Awaitable[Outcome]]

RETRY_AFTER_S = 2.0
_ENDS = MappingProxyType(
    {
        Answered.tag: End.answered,
        NotRun.tag: End.not_started,
        Failed.tag: End.failed,
        Unknown.tag: End.unknown,
    }
)


class _Run:
    """One run, which goes on when its caller has gone."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.outcome: Outcome | None = None
        channels = trio.open_memory_channel[bytes](float('inf'))
        self._sender = channels[0]
        self.receiver = channels[1]

    async def keep(self, chunk: bytes) -> None:
        """Keep a chunk and hand it to the caller, if it is still there."""
        await trio.lowlevel.checkpoint()
        self.chunks.append(chunk)
        self._sender.send_nowait(chunk)

    def finish(self, outcome: Outcome) -> None:
        """Settle the outcome."""
        self.outcome = outcome
        self._sender.close()


class KeyedRequests:
    """Claims keys, runs what was granted, replays what is kept.

    Parameters
    ----------
    asker
        The way to the homes.
    serve
        Serves a request without regard to its key.
    rng
        For the identities of owners.
    ended
        Set off when a run ends.
    """

    def __init__(self, asker: KeyAsker, serve: Serve, rng: Random, ended: Signal) -> None:
        """Start without runs."""
        self._asker = asker
        self._serve = serve
        self.running = 0
        self._rng = rng
        self._ended = ended
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Hold the nursery of the runs.

        A caller that loses its connection sends its key again and wants the
        answer. Were its run to end with the connection, it would be told
        `unknown` about a booking that nothing stopped from being made.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def serve(self, req: CallerRequest, emit: Emit) -> Outcome:
        """Serve a request that has a key."""
        if self._nursery is None:
            return NotRun('starting', 'send it again with the same key', RETRY_AFTER_S)
        run = _Run()
        self._nursery.start_soon(self._count_run, run, req)
        return await _pass_on(run, emit)

    async def _count_run(self, run: _Run, req: CallerRequest) -> None:
        self.running += 1
        try:
            await self._claim_and_run(run, req)
        finally:
            self.running -= 1
            self._ended.set_off()

    async def _claim_and_run(self, run: _Run, req: CallerRequest) -> None:
        started = trio.current_time()
        claim = claim_of(req, new_id(self._rng))
        reply = await self._asker.claim(claim, req.timeout_s)
        left_s = started + req.timeout_s - trio.current_time()
        if reply.standing is Standing.granted and left_s > 0:
            outcome = await self._serve(req._replace(timeout_s=left_s), run.keep)
            await self._settle(claim, outcome, run.chunks)
        elif reply.standing in {Standing.granted, Standing.unavailable}:
            outcome = NotRun('keys_unavailable', 'send it again with the same key', RETRY_AFTER_S)
            await self._settle(claim, outcome, ())
        else:
            outcome = await _replay(reply, run.keep)
        run.finish(outcome)

    async def _settle(self, claim: Claim, outcome: Outcome, chunks: Sequence[bytes]) -> None:
        code = '' if isinstance(outcome, Answered) else outcome.code
        await self._asker.settle(claim, _ENDS[outcome.tag], code, chunks)


async def _pass_on(run: _Run, emit: Emit) -> Outcome:
    async for chunk in run.receiver:
        await emit(chunk)
    assert run.outcome is not None  # noqa: S101
    return run.outcome


async def _replay(reply: ClaimReply, emit: Emit) -> Outcome:
    if reply.standing is Standing.reused:
        return NotRun('key_reused', 'use a new key for a new request', RETRY_AFTER_S)
    if reply.standing is Standing.running:
        return Unknown('still_running', 'send it again with the same key')
    if reply.standing is Standing.done and reply.end is End.answered:
        for chunk in reply.chunks:
            await emit(chunk)
        return Answered(len(reply.chunks), late=False)
    if reply.standing is Standing.done and reply.end is End.failed:
        return Failed(reply.code, 'use a new key to run it again')
    return Unknown('key_unknown', 'look whether it took effect before using a new key')


__all__ = ('KeyedRequests',)
