"""Decoded status headers in the answers of a runner."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Leaves:
    """The runner is draining: it accepts no new requests from any instance."""


@dataclass(frozen=True)
class Rests:
    """The runner asks the instance that it answers to back off for ``for_s`` seconds."""

    for_s: float


@dataclass(frozen=True)
class Limits:
    """The runner accepts ``rate`` requests a second from all instances together."""

    rate: float


@dataclass(frozen=True)
class NoLimit:
    """A successful answer without a rate limit; other answers of the same runner may report one."""


@dataclass(frozen=True)
class Unreadable:
    """A header value that does not decode.

    Parameters
    ----------
    word
        The kind of header.
    text
        The value; if it is long, only its beginning.
    """

    word: str
    text: str


RunnerWord = Leaves | Rests | Limits | NoLimit | Unreadable

__all__ = ('Leaves', 'Limits', 'NoLimit', 'Rests', 'RunnerWord', 'Unreadable')
