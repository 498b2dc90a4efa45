"""Supervised tasks of an instance, independent of the transport of its links."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sesamepoint.control.leaders import Leaders
from sesamepoint.control.snapshot_writer import SnapshotWriter
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from sesamepoint.entry.request_server import RequestServer


def instance_children(server: RequestServer) -> list[Child]:
    """Return the supervised tasks that every instance runs."""
    snapshots = SnapshotWriter(server.follower)
    leaders = Leaders(server.follower, server.fleets, server.decisions, server.policy)
    return [
        Child('follower', server.follower.follow),
        Child('keyed', server.keyed.hold_nursery),
        Child('fleets', server.fleets.follow_configuration),
        Child('instances', server.fleets.watch_instances),
        Child('snapshot-lease', snapshots.lease.keep),
        Child('snapshots', snapshots.run),
        Child('leaders', leaders.follow_configuration),
    ]


__all__ = ('instance_children',)
