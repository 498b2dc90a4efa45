"""Attempt at one runner, resumed on new connections when one is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.answer.assembly import Assembler
from sesamepoint_core.errors import LinkLostError
from sesamepoint import events
from sesamepoint.link.messages import DEADLINE_PASSED, AttemptOutcome, CancelRequest, Frame, FrameKind, RunRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sesamepoint.entry.request import CallerRequest
    from sesamepoint.entry.runner_view import RunnerView

FRAME_TIMEOUT_S = 12.0
MAX_CONNECTIONS = 4
RECONNECT_DELAY_S = 0.1
CANCEL_TIMEOUT_S = 2.0


class AttemptResult(NamedTuple):
    """Outcome of an attempt, as far as this instance knows it.

    The number counts the chunks passed on to the caller.
    """

    outcome: AttemptOutcome
    code: str
    released_chunks: int


class RunnerAttempt:
    """Sends one attempt to a runner and receives its frames until the outcome is known."""

    def __init__(
        self,
        name: str,
        view: RunnerView,
        req: CallerRequest,
        emit: Callable[[bytes], Awaitable[None]],
    ) -> None:
        """Prepare an attempt at the runner of ``view``; chunks go to ``emit`` in order, once each."""
        self._name = name
        self._view = view
        self._req = req
        self._emit = emit
        self._link = view.link
        self._incarnation = view.report.incarnation if view.report else ''
        self._assembler = Assembler()

    async def run(self, deadline: float) -> AttemptResult:
        """Run until the attempt ends, or until ``deadline`` on trio's clock."""
        self._view.add_attempt(self._name, self._req.job)
        try:
            return await self._run_until(deadline)
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await self._cancel(AttemptOutcome.cancelled, 'caller_gone')
            raise
        finally:
            self._view.remove_attempt(self._name)

    async def _run_until(self, deadline: float) -> AttemptResult:
        with trio.move_on_at(deadline):
            return await self._run_with_reconnects(deadline)
        return await self._cancel(AttemptOutcome.cancelled, DEADLINE_PASSED)

    async def _run_with_reconnects(self, deadline: float) -> AttemptResult:
        for connection in range(MAX_CONNECTIONS):
            if connection:
                # The agent keeps the attempt: ask it to continue from the
                # first missing chunk. This does not start a second run.
                events.log_event(events.ATTEMPT_RESUMED, attempt=self._name, from_chunk=self._assembler.released)
                await trio.sleep(RECONNECT_DELAY_S * connection)
            generation = self._link.generation
            try:
                return await self._run_on_connection(deadline, resume=connection > 0)
            except LinkLostError:
                self._link.renew(generation)
        return await self._cancel(AttemptOutcome.unknown, 'runner_lost')

    async def _run_on_connection(self, deadline: float, *, resume: bool) -> AttemptResult:
        remaining_s = deadline - trio.current_time()
        req = RunRequest(self._name, self._incarnation, self._assembler.released, resume, remaining_s, self._req.job)
        async with self._link.run(req) as frames:
            while True:
                frame = await self._next_frame(frames)
                if frame.kind is FrameKind.chunk:
                    await self._release_chunks(frame)
                elif frame.kind is FrameKind.end:
                    return self._finish(frame)

    async def _next_frame(self, frames: AsyncIterator[Frame]) -> Frame:
        with trio.move_on_after(FRAME_TIMEOUT_S):
            return await anext(frames)
        raise LinkLostError(self._view.cfg['agent'], f'silent for {FRAME_TIMEOUT_S} s')

    async def _release_chunks(self, frame: Frame) -> None:
        for chunk in self._assembler.push(frame.number, frame.payload):
            await self._emit(chunk)

    def _finish(self, frame: Frame) -> AttemptResult:
        if frame.load is not None:
            self._view.on_report(frame.load, trio.current_time())
        released = self._assembler.released
        self._assembler.expect_total(frame.number)
        if frame.outcome is AttemptOutcome.answered and not self._assembler.complete:
            raise LinkLostError(self._view.cfg['agent'], f'{released} of {frame.number} chunks came')
        return AttemptResult(frame.outcome, frame.code, released)

    async def _cancel(self, outcome: AttemptOutcome, code: str) -> AttemptResult:
        """Cancel the attempt and return its outcome.

        It is ``not_started`` if the agent says so, ``unknown`` if the agent
        does not reply, and the given one otherwise.
        """
        generation = self._link.generation
        with trio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                reply = await self._link.cancel(CancelRequest(self._name, self._incarnation))
            except LinkLostError:
                self._link.renew(generation)
                return AttemptResult(AttemptOutcome.unknown, code, self._assembler.released)
            if reply.outcome is AttemptOutcome.not_started:
                return AttemptResult(AttemptOutcome.not_started, code, self._assembler.released)
            return AttemptResult(outcome, code, self._assembler.released)
        return AttemptResult(AttemptOutcome.unknown, code, self._assembler.released)


__all__ = ('AttemptResult', 'RunnerAttempt')
