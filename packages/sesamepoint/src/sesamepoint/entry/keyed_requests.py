"""Requests with an idempotency key: at most one run, its answer replayed to retries."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Outcome, Unknown
from sesamepoint.keys.key_client import KeyClient, make_claim
from sesamepoint.keys.messages import ClaimReply, KeyStatus
from sesamepoint.link.messages import AttemptOutcome
from sesamepoint.unique_ids import new_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence
    from random import Random

    from sesamepoint_core.keys.claims import Claim
    from sesamepoint.control.notifier import Notifier
    from sesamepoint.entry.request import CallerRequest

    Emit = Callable[[bytes], Awaitable[None]]
    Serve = Callable[[CallerRequest, Emit], Awaitable[Outcome]]

RETRY_AFTER_S = 2.0
_ATTEMPT_OUTCOMES = MappingProxyType(
    {
        Answered.tag: AttemptOutcome.answered,
        NotRun.tag: AttemptOutcome.not_started,
        Failed.tag: AttemptOutcome.failed,
        Unknown.tag: AttemptOutcome.unknown,
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

    async def add_chunk(self, chunk: bytes) -> None:
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
    key_client
        Client of the coordinators of keys.
    serve
        Serves a request, ignoring its key.
    rng
        Source of random numbers for the ids of owners.
    run_ended
        Notified when a run ends.
    """

    def __init__(self, key_client: KeyClient, serve: Serve, rng: Random, run_ended: Notifier) -> None:
        """Start without runs."""
        self._key_client = key_client
        self._serve = serve
        self.running_count = 0
        self._rng = rng
        self._run_ended = run_ended
        self._nursery: trio.Nursery | None = None

    async def hold_nursery(self) -> None:
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
        return await _forward_chunks(run, emit)

    async def _count_run(self, run: _Run, req: CallerRequest) -> None:
        self.running_count += 1
        try:
            await self._claim_and_run(run, req)
        finally:
            self.running_count -= 1
            self._run_ended.notify_all()

    async def _claim_and_run(self, run: _Run, req: CallerRequest) -> None:
        started = trio.current_time()
        claim = make_claim(req, new_id(self._rng))
        reply = await self._key_client.claim(claim, req.timeout_s)
        remaining_s = started + req.timeout_s - trio.current_time()
        if reply.status is KeyStatus.granted and remaining_s > 0:
            outcome = await self._serve(req._replace(timeout_s=remaining_s), run.add_chunk)
            await self._settle_claim(claim, outcome, run.chunks)
        elif reply.status in {KeyStatus.granted, KeyStatus.unavailable}:
            outcome = NotRun('keys_unavailable', 'send it again with the same key', RETRY_AFTER_S)
            await self._settle_claim(claim, outcome, ())
        else:
            outcome = await _replay(reply, run.add_chunk)
        run.finish(outcome)

    async def _settle_claim(self, claim: Claim, outcome: Outcome, chunks: Sequence[bytes]) -> None:
        code = '' if isinstance(outcome, Answered) else outcome.code
        await self._key_client.settle(claim, _ATTEMPT_OUTCOMES[outcome.tag], code, chunks)


async def _forward_chunks(run: _Run, emit: Emit) -> Outcome:
    async for chunk in run.receiver:
        await emit(chunk)
    assert run.outcome is not None  # noqa: S101
    return run.outcome


async def _replay(reply: ClaimReply, emit: Emit) -> Outcome:
    if reply.status is KeyStatus.reused:
        return NotRun('key_reused', 'use a new key for a new request', RETRY_AFTER_S)
    if reply.status is KeyStatus.running:
        return Unknown('still_running', 'send it again with the same key')
    if reply.status is KeyStatus.done and reply.outcome is AttemptOutcome.answered:
        for chunk in reply.chunks:
            await emit(chunk)
        return Answered(len(reply.chunks), late=False)
    if reply.status is KeyStatus.done and reply.outcome is AttemptOutcome.failed:
        return Failed(reply.code, 'use a new key to run it again')
    return Unknown('key_unknown', 'look whether it took effect before using a new key')


__all__ = ('KeyedRequests',)
