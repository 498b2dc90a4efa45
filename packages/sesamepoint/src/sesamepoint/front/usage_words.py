"""What entries tell each other for the reports on use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from sesamepoint_core.serving.suspects import Name

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# Accounts in one datagram, so that it is one packet.
MAX_ROWS = 40
# What peers tell is bounded before it is believed.
MAX_COUNT = 1_000_000_000
MAX_PARTS = 1000
MAX_NUMBER = 1_000_000_000_000_000
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Part = Annotated[int, msgspec.Meta(ge=0, le=MAX_PARTS)]
# Seconds since 1970 in windows of a second and more; and fencing numbers.
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class DutyWord(msgspec.Struct, frozen=True, array_like=True, tag='duty'):
    """The holder of the duty says that it holds it, and from which window on it wants counts.

    Parameters
    ----------
    held
        False if it can't keep the lease: the others need not wait for more words.
    again
        Whether counts that were told before are to be told again.
    """

    entry: str
    fence: Number
    held: bool
    wanted: Number
    again: bool = False


class Tally(NamedTuple):
    """How many requests of an account began to run."""

    account: Name
    times: Count


class UsageWord(msgspec.Struct, frozen=True, array_like=True, tag='usage'):
    """What one start of an entry has counted of a window; ``closed`` if it will stay so."""

    entry: str
    start: Number
    window: Number
    part: Part
    parts: Part
    closed: bool
    tallies: tuple[Tally, ...]


class Counted(NamedTuple):
    """The counts of a window at one start of an entry."""

    entry: str
    start: int
    window: int
    closed: bool


def usage_words(counted: Counted, counts: Mapping[str, int]) -> Iterator[UsageWord]:
    """Yield what tells ``counts``, in as many datagrams as it takes."""
    rows = [Tally(account, times) for account, times in sorted(counts.items())]
    chunks = [rows[at : at + MAX_ROWS] for at in range(0, len(rows), MAX_ROWS)] or [[]]
    for part, chunk in enumerate(chunks):
        yield UsageWord(counted.entry, counted.start, counted.window, part, len(chunks), counted.closed, tuple(chunk))


__all__ = ('Counted', 'DutyWord', 'Tally', 'UsageWord', 'usage_words')
