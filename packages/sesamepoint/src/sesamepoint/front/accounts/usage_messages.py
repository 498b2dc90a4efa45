"""Messages between instances for the usage reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

import msgspec

from sesamepoint_core.serving.poison_requests import BoundedName

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

# Accounts per datagram, so that it fits into one packet.
MAX_ROWS = 40
# Bounds for the values that peers send; messages beyond them are rejected.
MAX_COUNT = 1_000_000_000
MAX_PARTS = 1000
MAX_NUMBER = 1_000_000_000_000_000
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Part = Annotated[int, msgspec.Meta(ge=0, le=MAX_PARTS)]
# Windows, numbered since 1970 and at least a second long; and fencing tokens.
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class DutyMessage(msgspec.Struct, frozen=True, array_like=True, tag='duty'):
    """Announcement of the holder of the duty, with the first window whose counts it needs.

    Parameters
    ----------
    held
        False if the sender has lost the lease, so that the peers need not wait
        for further announcements.
    resend
        Whether to send again the counts that were already sent.
    """

    entry: str
    fence: Number
    held: bool
    first_window: Number
    resend: bool = False


class AccountCount(NamedTuple):
    """Number of requests of an account that began to run."""

    account: BoundedName
    requests: Count


class UsageMessage(msgspec.Struct, frozen=True, array_like=True, tag='usage'):
    """Counts of a window at one incarnation of an instance; ``closed`` if they are final."""

    entry: str
    incarnation: Number
    window: Number
    part: Part
    parts: Part
    closed: bool
    account_counts: tuple[AccountCount, ...]


class WindowHeader(NamedTuple):
    """Fields that all messages with the counts of a window have in common."""

    instance: str
    incarnation: int
    window: int
    closed: bool


def split_counts(header: WindowHeader, counts: Mapping[str, int]) -> Iterator[UsageMessage]:
    """Split ``counts`` into messages of one datagram each; at least one, even without counts."""
    rows = [AccountCount(account, times) for account, times in sorted(counts.items())]
    chunks = [rows[at : at + MAX_ROWS] for at in range(0, len(rows), MAX_ROWS)] or [[]]
    for part, chunk in enumerate(chunks):
        yield UsageMessage(
            header.instance, header.incarnation, header.window, part, len(chunks), header.closed, tuple(chunk)
        )


__all__ = ('AccountCount', 'DutyMessage', 'UsageMessage', 'WindowHeader', 'split_counts')
