"""One attempt to have a request served by one runner."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.front.job import successful
from sesamepoint.front.gate import GateClosedError, Purpose, SendKind
from sesamepoint.front.results import AttemptResult, Broken, Rejected, Relayed, RunFailed, Silent, Unsent, Withheld
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.headers import answers, encode_request, replaced, returned, says_not_run, signed
from sesamepoint.single_error import single_error

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.member import Member
    from sesamepoint.front.reply import Reply
    from sesamepoint.front.request import FrontRequest
    from sesamepoint.http1.client import ClientConn
    from sesamepoint.http1.messages import ResponseHead
    from sesamepoint.platform.headers import Sending

# A larger body of an answer that comes whole is passed on in parts.
BUFFERED_BYTES = 262144


class Target(NamedTuple):
    """Where an attempt goes, and how long it may stay without a sign.

    ``on_sign`` is called at the first sign of an answer, ``on_pause`` with
    the seconds between two events.
    """

    member: Member
    sending: Sending
    patience_s: float = math.inf
    on_sign: Callable[[], None] | None = None
    on_pause: Callable[[float], None] | None = None
    purpose: Purpose = Purpose(SendKind.run)


class Attempt:
    """Sends the request, and passes the answer on if it is a good one."""

    def __init__(self, req: FrontRequest, target: Target, reply: Reply, *, streamed: bool) -> None:
        """Prepare; nothing is sent before :meth:`run`."""
        self.first_at: float | None = None
        self._req = req
        self._target = target
        self._reply = reply
        self._streamed = streamed
        self._patience = trio.CancelScope()
        self._ticket = 0
        self._last_event_at: float | None = None

    async def run(self) -> AttemptResult:
        """Run to the end; a connection that ends the wait is closed.

        Closing makes the runner drop the work, so that nothing runs for
        callers that have gone and no second run overlaps with the first.
        """
        member = self._target.member
        started = trio.current_time()
        self._ticket = member.health.sent(started)
        self._patience.deadline = started + self._target.patience_s
        member.in_flight += 1
        try:
            with self._patience:
                return await self._exchange(member)
        finally:
            member.in_flight -= 1
            member.health.settled(self._ticket)
        return Silent()

    async def _exchange(self, member: Member) -> AttemptResult:
        try:
            conn = await member.connection(self._target.purpose)
        except ConnectFailedError as exc:
            return Unsent(str(exc))
        try:
            with single_error():
                return await self._converse(conn)
        except GateClosedError as exc:
            return Withheld(exc.condition)
        except ConnBrokenError as exc:
            return Broken(str(exc), ended=await member.has_ended())
        finally:
            member.give_back(conn)

    async def _converse(self, conn: ClientConn) -> AttemptResult:
        # Nothing is sent on for a caller that has gone.
        self._reply.check_caller()
        wire = conn.begin(encode_request(self._req, self._target.sending), self._req.body)
        async with trio.open_nursery() as nursery:
            # A runner may answer before it has read a long body.
            nursery.start_soon(conn.send_quietly, wire)
            became = await self._read(conn)
            nursery.cancel_scope.cancel()
        return became

    async def _read(self, conn: ClientConn) -> AttemptResult:
        head = await conn.head(partial(answers, self._req))
        if says_not_run(head):
            await conn.rest()
            return Rejected(head.status, replaced(head, self._target.member.runner.key))
        if not successful(head.status):
            return RunFailed(head, await conn.rest())
        if not signed(head):
            return Broken('an answer that no runner signed')
        if self._streamed:
            return await self._relay_events(conn, head)
        await self._note_sign()
        return await self._relay_whole(conn, head)

    async def _relay_whole(self, conn: ClientConn, head: ResponseHead) -> AttemptResult:
        held = b''
        while chunk := await conn.chunk():
            held += chunk
            if len(held) > BUFFERED_BYTES:
                await self._begin(head)
                await self._reply.part(held)
                held = b''
        if self._reply.begun:
            await self._finish(held)
        else:
            await self._reply.whole(head.status, returned(head), held)
        return Relayed(head.status)

    async def _relay_events(self, conn: ClientConn, head: ResponseHead) -> AttemptResult:
        splitter = self._reply.events
        splitter.restart()
        while chunk := await conn.chunk():
            whole = splitter.feed(chunk)
            if whole:
                await self._note_sign()
                self._note_pause()
                await self._begin(head)
                await self._reply.part(whole)
        await self._begin(head)
        await self._finish(splitter.rest)
        return Relayed(head.status)

    async def _begin(self, head: ResponseHead) -> None:
        if not self._reply.begun:
            await self._reply.begin(head.status, returned(head))

    async def _finish(self, rest: bytes) -> None:
        if rest:
            await self._reply.part(rest)
        await self._reply.end()

    def _note_pause(self) -> None:
        now = trio.current_time()
        self._target.member.health.heard(now)
        if self._last_event_at is not None and self._target.on_pause:
            self._target.on_pause(now - self._last_event_at)
        self._last_event_at = now

    async def _note_sign(self) -> None:
        """End the wait for a sign, unless it has already run out.

        If the sign and the end of patience fall together, the cancellation
        would strike in the middle of writing to the caller, and the next
        attempt's answer would begin where half a head was meant to be.
        """
        if self.first_at is None:
            await trio.lowlevel.checkpoint_if_cancelled()
            self.first_at = trio.current_time()
            self._target.member.health.heard(self.first_at)
            self._patience.deadline = math.inf
            self._target.member.health.settled(self._ticket)
            if self._target.on_sign:
                self._target.on_sign()


__all__ = ('Attempt', 'Target')
