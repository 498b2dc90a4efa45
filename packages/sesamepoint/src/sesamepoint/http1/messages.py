"""Heads of HTTP requests and responses, and errors of connections."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.body_end.body_facts import BodyFacts, BodyKind, Framing, ReadEnd
from sesamepoint_core.body_end.decision import BodyEnd, decide_end
from sesamepoint_core.errors import SesamepointError

Headers = tuple[tuple[bytes, bytes], ...]


class RequestHead(NamedTuple):
    """Request line and headers; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(NamedTuple):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers


class ReceivedBody(NamedTuple):
    """The body of a response as far as it was read, and how the reading ended."""

    payload: bytes
    framing: Framing
    read_end: ReadEnd

    def end(self, kind: BodyKind) -> BodyEnd:
        """Decide how the body ended."""
        return decide_end(BodyFacts(kind, self.framing, self.read_end))


class ConnectFailedError(SesamepointError):
    """A connection could not be opened, so nothing was sent.

    ``refused`` is set if the host responded that no process listens at the address,
    ``local`` if this process was at a limit of its own and tried nothing.
    """

    def __init__(self, address: str, cause: str, *, refused: bool = False, local: bool = False) -> None:
        """Set the address that could not be reached."""
        self.refused = refused
        self.local = local
        super().__init__(f'no connection to {address} ({cause})', 'another instance is tried')


class ConnBrokenError(SesamepointError):
    """A connection ended or carried invalid HTTP before a response was complete."""

    def __init__(self, cause: str, read_end: ReadEnd = ReadEnd.reset) -> None:
        """Set what was observed."""
        self.read_end = read_end
        super().__init__(f'connection broken ({cause})', 'requests that may be repeated are sent again')


class RejectedRequestError(SesamepointError):
    """A request violates the protocol or exceeds a limit; the caller gets the message."""

    def __init__(self, status: int, cause: str) -> None:
        """Set the status of the response."""
        super().__init__(cause, 'mend the request')
        self.status = status


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the header ``name`` (in lower case), or None."""
    for field, text in headers:
        if field == name:
            return text
    return None


__all__ = (
    'ConnBrokenError',
    'ConnectFailedError',
    'Headers',
    'ReceivedBody',
    'RejectedRequestError',
    'RequestHead',
    'ResponseHead',
    'header',
)
