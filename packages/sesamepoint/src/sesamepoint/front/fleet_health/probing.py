"""Probes of ejected runners: which requests may be trials, and calls to health pages."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.fleet_health.half_open import TrialRequest
from sesamepoint_core.fleet_health.prober import probe_rank
from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint import events
from sesamepoint.front.fleet_health.health_pages import PageResult, ask_health_page

if TYPE_CHECKING:
    from sesamepoint.front.peering.peers import Peers
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.eligibility import EligibleRunners
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet import Fleet
    from sesamepoint.front.runners.fleet_member import Member

# Requests that may be repeated come to a service if one came within this time, in seconds.
RECENT_S = 5.0
# How often ejected runners are looked at, in seconds.
CHECK_INTERVAL_S = 0.05


class Probing:
    """Decides which request may be sent to an ejected runner, and calls its health page if none comes."""

    def __init__(self, fleet: Fleet, subset: EngineSubset, peers: Peers) -> None:
        """Probe the runners of ``fleet``, in turn with ``peers``."""
        self._fleet = fleet
        self._subset = subset
        self._peers = peers
        self._own_repeatable_at: dict[str, float] = {}
        self._repeatable_at: dict[str, float] = {}
        self._calling: set[Member] = set()

    def connect(self, eligible: EligibleRunners) -> None:
        """Decide on trials for ``eligible``, which also tells of each request."""
        eligible.may_try = self.may_try
        eligible.on_request = self.note_request

    def note_request(self, job: Job) -> None:
        """Note a request, which may be of the kind that may be repeated."""
        if job.route.repeat is not RepeatPolicy.never:
            self._own_repeatable_at[job.service] = trio.current_time()
            self.note_repeatable(job.service)

    def note_repeatable(self, service: str) -> None:
        """Note that a request that may be repeated came to ``service``, here or at a peer."""
        self._repeatable_at[service] = trio.current_time()

    def own_repeatable(self, service: str) -> bool:
        """Tell whether such a request came to this instance lately."""
        return trio.current_time() - self._own_repeatable_at.get(service, -math.inf) < RECENT_S

    def may_try(self, member: Member, job: Job) -> bool:
        """Tell whether ``job`` may be sent to the ejected ``member`` as a trial."""
        now = trio.current_time()
        if not member.health.half_open.due(now, 0):
            return False
        come = now - self._repeatable_at.get(job.service, -math.inf) < RECENT_S
        trial = TrialRequest(job.route.repeat is not RepeatPolicy.never, self._rank(member), come)
        return member.health.admits_trial(now, trial)

    def count_ejected(self) -> int:
        """Return how many runners this instance has ejected."""
        return sum(member.health.half_open.ejected for member in self._fleet.members.values())

    async def run(self) -> None:
        """Call the health pages of ejected runners when that is due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                for member in self._due_members():
                    self._calling.add(member)
                    nursery.start_soon(self.call_health_page, member)

    async def call_health_page(self, member: Member) -> None:
        """Call the health page of a runner, and note the result if it is ejected."""
        path = self._fleet.health_paths.get(member.runner.service, '')
        try:
            answer = await ask_health_page(member, path)
        finally:
            self._calling.discard(member)
        # If the page was not called, requests must show whether the runner has recovered.
        healthy = answer.shown in {PageResult.healthy, PageResult.unknown}
        member.health.note_health_call(trio.current_time(), healthy=healthy)
        events.log_event(
            events.HEALTH_PAGE_CALLED,
            runner=member.runner.key,
            born_ms=member.runner.born_ms,
            healthy=healthy,
            cause=answer.cause,
        )

    def _due_members(self) -> list[Member]:
        ejected = [member for member in self._fleet.members.values() if member.health.half_open.ejected]
        return [member for member in ejected if self._call_due(member)]

    def _call_due(self, member: Member) -> bool:
        if member in self._calling or member.draining or member.replaced:
            return False
        half_open = member.health.half_open
        now = trio.current_time()
        return half_open.call_due(now, 0) and half_open.call_due(now, self._rank(member))

    def _rank(self, member: Member) -> int:
        if member.health.alone:
            return 0
        key = member.runner.key
        names = (name for name in self._peers.peer_names() if self._subset.contains_at(name, key))
        return probe_rank(member.incarnation, self._peers.name, names)


__all__ = ('Probing',)
