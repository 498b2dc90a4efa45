"""Planner of a fleet's role changes, active while it holds the fleet's lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.config.check import NotConfiguredError
from sesamepoint_core.fold.records import Order
from sesamepoint_core.plan.demand import OfferedDemand
from sesamepoint_core.plan.planner import FleetView, Plan, RunnerState, role_counts
from sesamepoint_core.policy import POLICIES
from sesamepoint import events
from sesamepoint.control.decisions import Decision, DecisionHistory
from sesamepoint.control.lease import LeaseKeeper

if TYPE_CHECKING:
    from sesamepoint_core.config.model import ActiveConfiguration
    from sesamepoint.control.follower import Follower
    from sesamepoint.entry.fleets import Fleets
    from sesamepoint.entry.runner_view import RunnerView

IDLE_INTERVAL_S = 1.0
ORDER_TIMEOUT_S = 10.0
REPORT_WAIT_S = 10.0


class Leader:
    """Plans for one fleet and appends its orders to the control log.

    It plans only while its folded state shows that it holds the lease. If
    that state is out of date, every process rejects its order by the fencing
    number.
    """

    def __init__(self, fleet: str, follower: Follower, fleets: Fleets, decisions: DecisionHistory, policy: str) -> None:
        """Plan for ``fleet`` with the policy registered as ``policy``."""
        self.lease = LeaseKeeper(fleet, follower)
        self._fleet = fleet
        self._follower = follower
        self._fleets = fleets
        self._decisions = decisions
        self._plan = POLICIES.get(policy).plan

    async def run(self) -> None:
        """Plan at the preset's interval whenever the lease is held, until cancelled."""
        while True:
            if self.lease.fence is None:
                await trio.sleep(IDLE_INTERVAL_S)
            else:
                await self._plan_while_holding()

    async def _plan_while_holding(self) -> None:
        """Wait a fixed time for runners to report, then plan until the lease is lost."""
        self._fleets.set_leading(self._fleet, leading=True)
        await trio.sleep(REPORT_WAIT_S)
        while self.lease.fence is not None:
            try:
                active = self._follower.active_configuration
            except NotConfiguredError:
                return
            await self._plan_once(active, self.lease.fence)
            await trio.sleep(active.preset['plan_interval_s'])
        self._fleets.set_leading(self._fleet, leading=False)

    async def _plan_once(self, active: ActiveConfiguration, fence: int) -> None:
        view = self._fleet_view(active)
        if view is None:
            return
        plan = self._plan(view)
        self._decisions.add(self._make_decision(view, plan, active.version, fence))
        if plan.chosen is None:
            return
        chosen = plan.chosen
        order = Order(self._fleet, chosen.runner, chosen.role, fence, active.version, plan.reason)
        events.log_event(events.ORDER_ISSUED, runner=chosen.runner, role=chosen.role, reason=plan.reason)
        # An order that is delayed by an outage would rest on outdated load figures.
        with trio.move_on_after(ORDER_TIMEOUT_S):
            await self._follower.submit(order)

    def _fleet_view(self, active: ActiveConfiguration) -> FleetView | None:
        cfg = active.configuration['fleets'].get(self._fleet)
        if cfg is None or 'engine' not in cfg:
            return None
        views = [view for view in self._fleets.views.values() if view.cfg['fleet'] == self._fleet]
        runners = tuple(self._runner_state(view) for view in views)
        reports = [view.report.offered_demand for view in views if view.alive and view.report]
        offered = OfferedDemand()
        for report in reports:
            offered = offered.plus(report.times(1 / len(reports)))
        return FleetView(cfg, cfg['engine'], active.preset, runners, offered)

    def _runner_state(self, view: RunnerView) -> RunnerState:
        order = self._follower.state.orders.get(view.name)
        order_pending = view.alive and order is not None and not order.done
        report = view.report
        role = report.load.role if report else ''
        backlog = view.candidate('', urgent=False).load.waiting_tokens if report else 0
        return RunnerState(view.name, role, view.cfg['availability_zone'], view.eligible, order_pending, backlog)

    def _make_decision(self, view: FleetView, plan: Plan, version: int, fence: int) -> Decision:
        counts = {f'runners_{role}': float(count) for role, count in role_counts(view).items()}
        inputs = {
            **counts,
            'main_short_per_s': view.offered.main_short.requests,
            'main_long_per_s': view.offered.main_long.requests,
            'small_long_per_s': view.offered.small_long.requests,
        }
        alternatives = tuple((f'{other.runner} to {other.role}', other.score) for other in plan.alternatives)
        choice = plan.reason if plan.chosen else f'no change: {plan.reason}'
        return Decision(0, 'role', self._fleet, choice, inputs, alternatives, version, fence)


__all__ = ('Leader',)
