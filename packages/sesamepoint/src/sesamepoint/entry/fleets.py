"""Runners of the active configuration, with links and demand meters."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.config.check import NotConfiguredError
from sesamepoint_core.errors import PlatformUnavailableError
from sesamepoint_core.plan.demand import Demand, DemandMeter, OfferedDemand
from sesamepoint_core.route.subset import choose_subset
from sesamepoint.entry.runner_view import RunnerView

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from random import Random

    from sesamepoint_core.config.model import FleetConfig, RunnerConfig
    from sesamepoint_core.route.candidate import Candidate
    from sesamepoint.control.follower import Follower
    from sesamepoint.link.base import AgentLink
    from sesamepoint.link.messages import LoadReport
    from sesamepoint.platform.service_interfaces import InstanceList

LIST_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 1.0
MAX_HEARTBEATS_PER_S = 6.0


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
        self.demand_meters: defaultdict[str, DemandMeter] = defaultdict(DemandMeter)
        self.led_fleets: set[str] = set()
        self.demand_scales: dict[str, float] = {}
        self._subset_inputs: tuple[int, frozenset[str]] | None = None
        self._follower = follower
        self._instances = instances
        self._connect = connect
        self._rng = rng
        self._heartbeat_scopes: dict[str, trio.CancelScope] = {}

    def fleet(self, name: str) -> FleetConfig | None:
        """Return the configuration of a fleet; None if it is not configured."""
        try:
            cfg = self._follower.active_configuration.configuration
        except NotConfiguredError:
            return None
        return cfg['fleets'].get(name)

    def fleet_of_model(self, model: str) -> str | None:
        """Return the name of the fleet that serves ``model``; None if there is none."""
        try:
            fleets = self._follower.active_configuration.configuration['fleets']
        except NotConfiguredError:
            return None
        return next((name for name, fleet in fleets.items() if model in fleet['models']), None)

    def candidates(self, fleet: str, zone: str, excluded: Sequence[str], *, urgent: bool) -> list[Candidate]:
        """Return the eligible runners of ``fleet`` that are not excluded."""
        eligible = (view for view in self.views.values() if view.eligible and view.cfg['fleet'] == fleet)
        return [view.candidate(zone, urgent=urgent) for view in eligible if view.name not in excluded]

    def has_cached_prefix(self, fleet: str, prefix: str) -> bool:
        """Return whether any runner of ``fleet`` reports ``prefix`` in its cache."""
        return any(prefix in report.load.prefixes for report in self._reports(fleet))

    def instance_count(self, fleet: str) -> float:
        """Return the mean number of instances that the agents of ``fleet`` report, or 1 without reports."""
        counts = [report.offered_demand.instance_count for report in self._reports(fleet)]
        return sum(counts) / len(counts) if counts else 1

    def offered_demand(self, fleet: str) -> OfferedDemand:
        """Return the demand of this instance's callers on ``fleet``, per second."""
        return self.demand_meters[fleet].read(
            trio.current_time(), self._follower.active_configuration.preset['horizon_s']
        )

    def count_demand(self, fleet: str, demand: Demand, *, urgent: bool) -> None:
        """Add the demand of one request on ``fleet``."""
        horizon_s = self._follower.active_configuration.preset['horizon_s']
        self.demand_meters[fleet].add(trio.current_time(), demand, horizon_s, urgent=urgent)

    def set_leading(self, fleet: str, *, leading: bool) -> None:
        """Set whether this process plans for ``fleet``; if so, it uses all its runners."""
        (self.led_fleets.add if leading else self.led_fleets.discard)(fleet)
        self._follower.changed.notify_all()

    async def follow_configuration(self) -> None:
        """Update the views as the configuration changes, until cancelled."""
        # After a restart of this task, the heartbeat tasks ended with the old
        # nursery, so the views are created anew.
        for name in tuple(self.views):
            self._drop(name)
        self._subset_inputs = None
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
                draining = {found.address for found in listed if found.draining}
                for view in self.views.values():
                    view.platform_draining = view.cfg['agent'] in draining
            await trio.sleep(LIST_INTERVAL_S)

    def _reports(self, fleet: str) -> list[LoadReport]:
        views = (view for view in self.views.values() if view.cfg['fleet'] == fleet)
        return [view.report for view in views if view.report is not None]

    def _adapt(self, nursery: trio.Nursery) -> None:
        # Most records are lease renewals. Choosing the subsets again for each
        # would cost more than folding the record.
        known_for = (self._follower.state.version, frozenset(self.led_fleets))
        if known_for == self._subset_inputs:
            return
        self._subset_inputs = known_for
        try:
            wanted = self._follower.active_configuration.configuration['runners']
        except NotConfiguredError:
            return
        known = self._choose_subsets(wanted)
        for name in sorted(set(self.views) - known):
            self._drop(name)
        for name in sorted(known):
            self._add_or_update(name, wanted[name], nursery)

    def _choose_subsets(self, runners: Mapping[str, RunnerConfig]) -> set[str]:
        known: set[str] = set()
        fleets = sorted({cfg['fleet'] for cfg in runners.values()})
        for fleet in fleets:
            names = sorted(name for name, cfg in runners.items() if cfg['fleet'] == fleet)
            chosen = names if fleet in self.led_fleets else choose_subset(self._follower.writer, names)
            # An agent receives heartbeats of some instances only. Each
            # instance scales its demand up to cover those that the agent
            # doesn't receive, so that the mean over the fleet's agents is the
            # sum over all instances.
            self.demand_scales[fleet] = len(names) / len(chosen)
            known.update(chosen)
        return known

    def _add_or_update(self, name: str, cfg: RunnerConfig, nursery: trio.Nursery) -> None:
        known = self.views.get(name)
        if known is not None and known.cfg['agent'] == cfg['agent']:
            known.cfg = cfg
            return
        if known is not None:
            self._drop(name)
        view = RunnerView(name, cfg, self._connect(cfg['agent']))
        self.views[name] = view
        self._heartbeat_scopes[name] = trio.CancelScope()
        nursery.start_soon(self._send_heartbeats, view, self._heartbeat_scopes[name])

    def _drop(self, name: str) -> None:
        # Running attempts keep their own references to the view and its link.
        self.views.pop(name)
        self._heartbeat_scopes.pop(name).cancel()

    async def _send_heartbeats(self, view: RunnerView, scope: trio.CancelScope) -> None:
        with scope:
            while True:
                fleet = view.cfg['fleet']
                offered = self.offered_demand(fleet).times(self.demand_scales[fleet])
                await view.send_heartbeat(self._follower, offered)
                await trio.sleep(self._heartbeat_interval_s() * (1 + self._rng.random() / 2))

    def _heartbeat_interval_s(self) -> float:
        """Return the interval, in seconds, that keeps the heartbeats of all runners below the maximum rate."""
        return max(HEARTBEAT_INTERVAL_S, len(self.views) / MAX_HEARTBEATS_PER_S)


__all__ = ('Fleets',)
