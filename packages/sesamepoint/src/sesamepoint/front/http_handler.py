"""HTTP handler for the connections of callers: one task each, requests in sequence."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint import events
from sesamepoint.front.requests.reply import Reply
from sesamepoint.front.requests.retry_after import DEFAULT_DEADLINE_S, RETRY_ELSEWHERE_S
from sesamepoint.http1.messages import RejectedRequestError, header
from sesamepoint.http1.server import CallerGoneError, NoRoomError, ServerConn, ServerLimits
from sesamepoint.platform.headers import decode_request
from sesamepoint.platform.wire_names import REQUEST_ID

if TYPE_CHECKING:
    from sesamepoint_core.serving.routes import Configuration

    from sesamepoint.front.dispatch import Dispatcher
    from sesamepoint.front.instance_room.room import InstanceRoom
    from sesamepoint.front.requests.request import FrontRequest
    from sesamepoint.http1.transport import Transport

UNAVAILABLE = 503
# A connection that has been idle for less is not closed for lack of descriptors: its first request may be on the
# way.
MIN_IDLE_S = 0.5


class _IdleConnection(NamedTuple):
    since: float
    conn: ServerConn


class HttpHandler:
    """Serves the connections of callers and supports a graceful stop."""

    def __init__(self, dispatcher: Dispatcher, room: InstanceRoom) -> None:
        """Pass requests to ``dispatcher`` within ``room``."""
        self.stopping = False
        self.active = 0
        self._dispatcher = dispatcher
        self._room = room
        # In the order in which they became idle.
        self._idle: dict[trio.CancelScope, _IdleConnection] = {}

    async def serve(self, transport: Transport) -> None:
        """Serve one connection to its end; never raises."""
        connections = self._room.connections
        if not connections.admit_caller() or self._room.lag.sheds_connection(self._dispatcher.configuration):
            # Closed before anything of a request was read, so that the caller knows that nothing ran.
            transport.close()
            return
        with connections.caller_connection():
            await self._serve_connection(transport)

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for scope in tuple(self._idle):
            scope.cancel()

    def close_longest_idle(self, number: int) -> int:
        """Close up to ``number`` connections that have been idle for a time; return how many were closed."""
        idle_before = trio.current_time() - MIN_IDLE_S
        closable = (scope for scope, idle in self._idle.items() if idle.since < idle_before and idle.conn.is_idle())
        longest = list(islice(closable, number))
        for scope in longest:
            self._idle.pop(scope)
            scope.cancel()
        return len(longest)

    async def _serve_connection(self, transport: Transport) -> None:
        account = self._room.memory.open_account(transport.peer, lambda: _disconnect(conn))
        conn = ServerConn(transport, self._limits, lambda: self.stopping, account)
        try:
            await self._serve_requests(conn)
        except CallerGoneError:
            return
        except Exception as exc:
            # A failure on one connection must not affect the others.
            events.log_event(events.CONNECTION_BROKE, cause=repr(exc))
        finally:
            conn.close()
            account.close()

    def _limits(self) -> ServerLimits:
        return _server_limits(self._dispatcher.configuration)

    async def _serve_requests(self, conn: ServerConn) -> None:
        while await self._next_request(conn):
            if not await self._read_and_serve(conn):
                return
            conn.start_next_cycle()

    async def _next_request(self, conn: ServerConn) -> bool:
        with trio.CancelScope() as scope:
            self._idle[scope] = _IdleConnection(trio.current_time(), conn)
            try:
                return await conn.wait_for_request()
            finally:
                self._idle.pop(scope, None)
        return False

    async def _read_and_serve(self, conn: ServerConn) -> bool:
        self.active += 1
        try:
            await self._serve_request(conn, decode_request(await conn.read_request()))
        except RejectedRequestError as exc:
            conn.closing = True
            events.log_event(events.REQUEST_REJECTED, status=exc.status, cause=str(exc))
            await Reply(conn).refuse(exc.status, str(exc))
        except NoRoomError as exc:
            await self._refuse_for_memory(conn, exc)
        finally:
            self.active -= 1
            conn.release_request()
        return conn.reusable

    async def _serve_request(self, conn: ServerConn, req: FrontRequest) -> None:
        reply = Reply(conn)
        async with trio.open_nursery() as nursery:
            if self._room.memory.limited:
                conn.outbox.start_task = nursery.start_soon
            nursery.start_soon(self._cancel_on_disconnect, conn, req, nursery.cancel_scope)
            try:
                await self._serve_and_flush(conn, req, reply)
            except CallerGoneError:
                events.log_event(events.CALLER_DISCONNECTED, request=req.request_id)
            nursery.cancel_scope.cancel()
        conn.outbox.start_task = None

    async def _serve_and_flush(self, conn: ServerConn, req: FrontRequest, reply: Reply) -> None:
        await self._dispatcher.serve(req, reply)
        # The parts of an answer that broke off are delivered too.
        left_s = req.left_s(trio.current_time())
        with trio.move_on_after(DEFAULT_DEADLINE_S if left_s is None else max(left_s, 0)):
            await conn.flush()
        await conn.wait_until_received()

    async def _refuse_for_memory(self, conn: ServerConn, exc: NoRoomError) -> None:
        memory = self._room.memory
        memory.refused += 1
        request_id = header(exc.head.headers, REQUEST_ID) or b''
        events.log_event(
            events.REQUEST_REFUSED_MEMORY,
            request=request_id.decode('latin-1'),
            held_bytes=memory.held.total,
            bound_bytes=int(memory.bounds.refuse),
        )
        await Reply(conn).refuse(UNAVAILABLE, 'this instance is short of memory; it has not run', RETRY_ELSEWHERE_S)

    async def _cancel_on_disconnect(self, conn: ServerConn, req: FrontRequest, scope: trio.CancelScope) -> None:
        """Cancel the request once its caller has disconnected, so that no runner works in vain."""
        await conn.wait_for_close()
        events.log_event(events.CALLER_DISCONNECTED, request=req.request_id)
        scope.cancel()


def _server_limits(cfg: Configuration | None) -> ServerLimits:
    if cfg is None:
        return ServerLimits()
    limits = cfg.limits
    return ServerLimits(limits.head_bytes, limits.body_bytes, limits.head_s, limits.idle_s)


def _disconnect(conn: ServerConn) -> None:
    conn.outbox.drop()
    conn.close()


__all__ = ('HttpHandler',)
