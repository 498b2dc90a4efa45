"""Runners of the active configuration, with links and demand meters."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.config.check import NotConfiguredError
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.plan.demand import Demand, Meter, Offered
from sesamepoint_core.route.subset import subset
from sesamepoint.entry.view import RunnerView

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

    from sesamepoint_core.config.model import FleetConfig, RunnerConfig
    from sesamepoint_core.route.candidate import Candidate
    from sesamepoint.control.follower import Follower
    from sesamepoint.link.base import AgentLink
    from sesamepoint.link.messages import LoadReport
    from sesamepoint.platform.messages import InstanceList

LIST_INTERVAL_S = 1.0
BEAT_INTERVAL_S = 1.0
BEATS_PER_S = 6.0


class Fleets:
    """Views of the runners that this instance uses, updated as the configuration changes."""

    def __init__(
        self,
        follower: Follower,
        instances: InstanceList,
        connect: Callable[[str], AgentLink],
        rng: Random,
    ) -> None:
        """Start without views."""
        self.views: dict[str, RunnerView] = {}
        self.meters: defaultdict[str, Meter] = defaultdict(Meter)
        self.led: set[str] = set()
        self.scales: dict[str, float] = {}
        self._known_for: tuple[int, frozenset[str]] | None = None
        self._follower = follower
        self._instances = instances
        self._connect = connect
        self._rng = rng
        self._watches: dict[str, trio.CancelScope] = {}

    def fleet(self, name: str) -> FleetConfig | None:
        """Return the configuration of a fleet; None if it is not configured."""
        try:
            cfg = self._follower.in_force.configuration
        except NotConfiguredError:
            return None
        return cfg['fleets'].get(name)

    def fleet_of_model(self, model: str) -> str | None:
        """Return the name of the fleet that serves ``model``; None if there is none."""
        try:
            fleets = self._follower.in_force.configuration['fleets']
        except NotConfiguredError:
            return None
        return next((name for name, fleet in fleets.items() if model in fleet['models']), None)

    def candidates(self, fleet: str, zone: str, without: Sequence[str], *, urgent: bool) -> list[Candidate]:
        """Return the eligible runners of ``fleet`` that are not excluded."""
        eligible = (view for view in self.views.values() if view.usable and view.cfg['fleet'] == fleet)
        return [view.candidate(zone, urgent=urgent) for view in eligible if view.name not in without]

    def holds(self, fleet: str, prefix: str) -> bool:
        """Return whether any runner of ``fleet`` reports ``prefix`` in its cache."""
        return any(prefix in report.load.prefixes for report in self._reports(fleet))

    def entries(self, fleet: str) -> float:
        """Return the mean number of instances that the agents of ``fleet`` report, or 1 without reports."""
        counts = [report.offered.entries for report in self._reports(fleet)]
        return sum(counts) / len(counts) if counts else 1

    def offered(self, fleet: str) -> Offered:
        """Return the demand of this instance's callers on ``fleet``, per second."""
        return self.meters[fleet].read(trio.current_time(), self._follower.in_force.preset['horizon_s'])

    def measure(self, fleet: str, work: Demand, *, urgent: bool) -> None:
        """Add the demand of one request on ``fleet``."""
        horizon_s = self._follower.in_force.preset['horizon_s']
        self.meters[fleet].add(trio.current_time(), work, horizon_s, urgent=urgent)

    def lead(self, fleet: str, *, leading: bool) -> None:
        """Set whether this process plans for ``fleet``; if so, it uses all its runners."""
        (self.led.add if leading else self.led.discard)(fleet)
        self._follower.changed.set_off()

    async def keep(self) -> None:
        """Update the views as the configuration changes, until cancelled."""
        # After a restart of this task, the heartbeat tasks ended with the old
        # nursery, so the views are created anew.
        for name in tuple(self.views):
            self._drop(name)
        self._known_for = None
        async with trio.open_nursery() as nursery:
            while True:
                self._adapt(nursery)
                await self._follower.changed.wait()

    async def watch_instances(self) -> None:
        """Poll the platform's instance list until cancelled.

        The list lags and may be unavailable, in which case the last one
        remains in use. A draining agent also reports this itself in its next
        heartbeat reply, independently of the list.
        """
        while True:
            try:
                listed = await self._instances.fetch()
            except PlatformUnavailableError:
                listed = None
            if listed is not None:
                draining = {found.address for found in listed if found.leaving}
                for view in self.views.values():
                    view.platform_leaving = view.cfg['agent'] in draining
            await trio.sleep(LIST_INTERVAL_S)

    def _reports(self, fleet: str) -> list[LoadReport]:
        views = (view for view in self.views.values() if view.cfg['fleet'] == fleet)
        return [view.report for view in views if view.report is not None]

    def _adapt(self, nursery: trio.Nursery) -> None:
        # Most records are lease renewals. Choosing the subsets again for each
        # would cost more than folding the record.
        known_for = (self._follower.state.version, frozenset(self.led))
        if known_for == self._known_for:
            return
        self._known_for = known_for
        try:
            wanted = self._follower.in_force.configuration['runners']
        except NotConfiguredError:
            return
        known = self._known(wanted)
        for name in sorted(set(self.views) - known):
            self._drop(name)
        for name in sorted(known):
            self._put(name, wanted[name], nursery)

    def _known(self, runners: Mapping[str, RunnerConfig]) -> set[str]:
        known: set[str] = set()
        fleets = sorted({cfg['fleet'] for cfg in runners.values()})
        for fleet in fleets:
            names = sorted(name for name, cfg in runners.items() if cfg['fleet'] == fleet)
            chosen = names if fleet in self.led else subset(self._follower.writer, names)
            # An agent receives heartbeats of some instances only. Each
            # instance scales its demand up to cover those that the agent
            # doesn't receive, so that the mean over the fleet's agents is the
            # sum over all instances.
            self.scales[fleet] = len(names) / len(chosen)
            known.update(chosen)
        return known

    def _put(self, name: str, cfg: RunnerConfig, nursery: trio.Nursery) -> None:
        known = self.views.get(name)
        if known is not None and known.cfg['agent'] == cfg['agent']:
            known.cfg = cfg
            return
        if known is not None:
            self._drop(name)
        view = RunnerView(name, cfg, self._connect(cfg['agent']))
        self.views[name] = view
        self._watches[name] = trio.CancelScope()
        nursery.start_soon(self._watch, view, self._watches[name])

    def _drop(self, name: str) -> None:
        # Running attempts keep their own references to the view and its link.
        self.views.pop(name)
        self._watches.pop(name).cancel()

    async def _watch(self, view: RunnerView, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                fleet = view.cfg['fleet']
                offered = self.offered(fleet).times(self.scales[fleet])
                await view.beat(self._follower, offered)
                await trio.sleep(self._beat_interval_s() * (1 + self._rng.random() / 2))

    def _beat_interval_s(self) -> float:
        """Return the interval, in seconds, that keeps the heartbeats of all runners below the maximum rate."""
        return max(BEAT_INTERVAL_S, len(self.views) / BEATS_PER_S)


__all__ = ('Fleets',)
