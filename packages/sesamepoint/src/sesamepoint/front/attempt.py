"""One attempt to have a request served by one runner: the exchange and its relay to the caller."""

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

# Bodies of unstreamed answers beyond this size are relayed in parts.
BUFFERED_BYTES = 262144


class Target(NamedTuple):
    """The runner of an attempt, how long it may stay silent, and callbacks.

    Parameters
    ----------
    patience_s
        Seconds until the first output, after which the attempt ends.
    on_sign
        Called at the first output of the runner.
    on_pause
        Called with the seconds between two events.
    """

    member: Member
    sending: Sending
    patience_s: float = math.inf
    on_sign: Callable[[], None] | None = None
    on_pause: Callable[[float], None] | None = None
    purpose: Purpose = Purpose(SendKind.run)


class Attempt:
    """Sends the request to a runner and relays a successful answer to the caller."""

    def __init__(self, req: FrontRequest, target: Target, reply: Reply, *, streamed: bool) -> None:
        """Prepare an attempt; nothing is sent before :meth:`run`."""
        self.first_at: float | None = None
        self._req = req
        self._target = target
        self._reply = reply
        self._streamed = streamed
        self._patience = trio.CancelScope()
        self._ticket = 0
        self._last_event_at: float | None = None

    async def run(self) -> AttemptResult:
        """Run the attempt; its connection is closed if the answer did not end on it.

        Closing it makes the runner cancel the work, so that nothing runs for
        callers that have disconnected, and no retry overlaps with this attempt.
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
        # Nothing is sent for a caller that has disconnected.
        self._reply.check_caller()
        request_bytes = conn.begin(encode_request(self._req, self._target.sending), self._req.body)
        async with trio.open_nursery() as nursery:
            # A runner may answer before it has received all of a long body.
            nursery.start_soon(conn.send_quietly, request_bytes)
            outcome = await self._read(conn)
            nursery.cancel_scope.cancel()
        return outcome

    async def _read(self, conn: ClientConn) -> AttemptResult:
        head = await conn.head(partial(answers, self._req))
        if says_not_run(head):
            await conn.rest()
            return Rejected(head.status, replaced(head, self._target.member.runner.key))
        if not successful(head.status):
            return RunFailed(head, await conn.rest())
        if not signed(head):
            return Broken('the answer has no signature of a runner')
        if self._streamed:
            return await self._relay_events(conn, head)
        await self._note_sign()
        return await self._relay_whole(conn, head)

    async def _relay_whole(self, conn: ClientConn, head: ResponseHead) -> AttemptResult:
        buffered = b''
        while chunk := await conn.chunk():
            buffered += chunk
            if len(buffered) > BUFFERED_BYTES:
                await self._begin(head)
                await self._reply.part(buffered)
                buffered = b''
        if self._reply.begun:
            await self._finish(buffered)
        else:
            await self._reply.whole(head.status, returned(head), buffered)
        return Relayed(head.status)

    async def _relay_events(self, conn: ClientConn, head: ResponseHead) -> AttemptResult:
        splitter = self._reply.events
        splitter.restart()
        while chunk := await conn.chunk():
            whole_events = splitter.feed(chunk)
            if whole_events:
                await self._note_sign()
                self._note_pause()
                await self._begin(head)
                await self._reply.part(whole_events)
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
        """Record the first output and disarm the silence timeout, unless that has already expired.

        Without the checkpoint, a timeout that expires together with the first
        output would cancel the write to the caller midway, and the answer of the
        next attempt would follow half a response head.
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
