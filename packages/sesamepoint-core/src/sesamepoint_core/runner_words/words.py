"""The words that a runner may say of itself in an answer, decoded."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Leaves:
    """It leaves: it wants no new requests from anybody."""


@dataclass(frozen=True)
class Rests:
    """It wants nothing from the instance that it answers for ``for_s`` seconds."""

    for_s: float


@dataclass(frozen=True)
class Limits:
    """It takes ``rate`` requests a second from all instances together."""

    rate: float


@dataclass(frozen=True)
class NoLimit:
    """A good answer that names no limit, though others of the same runner may."""


@dataclass(frozen=True)
class Unreadable:
    """A text that is no such word; of a long one the beginning.

    Parameters
    ----------
    word
        The kind of word whose place it has.
    """

    word: str
    text: str


RunnerWord = Leaves | Rests | Limits | NoLimit | Unreadable

__all__ = ('Leaves', 'Limits', 'NoLimit', 'Rests', 'RunnerWord', 'Unreadable')
