"""Remote prefill: one engine prefills a prompt whose decode runs at another."""

from __future__ import annotations

from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from sesamepoint_core.field_types import HeaderName
from sesamepoint import events
from sesamepoint.front.requests.attempt import REJECTION_BODY_LIMIT_S
from sesamepoint.front.requests.attempt_results import Withheld
from sesamepoint.front.runners.send_check import SendBlockedError, SendKind, SendPurpose
from sesamepoint.http1.documents import decode_document
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError
from sesamepoint.platform.engine_cache_calls import free_kv_handle
from sesamepoint.platform.headers import encode_request, is_other_incarnation, matches_request, reports_not_run
from sesamepoint.single_error import single_error

if TYPE_CHECKING:
    from sesamepoint.front.requests.arrivals import Sent
    from sesamepoint.front.requests.target import Target
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.requests.reply import Reply
    from sesamepoint.front.requests.request import FrontRequest
    from sesamepoint.http1.client import ClientConn
    from sesamepoint.http1.messages import ResponseHead

STATUS_OK = 200
# Timeout of a call that frees a handle. It may fail: the runner frees the memory itself
# when the handle expires.
FREE_TIMEOUT_S = 1.0
# Queue length of handles to be freed; it fills up only while a runner hangs.
MAX_QUEUED_HANDLES = 256


class Prefilled(NamedTuple):
    """Location of the KV cache of a prefilled prompt."""

    member: Member
    kv_handle: str

    @property
    def source(self) -> str:
        """Return the address and handle in the form that the decode engine expects."""
        return f'{self.member.runner.address}/{self.kv_handle}'


class PrefillArrival(Enum):
    """What became of a remote prefill at its runner.

    One that was neither accepted nor rejected, since no answer came, counts as unaccepted.
    """

    unsent = 'unsent'
    accepted = 'accepted'
    unaccepted = 'unaccepted'


class PrefillFailed(NamedTuple):
    """Cause of a failed remote prefill.

    Parameters
    ----------
    replaced
        Whether another incarnation now has the runner's address.
    ended
        Whether the runner refuses connections, which shows that it has ended.
    local
        Whether a limit of this process is the cause, so that the runner is not to blame.
    """

    cause: str
    # Whether no answer came before the timeout.
    timed_out: bool = False
    replaced: bool = False
    ended: bool = False
    local: bool = False
    arrival: PrefillArrival = PrefillArrival.unaccepted


class _HandleReply(msgspec.Struct):
    kv_handle: HeaderName


async def prefill(req: FrontRequest, target: Target, reply: Reply) -> Prefilled | PrefillFailed | Withheld:
    """Send the prompt of ``req`` to ``target`` for prefill, if the caller of ``reply`` is still connected."""
    member = target.member
    ticket = member.health.note_sent(trio.current_time())
    member.in_flight += 1
    try:
        with trio.move_on_after(target.silence_timeout_s):
            return await _exchange(req, target, reply)
    finally:
        member.in_flight -= 1
        member.health.note_settled(ticket, trio.current_time())
    return PrefillFailed('no answer in time', timed_out=True)


async def _exchange(req: FrontRequest, target: Target, reply: Reply) -> Prefilled | PrefillFailed | Withheld:
    member = target.member
    try:
        conn = await member.connection(target.purpose)
    except ConnectFailedError as exc:
        return PrefillFailed(str(exc), local=exc.local, arrival=PrefillArrival.unsent)
    try:
        with single_error():
            reply.check_caller()
            outcome = await _send_and_receive(req, target, conn)
    except SendBlockedError as exc:
        return Withheld(exc.condition)
    except ConnBrokenError as exc:
        return PrefillFailed(str(exc), ended=await member.has_ended())
    finally:
        member.release(conn)
    member.health.note_activity(trio.current_time())
    return outcome


async def _send_and_receive(req: FrontRequest, target: Target, conn: ClientConn) -> Prefilled | PrefillFailed:
    wire = conn.start_request(encode_request(req, target.sending), req.body)
    sent = target.purpose.latest_send
    async with trio.open_nursery() as nursery:
        nursery.start_soon(conn.send_ignoring_errors, wire)
        head = await _read_head(req, conn, sent)
        outcome = await _read_handle(target.member, conn, head)
        nursery.cancel_scope.cancel()
    return outcome


async def _read_head(req: FrontRequest, conn: ClientConn, sent: Sent | None) -> ResponseHead:
    try:
        head = await conn.read_head(partial(matches_request, req))
    except ConnBrokenError as exc:
        if sent is not None:
            sent.note_broken(exc.read_end)
        raise
    if sent is not None:
        if not reports_not_run(head):
            sent.sends.note_accepted_prefill(sent)
        sent.note_answer()
    return head


async def _read_handle(member: Member, conn: ClientConn, head: ResponseHead) -> Prefilled | PrefillFailed:
    if head.status != STATUS_OK:
        # That it failed stands in the head, and holds whatever becomes of the body.
        await conn.skip_body(REJECTION_BODY_LIMIT_S)
        replaced = is_other_incarnation(head, member.runner.key)
        arrival = PrefillArrival.unaccepted if reports_not_run(head) else PrefillArrival.accepted
        return PrefillFailed(f'status {head.status}', replaced=replaced, arrival=arrival)
    return Prefilled(member, decode_document(await conn.read_body(), _HandleReply).kv_handle)


class HandleReclaimer:
    """Frees KV cache handles that no decode engine will fetch."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        channel = trio.open_memory_channel[Prefilled](MAX_QUEUED_HANDLES)
        self._send_channel = channel[0]
        self._receive_channel = channel[1]

    def reclaim(self, prefilled: Prefilled) -> None:
        """Queue ``prefilled`` to be freed; if the queue is full, its handle is left to expire."""
        try:
            self._send_channel.send_nowait(prefilled)
        except trio.WouldBlock:
            events.log_event(
                events.HANDLE_NOT_FREED, runner=prefilled.member.runner.key, cause='too many handles are queued'
            )

    async def run(self) -> None:
        """Free handles until cancelled."""
        async for prefilled in self._receive_channel:
            with trio.move_on_after(FREE_TIMEOUT_S):
                await self._free(prefilled)

    async def _free(self, prefilled: Prefilled) -> None:
        """Free a handle; it expires by itself if the runner may not be called or the call fails."""
        member = prefilled.member
        runner = member.runner
        purpose = SendPurpose(SendKind.free_memory)
        condition = member.blocking_condition(purpose)
        if condition:
            return events.log_event(events.HANDLE_NOT_FREED, runner=runner.key, cause=condition)
        try:
            conn = await member.connection(purpose)
        except ConnectFailedError as exc:
            return events.log_event(events.HANDLE_NOT_FREED, runner=runner.key, cause=str(exc))
        try:
            await free_kv_handle(conn, runner.address, prefilled.kv_handle)
        except (ConnBrokenError, SendBlockedError) as exc:
            events.log_event(events.HANDLE_NOT_FREED, runner=runner.key, cause=str(exc))
        finally:
            member.release(conn)


__all__ = ('HandleReclaimer', 'PrefillArrival', 'PrefillFailed', 'Prefilled', 'prefill')
