"""Snapshots of the state folded from the control log, and the choice of one to start from."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from sesamepoint_core.decoding import decode_json
from sesamepoint_core.fold.state import State

if TYPE_CHECKING:
    from collections.abc import Iterable


class Snapshot(NamedTuple):
    """State up to ``state.offset``, written under the lease claimed at offset ``fence``."""

    fence: int
    state: State

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: the later lease first, then the longer prefix of the log.

        A paused holder that has lost its lease may still write an old state
        after its successor wrote a newer one. If the last write won, a process
        that starts without other state would take the old one and revert the
        configuration. The fencing number prevents this.
        """
        return (self.fence, self.state.offset)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the bytes to append to the snapshot stream."""
    return msgspec.json.encode(snapshot)


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode a snapshot that :func:`encode_snapshot` encoded.

    Raises
    ------
    UndecodableError
        If the payload is not a snapshot.
    """
    return decode_json(payload, Snapshot)


def choose_snapshot(snapshots: Iterable[Snapshot]) -> Snapshot | None:
    """Return the snapshot that a new process starts from, or None if there is none."""
    return max(snapshots, key=lambda snapshot: snapshot.rank, default=None)


__all__ = ('Snapshot', 'choose_snapshot', 'decode_snapshot', 'encode_snapshot')
