"""HTTP handler for the connections of callers: one task each, requests in sequence."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.reply import Reply
from sesamepoint.http1.messages import RejectedMessageError
from sesamepoint.http1.server import CallerGoneError, ServerConn, ServerLimits
from sesamepoint.platform.headers import decode_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.dispatch import Dispatcher
    from sesamepoint.front.request import FrontRequest
    from sesamepoint.http1.transport import Transport

UNAVAILABLE = 503
# Retry-After of a stopping instance, in seconds: other instances can serve the retry at once.
AT_ONCE_S = 0.02


class Door:
    """Serves the connections of callers and supports a graceful stop."""

    def __init__(self, dispatcher: Dispatcher, limits: Callable[[], ServerLimits]) -> None:
        """Pass requests to ``dispatcher``; ``limits`` is called for each new connection."""
        self.stopping = False
        self.active = 0
        # Time on trio's clock; once it is set, a request is accepted only if its
        # deadline is no later than that.
        self.end_by = math.inf
        self._dispatcher = dispatcher
        self._limits = limits
        self._idle: set[trio.CancelScope] = set()

    async def serve(self, transport: Transport) -> None:
        """Serve one connection to its end; never raises."""
        conn = ServerConn(transport, self._limits(), lambda: self.stopping)
        try:
            await self._converse(conn)
        except CallerGoneError:
            return
        except Exception as exc:
            # A failure on one connection must not affect the others.
            events.log_event(events.CONNECTION_BROKE, cause=repr(exc))
        finally:
            transport.close()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for scope in tuple(self._idle):
            scope.cancel()

    async def _converse(self, conn: ServerConn) -> None:
        while await self._next_request(conn):
            if not await self._take_request(conn):
                return
            conn.next_cycle()

    async def _next_request(self, conn: ServerConn) -> bool:
        with trio.CancelScope() as scope:
            self._idle.add(scope)
            try:
                return await conn.first_byte()
            finally:
                self._idle.discard(scope)
        return False

    async def _take_request(self, conn: ServerConn) -> bool:
        self.active += 1
        try:
            await self._answer(conn, decode_request(await conn.request()))
        except RejectedMessageError as exc:
            conn.closing = True
            events.log_event(events.REQUEST_REJECTED, status=exc.status, cause=str(exc))
            await Reply(conn).refuse(exc.status, str(exc))
        finally:
            self.active -= 1
        return conn.reusable

    async def _answer(self, conn: ServerConn, req: FrontRequest) -> None:
        reply = Reply(conn)
        if self._outlasts(req):
            events.log_event(events.REQUEST_TURNED_AWAY, request=req.request_id)
            return await reply.refuse(UNAVAILABLE, 'this instance is stopping; it has not run', AT_ONCE_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_gone, conn, req, nursery.cancel_scope)
            try:
                await self._dispatcher.serve(req, reply)
            except CallerGoneError:
                events.log_event(events.CALLER_LEFT, request=req.request_id)
            nursery.cancel_scope.cancel()

    def _outlasts(self, req: FrontRequest) -> bool:
        """Return whether ``req`` might be cut off by the end of this process.

        Callers reuse a connection after a long answer, and so send requests 5 s
        or more after the signal to stop. The answers of such requests were cut
        off when the platform killed the process.
        """
        if self.end_by == math.inf:
            return False
        return req.deadline_s is None or req.arrived + req.deadline_s > self.end_by

    async def _cancel_when_gone(self, conn: ServerConn, req: FrontRequest, scope: trio.CancelScope) -> None:
        """Cancel the request once its caller has disconnected, so that no runner works in vain."""
        await conn.watch()
        events.log_event(events.CALLER_LEFT, request=req.request_id)
        scope.cancel()


__all__ = ('Door',)
