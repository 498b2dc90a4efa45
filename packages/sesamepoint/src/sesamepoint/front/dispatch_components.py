"""Components that the dispatcher uses to choose, queue and send requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.fleet_health.answer_sizes import AnswerSizes
from sesamepoint.front.engines.engine_queue import EngineQueue
from sesamepoint.front.fleet_health.plain_choice import PlainChoice
from sesamepoint.front.clocks import SystemClock
from sesamepoint.front.fair_share.account_shares import AccountShares
from sesamepoint.front.fair_share.plain_shares import PlainShares
from sesamepoint.front.retry_budget.retry_budgets import RetryBudgets
from sesamepoint.front.runners.permit_queue import PermitQueue
from sesamepoint.front.engines.prefill import HandleReclaimer
from sesamepoint.front.runners.runner_selection import RunnerSelector
from sesamepoint.front.planned_stop.planned_stop import PlannedStop
from sesamepoint.front.streams.origin_runners import OriginRunners

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.front.engines.engine_sends import SendTracker
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.runner_limits import RunnerLimits
    from sesamepoint.front.runners.runner_status import RunnerStatuses


class DispatchComponents(NamedTuple):
    """Components of one front that choose runners, queue requests and announce sends."""

    selector: RunnerSelector
    sends: SendTracker
    reclaimer: HandleReclaimer
    engine_queue: EngineQueue
    limits: RunnerLimits
    permit_queue: PermitQueue
    account_shares: AccountShares
    plain_shares: PlainShares
    origin_runners: OriginRunners
    budgets: RetryBudgets
    planned_stop: PlannedStop
    answer_sizes: AnswerSizes

    @classmethod
    def build(
        cls,
        cfg: FrontSettings,
        subset: EngineSubset,
        sends: SendTracker,
        runner_statuses: RunnerStatuses,
        rng: Random,
        clock: Clock | None = None,
    ) -> DispatchComponents:
        """Build the components.

        Parameters
        ----------
        cfg
            Name and zone of this instance, and the retry budget.
        sends
            Record of the sends of all instances.
        rng
            Source of random delays.
        clock
            Clocks of this instance; without them, those of the system.
        """
        plain_choice = PlainChoice(cfg.availability_zone, rng)
        selector = RunnerSelector(subset, cfg.availability_zone, sends.backlog, runner_statuses.limits, plain_choice)
        clock = clock or SystemClock()
        account_shares = AccountShares.from_clock(cfg.name, clock)
        engine_queue = EngineQueue(selector, sends, rng, account_shares)
        return cls(
            selector,
            sends,
            HandleReclaimer(),
            engine_queue,
            runner_statuses.limits,
            PermitQueue(runner_statuses, selector.eligible),
            account_shares,
            PlainShares(account_shares),
            OriginRunners(subset),
            RetryBudgets.from_config(cfg, clock.steady),
            PlannedStop(),
            AnswerSizes(),
        )


__all__ = ('DispatchComponents',)
