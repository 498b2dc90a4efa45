"""Attempt at one runner, resumed on new connections when one is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.answer.assembly import Assembler
from sesamepoint_core.errors import LinkLostError
from sesamepoint import events
from sesamepoint.link.messages import DEADLINE_PASSED, CancelRequest, End, Frame, FrameKind, RunRequest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from sesamepoint.entry.request import CallerRequest
    from sesamepoint.entry.view import RunnerView

SILENCE_S = 12.0
MAX_CONNECTIONS = 4
RECONNECT_S = 0.1
CANCEL_WAIT_S = 2.0


class AttemptEnd(NamedTuple):
    """Outcome of an attempt, as far as this instance knows it.

    The number counts the chunks passed on to the caller.
    """

    end: End
    code: str
    released: int


class EntryAttempt:
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

    async def run(self, deadline: float) -> AttemptEnd:
        """Run until the attempt ends, or until ``deadline`` on trio's clock."""
        self._view.begin(self._name, self._req.job)
        try:
            return await self._until(deadline)
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await self._give_up(End.cancelled, 'caller_gone')
            raise
        finally:
            self._view.finish(self._name)

    async def _until(self, deadline: float) -> AttemptEnd:
        with trio.move_on_at(deadline):
            return await self._listen(deadline)
        return await self._give_up(End.cancelled, DEADLINE_PASSED)

    async def _listen(self, deadline: float) -> AttemptEnd:
        for connection in range(MAX_CONNECTIONS):
            if connection:
                # The agent keeps the attempt: ask it to continue from the
                # first missing chunk. This does not start a second run.
                events.log_event(events.ATTEMPT_RESUMED, attempt=self._name, from_chunk=self._assembler.released)
                await trio.sleep(RECONNECT_S * connection)
            generation = self._link.generation
            try:
                return await self._stream(deadline, resume=connection > 0)
            except LinkLostError:
                self._link.renew(generation)
        return await self._give_up(End.unknown, 'runner_lost')

    async def _stream(self, deadline: float, *, resume: bool) -> AttemptEnd:
        remaining_s = deadline - trio.current_time()
        req = RunRequest(self._name, self._incarnation, self._assembler.released, resume, remaining_s, self._req.job)
        async with self._link.run(req) as frames:
            while True:
                frame = await self._next_frame(frames)
                if frame.kind is FrameKind.chunk:
                    await self._release(frame)
                elif frame.kind is FrameKind.end:
                    return self._settle(frame)

    async def _next_frame(self, frames: AsyncIterator[Frame]) -> Frame:
        with trio.move_on_after(SILENCE_S):
            return await anext(frames)
        raise LinkLostError(self._view.cfg['agent'], f'no frame received for {SILENCE_S} s')

    async def _release(self, frame: Frame) -> None:
        for chunk in self._assembler.push(frame.number, frame.payload):
            await self._emit(chunk)

    def _settle(self, frame: Frame) -> AttemptEnd:
        if frame.load is not None:
            self._view.take_report(frame.load, trio.current_time())
        released = self._assembler.released
        self._assembler.finish(frame.number)
        if frame.end is End.answered and not self._assembler.complete:
            raise LinkLostError(self._view.cfg['agent'], f'{released} of {frame.number} chunks received')
        return AttemptEnd(frame.end, frame.code, released)

    async def _give_up(self, end: End, code: str) -> AttemptEnd:
        """Cancel the attempt and return its outcome.

        It is ``not_started`` if the agent says so, ``unknown`` if the agent
        does not reply, and the given one otherwise.
        """
        generation = self._link.generation
        with trio.move_on_after(CANCEL_WAIT_S):
            try:
                reply = await self._link.cancel(CancelRequest(self._name, self._incarnation))
            except LinkLostError:
                self._link.renew(generation)
                return AttemptEnd(End.unknown, code, self._assembler.released)
            if reply.end is End.not_started:
                return AttemptEnd(End.not_started, code, self._assembler.released)
            return AttemptEnd(end, code, self._assembler.released)
        return AttemptEnd(End.unknown, code, self._assembler.released)


__all__ = ('AttemptEnd', 'EntryAttempt')
