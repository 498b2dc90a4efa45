"""A test bench with queued requests, prefill engines and one decode engine."""

from __future__ import annotations

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.placement import EngineView, Placement, Speeds
from sesamepoint_core.serving.prompt import Prompt
from sesamepoint_core.serving.routes import CallerLimits, Configuration, RepeatPolicy, Route, ServiceShare
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint_core.serving.speed_meters import PrefillSpeed
from sesamepoint.front.engines.backlog import Backlog
from sesamepoint.front.engines.engine_plan import EnginePlan
from sesamepoint.front.runners.engine_subset import EngineSubset
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.front.runners.fleet_member import Member
from sesamepoint.front.requests.job import Job
from sesamepoint.front.engines.queue_triage import QueueTriage, Waiter
from sesamepoint.front.requests.request import FrontRequest
from sesamepoint.front.runners.runner_selection import RunnerSelector
from sesamepoint.http1.messages import RequestHead
from sesamepoint.http1.transport import SocketNetwork
from tests.front.builders import empty_runner_limits, permissive_send_check

# Duration of an answer after its prefill.
DECODE_S = 0.06


def _new_route(name: str, target_s: float) -> Route:
    return Route(name, 'x', '/', RepeatPolicy.never, True, 5.0, target_s, 0.25, 1, 0, (ServiceShare('llm', 1),))


LONG_ROUTE = _new_route('long', 0.8)
SHORT_ROUTE = _new_route('short', 0.4)


class QueueTriageBench:
    """The queues of a fleet of engines, and a backlog that takes reports of peers."""

    def __init__(self, prefill_count: int = 2) -> None:
        """Start with empty queues, ``prefill_count`` prefill engines and one decode engine."""
        self.fleet = Fleet(2.0, SocketNetwork(), trio.current_time, permissive_send_check())
        for number, stage in enumerate((*(Stage.prefill for _ in range(prefill_count)), Stage.decode)):
            address = Address('10.0.0.1', number)
            self.fleet.update(Runner(f'i-{number}', 'llm', address, 'z1', 24, draining=False, stage=stage))
        self.backlog = Backlog()
        self.engine_subset = EngineSubset('front-1', self.fleet)
        self.triage = QueueTriage(
            RunnerSelector(self.engine_subset, 'z1', self.backlog, empty_runner_limits()), self.backlog
        )

    def new_waiter(
        self, route: Route, prefill_s: float, *, caller_retry: bool = False, prefill_factor: float = 1
    ) -> Waiter:
        """Return a queued request whose prefill takes ``prefill_s``; ``caller_retry`` marks a retry of its caller."""
        now = trio.current_time()
        prompt = Prompt('m', (), 1000, 10)
        req = FrontRequest('q', 'x', '/', RequestHead(b'POST', b'/', ()), b'', now, 5.0, prompt)
        job = Job(req, route, 'llm', None, caller_retry=caller_retry)  # type: ignore[arg-type]
        cfg = Configuration.from_parts(1, [], [], CallerLimits(1, 1, 1, 1))
        waiter = Waiter(job, prompt, cfg, self._new_plan(prefill_s, prefill_factor))
        waiter.update_turn(0)
        return waiter

    def _new_plan(self, prefill_s: float, prefill_factor: float) -> EnginePlan:
        members = list(self.fleet.members.values())
        view = EngineView('i-0', Stage.prefill, 0.1, 1000, prefill_factor=prefill_factor)
        path = Placement('i-0', 'i-2', 0.1 + prefill_s + DECODE_S, prefill_s, 1.0)
        return _new_split_plan(members[0], members[-1], view, path)


def _new_split_plan(prefill: Member, decode: Member, view: EngineView, placement: Placement) -> EnginePlan:
    speeds = Speeds(PrefillSpeed(), 2_500_000)
    return EnginePlan(placement, prefill, decode, None, view, 0, decode_full=False, speeds=speeds)


__all__ = ('LONG_ROUTE', 'SHORT_ROUTE', 'QueueTriageBench')
