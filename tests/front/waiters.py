"""A test bench with queued requests, prefill engines and one decode engine."""

from __future__ import annotations

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.paths import EngineView, Path, Speeds
from sesamepoint_core.serving.prompt import Prompt
from sesamepoint_core.serving.rate import ReadSpeed
from sesamepoint_core.serving.routes import CallerLimits, Configuration, Repeat, Route, Share
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.backlog import Backlog
from sesamepoint.front.choice import Chooser
from sesamepoint.front.engine_plan import EnginePlan
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.job import Job
from sesamepoint.front.known_engines import KnownEngines
from sesamepoint.front.lines import Lines, Waiter
from sesamepoint.front.member import Member
from sesamepoint.front.request import FrontRequest
from sesamepoint.http1.messages import RequestHead
from sesamepoint.http1.transport import SocketNetwork
from tests.front.builders import no_limits, open_gate

# Duration of an answer after its prefill.
REST_S = 0.06


def _route(name: str, target_s: float) -> Route:
    return Route(name, 'x', '/', Repeat.never, True, 5.0, target_s, 0.25, 1, 0, (Share('llm', 1),))


LONG = _route('long', 0.8)
SHORT = _route('short', 0.4)


class LinesBed:
    """The queues of a fleet of engines, and a backlog that takes reports of peers."""

    def __init__(self, readers: int = 2) -> None:
        """Start with empty queues, ``readers`` prefill engines and one decode engine."""
        self.fleet = Fleet(2.0, SocketNetwork(), trio.current_time, open_gate())
        for number, stage in enumerate((*(Stage.prefill for _ in range(readers)), Stage.decode)):
            address = Address('10.0.0.1', number)
            self.fleet.update(Runner(f'i-{number}', 'llm', address, 'z1', 24, leaving=False, stage=stage))
        self.backlog = Backlog()
        self.known = KnownEngines('front-1', self.fleet)
        self.lines = Lines(Chooser(self.known, 'z1', self.backlog, no_limits()), self.backlog)

    def waiter(self, route: Route, work_s: float, *, returned: bool = False) -> Waiter:
        """Return a queued request whose prefill takes ``work_s``; ``returned`` marks a retry of its caller."""
        now = trio.current_time()
        prompt = Prompt('m', (), 1000, 10)
        req = FrontRequest('q', 'x', '/', RequestHead(b'POST', b'/', ()), b'', now, 5.0, prompt)
        job = Job(req, route, 'llm', None, returned=returned)  # type: ignore[arg-type]
        cfg = Configuration.from_parts(1, [], [], CallerLimits(1, 1, 1, 1))
        waiter = Waiter(job, prompt, cfg, self._plan(work_s))
        waiter.update_turn(0)
        return waiter

    def _plan(self, work_s: float) -> EnginePlan:
        members = list(self.fleet.members.values())
        view = EngineView('i-0', Stage.prefill, 0.1, 1000)
        path = Path('i-0', 'i-2', 0.1 + work_s + REST_S, work_s, 1.0)
        return _two_step(members[0], members[-1], view, path)


def _two_step(prefill: Member, decode: Member, view: EngineView, path: Path) -> EnginePlan:
    speeds = Speeds(ReadSpeed(), 2_500_000)
    return EnginePlan(path, prefill, decode, None, view, 0, crowded=False, speeds=speeds)


__all__ = ('LONG', 'SHORT', 'LinesBed')
