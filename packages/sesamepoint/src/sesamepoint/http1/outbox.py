"""Bytes of responses that wait for a caller that reads slowly."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.http1.transport import Transport

    StartTask = Callable[[Callable[[], Awaitable[None]]], None]

# Size of the pieces in which waiting bytes are sent; each piece that the caller takes is counted at once.
PIECE_BYTES = 16384
# Bytes that may wait for one caller; beyond them nothing more is read for it. A whole answer that is not larger leaves
# its runner at once, however slowly its caller reads; one without end must not fill this process.
MAX_WAITING_BYTES = 262_144


class HeldAccount(Protocol):
    """Count of the bytes that are held for one caller, and the bounds on them."""

    def admits(self, more: int) -> bool:
        """Return whether ``more`` bytes of a request may be read into memory."""

    def add(self, size: int) -> None:
        """Count bytes that are held from now on."""

    def remove(self, size: int) -> None:
        """Count bytes that are no longer held."""

    def add_body(self, size: int) -> None:
        """Count bytes of a request's body that are held from now on."""

    def remove_body(self, size: int) -> None:
        """Count bytes of a request's body that are no longer held."""

    def must_pause(self) -> bool:
        """Return whether nothing more may be read for this caller."""

    async def wait_for_room(self) -> None:
        """Wait until some bytes of any holder have been released."""

    async def wait_for_turn(self) -> None:
        """Wait until a part of a large answer may be passed on to this caller."""


class Outbox:
    """Sends responses in order, without waiting as long as the bounds on held bytes allow that."""

    def __init__(self, transport: Transport, held: HeldAccount) -> None:
        """Send on ``transport`` and report the waiting bytes to ``held``."""
        # Starts the task that sends waiting bytes; without it, each send waits.
        self.start_task: StartTask | None = None
        self.broken = False
        self._transport = transport
        self._held = held
        self._pieces: deque[memoryview] = deque()
        self._waiting_bytes = 0
        self._piece_taken = trio.Event()

    @property
    def empty(self) -> bool:
        """Return whether all bytes were sent."""
        return not self._pieces and not self.broken

    async def send(self, wire: bytes) -> None:
        """Send ``wire``, or keep it until the caller takes it; wait if too much is held, for it or in all.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken.
        """
        self._check()
        if self.start_task is None:
            await self._send_waiting(wire)
            return
        sent = 0 if self._pieces else self._transport.send_now(wire)
        if sent < len(wire):
            self._keep(memoryview(wire)[sent:])
        while self._pieces and self._is_full:
            await self._wait_for_less()
            self._check()

    async def flush(self) -> None:
        """Wait until all bytes were sent.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken.
        """
        while self._pieces and not self.broken:
            await self._piece_taken.wait()
        self._check()

    def drop(self) -> None:
        """Drop the waiting bytes and mark the connection as broken."""
        self.broken = True
        while self._pieces:
            self._remove_piece()
        self._note_taken()

    @property
    def _is_full(self) -> bool:
        return self._waiting_bytes > MAX_WAITING_BYTES or self._held.must_pause()

    async def _wait_for_less(self) -> None:
        if self._waiting_bytes > MAX_WAITING_BYTES:
            await self._piece_taken.wait()
        else:
            await self._held.wait_for_room()

    async def _send_waiting(self, wire: bytes) -> None:
        try:
            await self._transport.send_all(wire)
        except BaseException:
            # A cancelled send may have sent a part; nothing may follow that on the connection.
            self.broken = True
            raise

    def _check(self) -> None:
        if self.broken:
            raise trio.BrokenResourceError

    def _keep(self, rest: memoryview) -> None:
        idle = not self._pieces
        self._waiting_bytes += len(rest)
        self._pieces.extend(rest[at : at + PIECE_BYTES] for at in range(0, len(rest), PIECE_BYTES))
        if idle and self.start_task is not None:
            self.start_task(self._send_pieces)
        # Last, because it drops all pieces if this caller is over the last bound.
        self._held.add(len(rest))

    async def _send_pieces(self) -> None:
        try:
            while self._pieces:
                await self._transport.send_all(bytes(self._pieces[0]))
                self._take_piece()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The task that writes the response gets this error at its next send.
            self.drop()

    def _take_piece(self) -> None:
        # The pieces were dropped if the connection was closed during the send.
        if self._pieces:
            self._remove_piece()
            self._note_taken()

    def _remove_piece(self) -> None:
        size = len(self._pieces.popleft())
        self._waiting_bytes -= size
        self._held.remove(size)

    def _note_taken(self) -> None:
        self._piece_taken.set()
        self._piece_taken = trio.Event()


class UnboundedAccount:
    """Counts nothing and allows everything, for connections that are not those of callers."""

    def admits(self, more: int) -> bool:
        """Return True."""
        return True

    def add(self, size: int) -> None:
        """Do nothing."""

    def remove(self, size: int) -> None:
        """Do nothing."""

    def add_body(self, size: int) -> None:
        """Do nothing."""

    def remove_body(self, size: int) -> None:
        """Do nothing."""

    def must_pause(self) -> bool:
        """Return False."""
        return False

    async def wait_for_room(self) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()

    async def wait_for_turn(self) -> None:
        """Return at once."""
        await trio.lowlevel.checkpoint()


__all__ = ('HeldAccount', 'Outbox', 'UnboundedAccount')
