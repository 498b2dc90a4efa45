"""Fair shares at plain services, whose requests don't wait at an instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.fair_share.request_work import PlainWorkMeter
from sesamepoint.front.requests.retry_after import capped_retry_after_s

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sesamepoint.front.fair_share.account_shares import AccountShares
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.fleet_member import Member


class Slots(NamedTuple):
    """Slots of the runners that a request may be sent to, and how many of them are taken.

    Parameters
    ----------
    taken
        Slots taken by requests of this instance.
    at_peers
        Slots taken by requests of the peers, by their reports.
    """

    total: int
    taken: int
    at_peers: float


class PlainShares:
    """Refuses requests of accounts above their shares while all known slots are taken."""

    def __init__(self, account_shares: AccountShares) -> None:
        """Count work with ``account_shares``."""
        self._account_shares = account_shares
        self._work = PlainWorkMeter()

    def note_offered(self, job: Job) -> None:
        """Count a request as offered by its account."""
        self._account_shares.note_offered(job, self._work.work_s(job.route.name))

    def note_sent(self, job: Job) -> None:
        """Count the work of a request that is sent to a runner."""
        self._account_shares.note_used(job, self._work.work_s(job.route.name))

    def note_answered(self, job: Job) -> None:
        """Learn the work of a request from a complete answer."""
        self._work.observe(job.route.name, trio.current_time() - job.trace.sent_at)

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget the routes that are no longer configured."""
        self._work.keep_only(routes)

    def refuses(self, job: Job, runners_for: Callable[[Job], Sequence[Member]]) -> bool:
        """Refuse a request if all known slots are taken and its account is above its share; return whether it is.

        A request that was sent before is never refused for its share.
        """
        if not self._account_shares.active or job.sends:
            return False
        members = runners_for(job)
        slots = _slots_of(members)
        if not self._all_taken(slots):
            return False
        share = self._account_shares.share_of(job, slots.total)
        if not share.above and share.admitted:
            return False
        job.retry_after_s = capped_retry_after_s(share.room_in_s, job.caller_left_s)
        job.trace.refused = True
        events.log_event(
            events.REQUEST_REFUSED_SHARE,
            request=job.req.request_id,
            work_ms=whole_ms(self._work.work_s(job.route.name)),
            slots=slots.total,
            taken=slots.taken,
            at_peers=round(slots.at_peers, 1),
            left_ms=whole_ms(job.first_output_left_s),
            retry_after_s=job.retry_after_s,
        )
        return True

    def _all_taken(self, slots: Slots) -> bool:
        """Tell whether all slots are taken, and this instance has taken its part of them, at least one.

        Reports of peers are up to some seconds old. Without its part, an instance would
        refuse requests whenever its peers were busy at the time of their reports. Without
        the occupancy, one request in flight would count as all slots taken where there are
        more instances than slots. If the reports of peers are lost, only the requests of
        this instance count, and too few are refused rather than too many.
        """
        if not slots.taken or slots.taken * self._account_shares.instances < slots.total:
            return False
        return slots.taken + slots.at_peers >= slots.total


def _slots_of(members: Sequence[Member]) -> Slots:
    now = trio.current_time()
    return Slots(
        sum(member.runner.slots for member in members),
        sum(member.in_flight for member in members),
        sum(member.health.peers.in_flight(now) for member in members),
    )


__all__ = ('PlainShares',)
