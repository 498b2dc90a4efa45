"""Snapshots of the fold, and which of several a joiner takes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint_core.fold.state import State

if TYPE_CHECKING:
    from collections.abc import Iterable


class Snapshot(NamedTuple):
    """The fold up to ``state.offset``, written under lease ``fence``."""

    fence: int
    state: State

    @property
    def rank(self) -> tuple[int, int]:
        """Order of preference: the later lease, then the longer prefix.

        A holder that slept through its lease may still write an old state
        after its successor wrote a newer one. Ranked by arrival, it would
        win with a joiner that has nothing to compare it to, and a
        configuration would revert; ranked by fencing number it cannot.
        """
        return (self.fence, self.state.offset)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes to append to the snapshot stream."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(payload: bytes) -> Snapshot:
    """Read what :func:`encode_snapshot` wrote.

    Raises
    ------
    msgspec.DecodeError
        If the payload is none of ours.
    """
    return msgspec.json.decode(payload, type=Snapshot)


def choose(snapshots: Iterable[Snapshot]) -> Snapshot | None:
    """Return the snapshot that a joiner starts from."""
    return max(snapshots, key=lambda found: found.rank, default=None)


__all__ = ('Snapshot', 'choose', 'decode_snapshot', 'encode_snapshot')
