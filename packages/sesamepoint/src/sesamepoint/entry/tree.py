"""Supervised tasks of an instance, independent of the transport of its links."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.control.keeper import SnapshotKeeper
from sesamepoint.control.leaders import Leaders
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from sesamepoint.entry.entry import Entry


def entry_children(entry: Entry) -> list[Child]:
    """Return the supervised tasks that every instance runs."""
    snapshots = SnapshotKeeper(entry.follower)
    leaders = Leaders(entry.follower, entry.fleets, entry.decisions, entry.policy)
    return [
        Child('follower', entry.follower.follow),
        Child('keyed', entry.keyed.run),
        Child('fleets', entry.fleets.keep),
        Child('instances', entry.fleets.watch_instances),
        Child('snapshot-lease', snapshots.lease.keep),
        Child('snapshots', snapshots.write),
        Child('leaders', leaders.keep),
    ]


__all__ = ('entry_children',)
