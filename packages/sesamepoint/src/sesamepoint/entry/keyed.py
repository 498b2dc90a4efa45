"""Requests with an idempotency key: at most one run, its answer replayed to retries."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Outcome, Unknown
from sesamepoint.incarnation import new_id
from sesamepoint.keys.asker import KeyAsker, claim_of
from sesamepoint.keys.messages import ClaimReply, Standing
from sesamepoint.link.messages import End

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
    """One run, which continues after its caller disconnects."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.outcome: Outcome | None = None
        channels = trio.open_memory_channel[bytes](float('inf'))
        self._sender = channels[0]
        self.receiver = channels[1]

    async def keep(self, chunk: bytes) -> None:
        """Store a chunk and pass it to the caller's channel."""
        await trio.lowlevel.checkpoint()
        self.chunks.append(chunk)
        self._sender.send_nowait(chunk)

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome and close the caller's channel."""
        self.outcome = outcome
        self._sender.close()


class KeyedRequests:
    """Claims keys, runs requests whose claim is granted and replays stored answers.

    Parameters
    ----------
    asker
        Client of the coordinators of keys.
    serve
        Serves a request, ignoring its key.
    rng
        Source of random numbers for the ids of owners.
    ended
        Notified when a run ends.
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
        """Hold the nursery of the runs, until cancelled.

        A caller that loses its connection retries with its key to fetch the
        answer. If the run ended with the connection, the retry would get the
        outcome `unknown`, although the request may have taken effect.
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
        remaining_s = started + req.timeout_s - trio.current_time()
        if reply.standing is Standing.granted and remaining_s > 0:
            outcome = await self._serve(req._replace(timeout_s=remaining_s), run.keep)
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
    return Unknown('key_unknown', 'check whether it took effect before using a new key')


__all__ = ('KeyedRequests',)
