"""Heads of requests and responses, and what can go wrong on a connection."""

from __future__ import annotations

from typing import NamedTuple

from sesamepoint_core.errors import SesamepointError

Headers = tuple[tuple[bytes, bytes], ...]


class RequestHead(NamedTuple):
    """The first part of a request; header names are in lower case."""

    method: bytes
    target: bytes
    headers: Headers


class ResponseHead(NamedTuple):
    """The first part of a response; header names are in lower case."""

    status: int
    headers: Headers

    @property
    def framed(self) -> bool:
        """Tell whether its end is marked by a length or by chunks."""
        return any(name in {b'content-length', b'transfer-encoding'} for name, _ in self.headers)


class ConnectFailedError(SesamepointError):
    """No connection came about, so nothing was sent.

    ``refused`` if the far end's host answered that nobody listens there.
    """

    def __init__(self, address: str, cause: str, *, refused: bool = False) -> None:
        """Name the far end."""
        self.refused = refused
        super().__init__(f'no connection to {address} ({cause})', 'another instance is tried')


class ConnBrokenError(SesamepointError):
    """A connection ended, or carried no HTTP, before an answer was whole."""

    def __init__(self, cause: str) -> None:
        """Tell what was seen."""
        super().__init__(f'connection broken ({cause})', 'what may be repeated is sent again')


class RejectedMessageError(SesamepointError):
    """A peer's message breaks the protocol or a limit."""

    def __init__(self, status: int, cause: str) -> None:
        """Keep the status to answer with."""
        super().__init__(cause, 'mend the request')
        self.status = status


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of ``name`` (in lower case)."""
    for found, text in headers:
        if found == name:
            return text
    return None


__all__ = (
    'ConnBrokenError',
    'ConnectFailedError',
    'Headers',
    'RejectedMessageError',
    'RequestHead',
    'ResponseHead',
    'header',
)
