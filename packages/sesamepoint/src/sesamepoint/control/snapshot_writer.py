"""Writer of state snapshots, at intervals well below the log's retention."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint.control.lease import LeaseKeeper

if TYPE_CHECKING:
    from sesamepoint.control.follower import Follower

SNAPSHOT_LEASE = 'system/snapshots'
SNAPSHOT_INTERVAL_S = 300.0
MAX_RECORDS_BETWEEN = 2000
CHECK_INTERVAL_S = 5.0


class SnapshotWriter:
    """Competes for the snapshot lease and writes snapshots while it holds it."""

    def __init__(self, follower: Follower) -> None:
        """Write snapshots of the state of ``follower``."""
        self.lease = LeaseKeeper(SNAPSHOT_LEASE, follower)
        self._follower = follower
        self._written_at = float('-inf')
        self._written_offset = 0

    async def run(self) -> None:
        """Write a snapshot whenever one is due and the lease is held, until cancelled."""
        while True:
            if self.lease.fence is not None and self._is_due():
                await self._write_snapshot(self.lease.fence)
            await trio.sleep(CHECK_INTERVAL_S)

    def _is_due(self) -> bool:
        expired = trio.current_time() - self._written_at >= SNAPSHOT_INTERVAL_S
        return expired or self._follower.state.offset - self._written_offset >= MAX_RECORDS_BETWEEN

    async def _write_snapshot(self, fence: int) -> None:
        offset = self._follower.state.offset
        try:
            await self._follower.write_snapshot(fence)
        except PlatformUnavailableError:
            return
        self._written_at = trio.current_time()
        self._written_offset = offset


__all__ = ('SNAPSHOT_LEASE', 'SnapshotWriter')
