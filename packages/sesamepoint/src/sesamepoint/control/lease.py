"""Acquisition and renewal of leases through the control log."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.fold.records import ClaimLease, RenewLease
from sesamepoint_core.fold.state import NO_OFFSET
from sesamepoint import events

if TYPE_CHECKING:
    from sesamepoint_core.fold.state import Lease
    from sesamepoint.control.follower import Follower

RENEW_INTERVAL_S = 2.0
HOLDER_TIMEOUT_S = 6.0
MAX_CLAIM_DELAY_S = 3.0
MAX_READ_AGE_S = 6.0
RANK_COUNT = 65_536


class LeaseKeeper:
    """Claims a lease that is free or no longer renewed, and renews it while holding it.

    The local clock only decides when to send a claim; the folded control log
    decides who holds the lease. A claim that is appended after a renewal is
    rejected, so a process that reads the log late and takes the holder for
    failed does no harm.

    Parameters
    ----------
    name
        Name of the lease: that of a fleet, or a system lease.
    follower
        The control log's follower; its writer is the lease holder.
    """

    def __init__(self, name: str, follower: Follower) -> None:
        """Start without the lease."""
        self.name = name
        self._follower = follower
        self._held = False

    @property
    def lease(self) -> Lease | None:
        """The lease in the folded state; None if it was never claimed."""
        return self._follower.state.leases.get(self.name)

    @property
    def fence(self) -> int | None:
        """The fencing number while this process holds the lease, else None."""
        lease = self.lease
        if lease is None or lease.holder != self._follower.writer:
            return None
        return lease.fence

    async def keep(self) -> None:
        """Claim and renew the lease until cancelled."""
        await self._follower.recovered.wait()
        while True:
            self._log_change()
            if self.fence is None:
                await self._wait_and_claim()
            else:
                await trio.sleep(RENEW_INTERVAL_S)
                await self._renew()

    async def _wait_and_claim(self) -> None:
        before = self.lease
        await trio.sleep(self._claim_delay_s())
        if before is not None:
            await trio.sleep(HOLDER_TIMEOUT_S)
        # Claim only after recent reads: if the log could not be read, the
        # holder may have renewed the lease unseen.
        if self.lease == before and self._follower.since_last_read_s < MAX_READ_AGE_S:
            last_seen = NO_OFFSET if before is None else before.renewed
            await self._follower.submit(ClaimLease(self.name, self._follower.writer, last_seen))

    async def _renew(self) -> None:
        fence = self.fence
        if fence is not None:
            await self._follower.submit(RenewLease(self.name, fence))

    def _claim_delay_s(self) -> float:
        """Return the delay before a claim, in seconds.

        It is a hash of the process and the lease, so that the leases of many
        fleets spread over the instances and two claims of one lease rarely
        collide.
        """
        text = f'{self.name} {self._follower.writer}'.encode()
        rank = int.from_bytes(hashlib.blake2b(text, digest_size=2).digest())
        return MAX_CLAIM_DELAY_S * rank / RANK_COUNT

    def _log_change(self) -> None:
        held = self.fence is not None
        if held != self._held:
            event = events.LEASE_TAKEN if held else events.LEASE_LOST
            events.log_event(event, lease=self.name, fence=self.fence)
        self._held = held


__all__ = ('LeaseKeeper',)
