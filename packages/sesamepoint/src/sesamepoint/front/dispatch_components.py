"""Components that the dispatcher uses to choose, queue and send requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from sesamepoint.front.engines.engine_queue import EngineQueue
from sesamepoint.front.fleet_health.plain_choice import PlainChoice
from sesamepoint.front.runners.permit_queue import PermitQueue
from sesamepoint.front.engines.prefill import HandleReclaimer
from sesamepoint.front.runners.runner_selection import RunnerSelector

if TYPE_CHECKING:
    from random import Random

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

    @classmethod
    def build(
        cls,
        availability_zone: str,
        subset: EngineSubset,
        sends: SendTracker,
        runner_statuses: RunnerStatuses,
        rng: Random,
    ) -> DispatchComponents:
        """Build the components.

        Parameters
        ----------
        availability_zone
            Zone of this instance.
        sends
            Record of the sends of all instances.
        rng
            Source of random delays.
        """
        plain_choice = PlainChoice(availability_zone, rng)
        selector = RunnerSelector(subset, availability_zone, sends.backlog, runner_statuses.limits, plain_choice)
        engine_queue = EngineQueue(selector, sends, rng)
        return cls(
            selector,
            sends,
            HandleReclaimer(),
            engine_queue,
            runner_statuses.limits,
            PermitQueue(runner_statuses, selector.eligible),
        )


__all__ = ('DispatchComponents',)
