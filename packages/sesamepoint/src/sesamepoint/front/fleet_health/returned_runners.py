"""Runners whose registration is back after its removal, or missing in a restored copy of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint import events
from sesamepoint.front.fleet_health.health_pages import PageResult, ask_health_page
from sesamepoint.front.runners.status_sources import FROM_ANSWER
from sesamepoint.platform.health_call import OTHER_RUNNER

if TYPE_CHECKING:
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member

# Pause after the first call that shows nothing, in seconds; each further one is twice as long, up to the longest.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
# The store removes a registration that is not renewed for so many heartbeat intervals, so one
# that stands for longer while the store answers is renewed by a runner that has not left.
LAPSE_HEARTBEATS = 3
BY_PAGE = 'health page'
BY_STANDING = 'registration renewed'


class ReturnedRunners:
    """Confirms that returned runners serve, and that those which a restored copy of the store lacks do.

    A runner that leaves without notice has its registration removed and serves on for seconds. If the store then
    carries out one of its earlier heartbeats, the registration is back. Without a confirmation requests went to a
    runner that was about to exit.
    """

    def __init__(self, fleet: Fleet, subset: EngineSubset, heartbeat_s: float) -> None:
        """Confirm runners of ``fleet``, which renew their registrations each ``heartbeat_s`` seconds."""
        self._fleet = fleet
        self._subset = subset
        self._asked: set[Member] = set()
        self.set_heartbeat(heartbeat_s)

    def set_heartbeat(self, heartbeat_s: float) -> None:
        """Set the interval at which runners renew their registrations, in seconds."""
        self._lapse_s = heartbeat_s * LAPSE_HEARTBEATS

    async def run(self) -> None:
        """Ask each runner that returns, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._check_missing, nursery)
            while True:
                member = await self._fleet.history.next_returned()
                if member not in self._asked:
                    self._asked.add(member)
                    nursery.start_soon(self._ask_until_known, member)

    async def _check_missing(self, nursery: trio.Nursery) -> None:
        while True:
            member = await self._fleet.history.next_missing()
            if self._subset.contains(member.runner) and not (member.draining or member.replaced):
                nursery.start_soon(self._remove_unless_serving, member)

    async def _remove_unless_serving(self, member: Member) -> None:
        """Take a runner that a restored copy of the store lacks for removed if it says that it doesn't serve.

        A removal just after the restore is not seen: the log is followed from the end of the copy's list.
        """
        answer = await ask_health_page(member, self._fleet.health_paths.get(member.runner.service, ''))
        events.log_event(
            events.MISSING_RUNNER_CHECKED,
            runner=member.runner.key,
            born_ms=member.runner.born_ms,
            shown=answer.shown.value,
            cause=answer.cause,
        )
        if answer.shown is PageResult.unhealthy and self._fleet.of_incarnation(member.incarnation) is member:
            self._fleet.note_unregistered(member.runner.key)

    async def _ask_until_known(self, member: Member) -> None:
        pause_s = FIRST_PAUSE_S
        while member.presence.unconfirmed and not (member.closed or member.draining or member.replaced):
            evidence = await self._evidence(member)
            if evidence:
                self._fleet.history.confirm(member, evidence)
            else:
                await trio.sleep(pause_s)
                pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
        self._asked.discard(member)

    def _stands(self, since: float) -> bool:
        """Tell whether the store would have removed a registration that nobody has renewed since ``since``."""
        currency = self._fleet.history.currency
        # The newest answer may be as old as the longest gap.
        return currency.unbroken_s(since) > self._lapse_s + currency.longest_gap_s

    async def _evidence(self, member: Member) -> str:
        """Return what shows that the runner serves; empty if nothing does."""
        back_at = member.presence.back_at
        if back_at is not None and self._stands(back_at):
            return BY_STANDING
        if not self._subset.contains(member.runner):
            return ''
        answer = await ask_health_page(member, self._fleet.health_paths.get(member.runner.service, ''))
        if answer.shown is PageResult.healthy:
            return BY_PAGE
        if answer.cause == OTHER_RUNNER:
            # It has gone for good, and further calls would reach the other one.
            member.note_replaced(FROM_ANSWER)
        events.log_event(
            events.RETURN_UNCONFIRMED, runner=member.runner.key, born_ms=member.runner.born_ms, cause=answer.cause
        )
        return ''


__all__ = ('ReturnedRunners',)
