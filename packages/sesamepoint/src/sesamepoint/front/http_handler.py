"""HTTP handler for the connections of callers: one task each, requests in sequence."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.requests.reply import Reply
from sesamepoint.http1.messages import RejectedRequestError
from sesamepoint.http1.server import CallerGoneError, ServerConn, ServerLimits
from sesamepoint.platform.headers import decode_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint.front.dispatch import Dispatcher
    from sesamepoint.front.requests.request import FrontRequest
    from sesamepoint.http1.transport import Transport

UNAVAILABLE = 503
# Retry-After of a stopping instance, in seconds: other instances can serve the retry at once.
RETRY_NOW_S = 0.02


class HttpHandler:
    """Serves the connections of callers and supports a graceful stop."""

    def __init__(self, dispatcher: Dispatcher, limits: Callable[[], ServerLimits]) -> None:
        """Pass requests to ``dispatcher``; ``limits`` is called for each new connection."""
        self.stopping = False
        self.active = 0
        # Time on trio's clock; once it is set, a request is accepted only if its
        # deadline is no later than that.
        self.must_end_by = math.inf
        self._dispatcher = dispatcher
        self._limits = limits
        self._idle: set[trio.CancelScope] = set()

    async def serve(self, transport: Transport) -> None:
        """Serve one connection to its end; never raises."""
        conn = ServerConn(transport, self._limits(), lambda: self.stopping)
        try:
            await self._serve_requests(conn)
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

    async def _serve_requests(self, conn: ServerConn) -> None:
        while await self._next_request(conn):
            if not await self._read_and_serve(conn):
                return
            conn.start_next_cycle()

    async def _next_request(self, conn: ServerConn) -> bool:
        with trio.CancelScope() as scope:
            self._idle.add(scope)
            try:
                return await conn.wait_for_request()
            finally:
                self._idle.discard(scope)
        return False

    async def _read_and_serve(self, conn: ServerConn) -> bool:
        self.active += 1
        try:
            await self._serve_request(conn, decode_request(await conn.read_request()))
        except RejectedRequestError as exc:
            conn.closing = True
            events.log_event(events.REQUEST_REJECTED, status=exc.status, cause=str(exc))
            await Reply(conn).refuse(exc.status, str(exc))
        finally:
            self.active -= 1
        return conn.reusable

    async def _serve_request(self, conn: ServerConn, req: FrontRequest) -> None:
        reply = Reply(conn)
        if self._may_outlast_stop(req):
            events.log_event(events.REQUEST_REFUSED_STOPPING, request=req.request_id)
            return await reply.refuse(UNAVAILABLE, 'this instance is stopping; it has not run', RETRY_NOW_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, conn, req, nursery.cancel_scope)
            try:
                await self._dispatcher.serve(req, reply)
            except CallerGoneError:
                events.log_event(events.CALLER_DISCONNECTED, request=req.request_id)
            nursery.cancel_scope.cancel()

    def _may_outlast_stop(self, req: FrontRequest) -> bool:
        """Return whether ``req`` might be cut off by the end of this process.

        Callers reuse a connection after a long answer, and so send requests 5 s
        or more after the signal to stop. The answers of such requests were cut
        off when the platform killed the process.
        """
        if self.must_end_by == math.inf:
            return False
        return req.deadline_s is None or req.arrived_at + req.deadline_s > self.must_end_by

    async def _cancel_on_disconnect(self, conn: ServerConn, req: FrontRequest, scope: trio.CancelScope) -> None:
        """Cancel the request once its caller has disconnected, so that no runner works in vain."""
        await conn.wait_for_close()
        events.log_event(events.CALLER_DISCONNECTED, request=req.request_id)
        scope.cancel()


__all__ = ('HttpHandler',)
