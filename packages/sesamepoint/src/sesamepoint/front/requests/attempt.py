"""One attempt to have a request served by one runner: the exchange and its relay to the caller."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.body_end.body_facts import BodyFacts, BodyKind, ReadEnd
from sesamepoint_core.body_end.decision import BrokenOff, Complete, Unmarked, decide_end, settle
from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint.front.requests.job import is_success
from sesamepoint.front.requests.patience import Patience, RecentSilence, RunnerSilentError
from sesamepoint.front.requests.start_check import check_start
from sesamepoint.front.runners.incarnation_check import START_CHECK_S, SenderState, sender_state
from sesamepoint.front.runners.send_check import SendBlockedError
from sesamepoint.front.requests.attempt_results import (
    AttemptResult,
    Broken,
    Rejected,
    Relayed,
    RunFailed,
    Silent,
    Unsent,
    Withheld,
)
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.headers import (
    encode_request,
    is_other_incarnation,
    is_signed,
    matches_request,
    may_be_event_stream,
    reports_not_run,
    response_headers,
)
from sesamepoint.single_error import single_error

if TYPE_CHECKING:
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.requests.arrivals import Sent
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.requests.reply import Reply
    from sesamepoint.front.requests.request import FrontRequest
    from sesamepoint.front.requests.target import Target
    from sesamepoint.http1.client import ClientConn
    from sesamepoint.http1.messages import ResponseHead

# Bodies of unstreamed answers beyond this size are relayed in parts.
MAX_BUFFERED_BYTES = 262144
# Parts of an answer that are relayed as they come; later ones wait for their turn. Usual answers have fewer.
PARTS_WITHOUT_TURN = 64
# Seconds for which the body of a rejection is read, so that its connection can be used again. It mostly comes
# together with the head; the request waits meanwhile to be sent elsewhere.
REJECTION_BODY_LIMIT_S = 0.05
# Seconds for which the body of a failure is read; it mostly comes together with the head.
FAILURE_BODY_LIMIT_S = 1.0
# Seconds for which the check of a runner holds for its next connection, if the checked one ended with the report.
# A restart takes longer; in a freeze of this process a runner may restart.
CHECK_VALID_S = START_CHECK_S


class Attempt:
    """Sends the request to a runner and relays a successful answer to the caller."""

    def __init__(self, req: FrontRequest, target: Target, reply: Reply, *, streamed: bool) -> None:
        """Prepare an attempt; nothing is sent before :meth:`run`."""
        self.first_output_at: float | None = None
        # How the body of an answer ended; None without one.
        self.body_end: Complete | BrokenOff | None = None
        self._req = req
        self._target = target
        self._reply = reply
        self._streamed = streamed
        # Until the request is sent; from then on, the patience decides.
        self._silence_scope = trio.CancelScope()
        self.patience = Patience(target.silence_timeout_s)
        self._health_ticket = 0
        self._last_event_at: float | None = None
        # Whether the runner is known to be the incarnation that its registration describes.
        self._start_known = True
        self._sent: Sent | None = None
        self._silence = RecentSilence()
        # Parts and bytes of the answer that were read.
        self._parts_read = 0
        self.answer_bytes = 0

    async def run(self) -> AttemptResult:
        """Run the attempt; its connection is closed if the answer did not end on it.

        Closing it makes the runner cancel the work, so that nothing runs for
        callers that have disconnected, and no retry overlaps with this attempt.
        """
        member = self._target.member
        started = trio.current_time()
        self._health_ticket = member.health.note_sent(started)
        self._silence_scope.deadline = started + self._target.silence_timeout_s
        member.in_flight += 1
        try:
            with self._silence_scope:
                return await self._exchange(member)
        finally:
            self._reply.set_buffered(0)
            self._note_settled(member)
        return Silent()

    def _note_settled(self, member: Member) -> None:
        member.in_flight -= 1
        member.health.note_settled(self._health_ticket, trio.current_time())

    async def _exchange(self, member: Member, checked_at: float = -math.inf) -> AttemptResult:
        try:
            conn = await member.connection(self._target.purpose)
        except ConnectFailedError as exc:
            return Unsent(str(exc), local=exc.local)
        member.health.note_connected(self._health_ticket, trio.current_time())
        checked = trio.current_time() - checked_at < CHECK_VALID_S
        try:
            return await self._send_on(member, conn, checked=checked)
        except SendBlockedError as exc:
            return Withheld(exc.condition)
        except RunnerSilentError:
            return Silent(counted=self.patience.on_silence is not None)
        except ConnBrokenError as exc:
            if self._sent is not None:
                self._sent.note_broken(exc.read_end)
            return Broken(str(exc), runner_ended=await member.has_ended())
        finally:
            conn.receiver.patience = None
            member.release(conn)

    async def _send_on(self, member: Member, conn: ClientConn, *, checked: bool) -> AttemptResult:
        job = self._target.purpose.job
        if job is not None and job.route.repeat is RepeatPolicy.resume and not checked:
            return await self._check_and_send(member, conn, job)
        with single_error():
            return await self._send_and_read(conn)

    async def _check_and_send(self, member: Member, conn: ClientConn, job: Job) -> AttemptResult:
        """Send a request whose stream may go on elsewhere, once the runner's start has been checked."""
        check = await check_start(member, conn, job)
        if check.blocked is not None:
            return check.blocked
        self._start_known = check.known
        if not conn.recycle():
            # The runner takes no second request on this connection. Another check would close the next
            # connection too.
            return await self._exchange(member, trio.current_time())
        return await self._send_on(member, conn, checked=True)

    async def _send_and_read(self, conn: ClientConn) -> AttemptResult:
        # Nothing is sent for a caller that has disconnected.
        self._reply.check_caller()
        request_bytes = conn.start_request(encode_request(self._req, self._target.sending), self._req.body)
        self._sent = self._target.purpose.latest_send
        self.patience.begin(self._silence_scope.deadline)
        self._silence_scope.deadline = math.inf
        conn.receiver.patience = self.patience
        rest = request_bytes[conn.send_now(request_bytes) :]
        if not rest:
            return await self._read_answer(conn)
        async with trio.open_nursery() as nursery:
            # A runner may answer before it has received all of a long body.
            nursery.start_soon(conn.send_ignoring_errors, rest)
            outcome = await self._read_answer(conn)
            nursery.cancel_scope.cancel()
        return outcome

    async def _read_answer(self, conn: ClientConn) -> AttemptResult:
        head = await conn.read_head(lambda received: matches_request(self._req, received))
        if self._sent is not None:
            self._sent.note_answer()
        if reports_not_run(head):
            # That it was not run stands in the head, and holds whatever becomes of the body.
            self.patience.end()
            await conn.skip_body(REJECTION_BODY_LIMIT_S)
            return Rejected(head.status, is_other_incarnation(head, self._target.member.runner.key))
        if not is_success(head.status):
            return await self._read_failure(conn, head)
        if not is_signed(head):
            return Broken('the answer has no signature of a runner')
        if self._streamed and may_be_event_stream(head):
            return await self._relay_events(conn, head)
        self._note_first_output()
        return await self._relay_whole(conn, head)

    async def _read_failure(self, conn: ClientConn, head: ResponseHead) -> RunFailed:
        self.patience.end()
        body = await conn.read_body(limit_s=FAILURE_BODY_LIMIT_S)
        end = await self._end_of(BodyFacts(BodyKind.plain, body.framing, body.read_end))
        runner_ended = isinstance(end, BrokenOff) and await self._target.member.has_ended()
        return RunFailed(head, body.payload, end, runner_ended)

    async def _relay_whole(self, conn: ClientConn, head: ResponseHead) -> AttemptResult:
        buffered: list[bytes] = []
        size = 0
        part = await self._next_part(conn)
        while isinstance(part, bytes):
            buffered.append(part)
            size += len(part)
            self._reply.set_buffered(size)
            if self._reply.started or size > MAX_BUFFERED_BYTES or self._reply.must_pause():
                await self._send_parts(head, buffered)
                size = 0
            part = await self._next_part(conn)
        end = await self._end_of(BodyFacts(BodyKind.plain, conn.framing, part))
        if isinstance(end, BrokenOff):
            return await self._broken_off(end)
        if self._reply.started:
            await self._reply.end(end)
        else:
            headers = response_headers(head, self._req.head.method)
            await self._reply.relay_whole(head.status, headers, b''.join(buffered), end)
        return Relayed(head.status, end)

    async def _next_part(self, conn: ClientConn) -> bytes | ReadEnd:
        if self._parts_read > PARTS_WITHOUT_TURN or self.answer_bytes > MAX_BUFFERED_BYTES:
            await self._reply.wait_for_turn()
        part = await conn.read_part()
        if isinstance(part, bytes):
            self._silence.note_part(trio.current_time())
            self._parts_read += 1
            self.answer_bytes += len(part)
        return part

    async def _send_parts(self, head: ResponseHead, parts: list[bytes]) -> None:
        """Send parts of an answer, and keep none that was sent."""
        left_bytes = sum(map(len, parts))
        while parts:
            left_bytes -= len(parts[0])
            self._reply.set_buffered(left_bytes)
            await self._send_part(head, parts.pop(0))

    async def _relay_events(self, conn: ClientConn, head: ResponseHead) -> AttemptResult:
        splitter = self._reply.events
        splitter.restart()
        part = await self._next_part(conn)
        while isinstance(part, bytes):
            whole_events = splitter.feed(part)
            self._reply.set_buffered(splitter.kept_bytes)
            if whole_events:
                self._note_first_output()
                self._note_pause()
                self._fix_origin()
                await self._send_part(head, whole_events)
            part = ReadEnd.given_up if splitter.too_long else await self._next_part(conn)
        end = await self._end_of(
            BodyFacts(BodyKind.events, conn.framing, part, splitter.whole_events, splitter.left_over_bytes)
        )
        if isinstance(end, BrokenOff):
            return await self._broken_off(end)
        if not self._reply.started:
            await self._reply.begin(head.status, response_headers(head), splitter.take_comments())
        await self._reply.end(end)
        return Relayed(head.status, end)

    async def _end_of(self, facts: BodyFacts) -> Complete | BrokenOff:
        end = decide_end(facts)
        if isinstance(end, Unmarked):
            # The end of the answer waits for this, not its events.
            end = settle(end, sender_ended=await self._sender_ended(facts.kind))
        self.body_end = end
        return end

    async def _sender_ended(self, kind: BodyKind) -> bool:
        """Tell whether the end of a body counts as that of its sender; in doubt it does if another runner may go on."""
        job = self._target.purpose.job
        now = trio.current_time()
        state = await sender_state(self._target.member, now, job, kind, silent=self._silence.before_end(now))
        resumable = job is not None and job.route.repeat is RepeatPolicy.resume
        return state is SenderState.ended or (resumable and state is SenderState.unknown)

    async def _broken_off(self, end: BrokenOff) -> Broken:
        return Broken(str(end), runner_ended=await self._target.member.has_ended(), end=end)

    async def _send_part(self, head: ResponseHead, body: bytes) -> None:
        """Send a part of the answer, the first one in one packet with the head."""
        if self._reply.started:
            await self._reply.send_part(body)
        else:
            await self._reply.begin(head.status, response_headers(head), body)

    def _note_pause(self) -> None:
        now = trio.current_time()
        self._target.member.health.note_activity(now)
        if self._last_event_at is not None and self._target.on_pause:
            self._target.on_pause(now - self._last_event_at)
        self._last_event_at = now

    def _fix_origin(self) -> None:
        job = self._target.purpose.job
        if job is not None:
            job.note_event_of(self._target.member.runner, start_known=self._start_known)

    def _note_first_output(self) -> None:
        """Record the first output, after which the runner is not silent any more."""
        if self.first_output_at is None:
            self.first_output_at = trio.current_time()
            self.patience.end()
            self._target.member.health.note_first_output(self._health_ticket, self.first_output_at)
            if self._target.on_first_output:
                self._target.on_first_output()


__all__ = ('Attempt',)
