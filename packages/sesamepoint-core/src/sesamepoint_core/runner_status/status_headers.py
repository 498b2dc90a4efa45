"""Decoded status headers in the answers of a runner."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Draining:
    """The runner is draining: it accepts no new requests from any instance."""


@dataclass(frozen=True)
class BackOff:
    """The runner asks the instance that it answers to back off for ``for_s`` seconds."""

    for_s: float


@dataclass(frozen=True)
class RateLimit:
    """The runner accepts ``rate`` requests a second from all instances together."""

    rate: float


@dataclass(frozen=True)
class NoRateLimit:
    """A successful answer without a rate limit; other answers of the same runner may report one."""


@dataclass(frozen=True)
class Unreadable:
    """A header value that does not decode.

    Parameters
    ----------
    header
        The kind of header.
    text
        The value; if it is long, only its beginning.
    """

    header: str
    text: str


StatusHeader = Draining | BackOff | RateLimit | NoRateLimit | Unreadable

__all__ = ('BackOff', 'Draining', 'NoRateLimit', 'RateLimit', 'StatusHeader', 'Unreadable')
