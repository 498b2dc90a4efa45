"""Receives from a connection, with limits on the bytes and the time of what is read."""

from __future__ import annotations

import errno
import math
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import trio

from sesamepoint_core.body_end.body_facts import ReadEnd
from sesamepoint import events
from sesamepoint.http1.messages import ConnBrokenError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint.http1.transport import Transport

RECEIVE_BYTES = 65536
# Errors by which this system gives a connection up; the far end may still read what it was sent.
NETWORK_ERRORS = frozenset((errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH))


@dataclass
class _Limit:
    """Bytes that were received of some part of a response, and the most that may be."""

    part: str
    max_bytes: int
    received: int = 0


class Patience(Protocol):
    """Decides what happens when nothing is received until its deadline, on trio's clock."""

    deadline: float

    def expire(self) -> None:
        """Set the next deadline, or raise an error that ends the wait."""


class LimitedReceiver:
    """Receives bytes; a part of a response that exceeds its limit breaks the connection."""

    def __init__(self, transport: Transport) -> None:
        """Receive from ``transport``, without a limit so far."""
        self._transport = transport
        self._limit: _Limit | None = None
        # Bounds each wait for bytes; none without one.
        self.patience: Patience | None = None

    async def receive(self) -> bytes:
        """Return the next bytes; empty at the end.

        Raises
        ------
        ConnBrokenError
            If the connection broke, or the limit of what is read now is exceeded.
        """
        try:
            received = await self._receive_patiently()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnBrokenError(repr(exc), _read_end_of(exc)) from exc
        limit = self._limit
        if limit is not None:
            limit.received += len(received)
            if limit.received > limit.max_bytes:
                raise self.given_up(f'{limit.part} of more than {limit.max_bytes} bytes')
        return received

    def given_up(self, cause: str) -> ConnBrokenError:
        """Log that what is read now exceeds a limit, and return the error to raise."""
        if self._limit is not None:
            self._log_given_up(self._limit)
        return ConnBrokenError(cause, ReadEnd.given_up)

    @contextmanager
    def limited(self, part: str, max_bytes: int, limit_s: float = math.inf) -> Iterator[None]:
        """Limit what is read inside, in bytes (framing included) and seconds; a time-out leaves it and is logged."""
        limit = _Limit(part, max_bytes)
        self._limit = limit
        try:
            with trio.move_on_after(limit_s) as scope:
                yield
        finally:
            self._limit = None
        if scope.cancelled_caught:  # noqa: WPS441
            self._log_given_up(limit)

    async def _receive_patiently(self) -> bytes:
        while self.patience is not None:
            # No bytes are lost by a cancelled receive.
            with trio.move_on_at(self.patience.deadline):
                return await self._transport.receive_some(RECEIVE_BYTES)
            self.patience.expire()
        return await self._transport.receive_some(RECEIVE_BYTES)

    def _log_given_up(self, limit: _Limit) -> None:
        events.log_event(
            events.RESPONSE_GIVEN_UP,
            address=self._transport.peer,
            part=limit.part,
            received_bytes=limit.received,
            limit_bytes=limit.max_bytes,
        )


def _read_end_of(exc: Exception) -> ReadEnd:
    cause = exc.__cause__
    timed_out = isinstance(cause, OSError) and cause.errno in NETWORK_ERRORS
    return ReadEnd.timed_out if timed_out else ReadEnd.reset


__all__ = ('RECEIVE_BYTES', 'LimitedReceiver', 'Patience')
