"""Listener that accepts all waiting connections at once while they arrive in excess."""

from __future__ import annotations

import socket
from collections import deque
from typing import TYPE_CHECKING

import trio

from sesamepoint import events

if TYPE_CHECKING:
    from collections.abc import Callable

# Connections that wait to be accepted, as in trio's own listeners.
BACKLOG = 0xFFFF
# Most connections that are accepted in one pass of the loop.
MAX_AT_ONCE = 64


class BurstListener(trio.abc.Listener[trio.SocketStream]):
    """Accepts one connection in each pass of the loop, or all waiting ones while they arrive in excess.

    One in each pass keeps a lagging process from reading more than it can serve. Those that it closes
    unread must not wait for that: their callers try another instance only then.
    """

    def __init__(self, raw: socket.socket, in_excess: Callable[[], bool]) -> None:
        """Accept on a listening socket."""
        self.socket = trio.socket.from_stdlib_socket(raw)
        self._raw = raw
        self._listener = trio.SocketListener(self.socket)
        self._in_excess = in_excess
        self._accepted: deque[trio.SocketStream] = deque()

    @classmethod
    def open(cls, host: str, port: int, in_excess: Callable[[], bool]) -> BurstListener:
        """Listen at an address."""
        return cls(socket.create_server((host, port), backlog=BACKLOG), in_excess)

    async def accept(self) -> trio.SocketStream:
        """Return the next connection."""
        if not self._accepted:
            self._accepted.append(await self._listener.accept())
            if self._in_excess():
                self._accept_waiting()
        return self._accepted.popleft()

    async def aclose(self) -> None:
        """Stop listening; connections that nobody has taken are closed unread."""
        while self._accepted:
            self._accepted.popleft().socket.close()
        await self._listener.aclose()

    def _accept_waiting(self) -> None:
        for _ in range(MAX_AT_ONCE):
            try:
                conn, _address = self._raw.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                events.log_event(events.CONNECTION_NOT_ACCEPTED, cause=repr(exc))
                return
            self._accepted.append(trio.SocketStream(trio.socket.from_stdlib_socket(conn)))


__all__ = ('BurstListener',)
