"""Network whose connections carry one scripted response and end with it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

import trio

from sesamepoint_core.body_end.body_facts import Framing, ReadEnd

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_core.serving.address import Address

FRAMINGS = (Framing.length, Framing.chunked, Framing.until_close)
ENDS = (ReadEnd.closed, ReadEnd.reset)


class ScriptedResponse(NamedTuple):
    """A response that breaks off after ``sent`` bytes of its body, or is whole if that is all."""

    framing: Framing
    read_end: ReadEnd
    body: bytes
    sent: int
    status: int = 200
    # Header lines besides those of the framing.
    headers: bytes = b''

    @property
    def wire(self) -> bytes:
        """Return the bytes that are sent."""
        part = self.body[: self.sent]
        header = b''
        if self.framing is Framing.length:
            header = b'content-length: %d\r\n' % len(self.body)
        if self.framing is Framing.chunked:
            header = b'transfer-encoding: chunked\r\n'
            part = self._chunks(part)
        return b'HTTP/1.1 %d -\r\n%b%b\r\n%b' % (self.status, self.headers, header, part)

    def _chunks(self, part: bytes) -> bytes:
        chunk = b'%x\r\n%b\r\n' % (len(part), part) if part else b''
        last_chunk = b'0\r\n\r\n' if part == self.body else b''
        return chunk + last_chunk


class Response(Protocol):
    """Bytes of a response, and how its connection ends."""

    @property
    def wire(self) -> bytes:
        """Return the bytes."""

    @property
    def read_end(self) -> ReadEnd:
        """Return the end."""


class ScriptedTransport:
    """Connection on which a response arrives at once, whatever is sent."""

    peer = ''

    def __init__(self, response: Response) -> None:
        """Carry ``response``."""
        self._response = response
        self._unread = response.wire
        self._sent = False

    async def send_all(self, sent: bytes) -> None:
        """Take all bytes."""
        await trio.lowlevel.checkpoint()
        self._sent = True

    def send_now(self, sent: bytes) -> int:
        """Take all bytes."""
        self._sent = True
        return len(sent)

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the response, then its end."""
        await trio.lowlevel.checkpoint()
        received = self._unread
        self._unread = b''
        if not received and self._response.read_end is ReadEnd.reset:
            raise trio.BrokenResourceError
        return received

    def close(self) -> None:
        """Do nothing."""

    def reset(self) -> None:
        """Do nothing."""

    def unsent_bytes(self) -> int:
        """Return 0: all bytes are taken."""
        return 0

    def is_idle(self) -> bool:
        """Return whether nothing was sent yet."""
        return not self._sent

    def peer_closed(self) -> bool:
        """Return False: the end is read."""
        return False


class ScriptedNetwork:
    """Network on which each connection carries the same response."""

    def __init__(self, response: ScriptedResponse) -> None:
        """Answer with ``response``."""
        self._response = response

    async def connect(self, address: Address, timeout_s: float) -> ScriptedTransport:
        """Open a connection."""
        await trio.lowlevel.checkpoint()
        return ScriptedTransport(self._response)


def all_breaks(body: bytes, step: int = 1) -> Iterator[ScriptedResponse]:
    """Return a response with ``body`` for each framing and end, broken off before each byte, and whole.

    ``step`` is the distance of the bytes.
    """
    for framing in FRAMINGS:
        for read_end in ENDS:
            for sent in (*range(0, len(body), step), len(body)):
                yield ScriptedResponse(framing, read_end, body, sent)


__all__ = ('ENDS', 'FRAMINGS', 'ScriptedNetwork', 'ScriptedResponse', 'ScriptedTransport', 'all_breaks')
