"""Runner selection while some runners fail."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.fleet_health.reports import RunnerReport
from sesamepoint_core.serving.routes import RepeatPolicy, Route, ServiceShare
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.engines.backlog import Backlog
from sesamepoint.front.runners.runner_selection import RunnerSelector
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.front.requests.job import Job
from sesamepoint.front.runners.engine_subset import EngineSubset
from sesamepoint.front.requests.request import FrontRequest
from sesamepoint.http1.messages import RequestHead
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint_core.serving.address import Address
from tests.front.builders import empty_runner_limits, permissive_send_check
from tests.virtual_time import in_virtual_time


def build_selector(runners: int, stage: Stage = Stage.plain) -> tuple[Fleet, RunnerSelector, Job]:
    """Return a fleet of one service, its runner selector, and a request for that service."""
    fleet = Fleet(2.0, SocketNetwork(), int, permissive_send_check())
    for number in range(runners):
        address = Address('10.0.0.1', number)
        fleet.update(Runner(f'i-{number}', 'web', address, 'z1', 6, draining=False, stage=stage))
    route = Route('r', 'x', '/', RepeatPolicy.freely, False, 1.0, 0.2, 0, 2, 0, (ServiceShare('web', 1),))
    req = FrontRequest('q', 'x', '/', RequestHead(b'GET', b'/', ()), b'', 0, None, None)
    chooser = RunnerSelector(EngineSubset('front-1', fleet), 'z1', Backlog(), empty_runner_limits())
    return fleet, chooser, Job(req, route, 'web', None)  # type: ignore[arg-type]


class FailingRunnersTest(TestCase):
    """Ejected runners must not leave the others overloaded."""

    @in_virtual_time
    async def test_one_failing_ejected(self) -> None:
        """Guards against sending to a runner whose answers keep failing, while four others work."""
        fleet, chooser, job = build_selector(5)
        for _ in range(3):
            fleet.members['i-0'].health.note_failure(0)
        self.assertEqual(chooser.count_engines(job), 4)

    @in_virtual_time
    async def test_most_fail_intermittently(self) -> None:
        """Guards against ejecting so many engines that the rest are overloaded.

        Five of nine engines lose two answers in five. Ejecting all five left
        four for the whole load, and callers waited and were refused for
        seconds. Seven stay eligible.
        """
        fleet, chooser, job = build_selector(9, Stage.decode)
        for number in range(5):
            for _ in range(3):
                fleet.members[f'i-{number}'].health.note_failure(0)
        self.assertEqual(chooser.count_engines(job), 7)

    @in_virtual_time
    async def test_plain_runners_fail_under_load(self) -> None:
        """Guards against ejecting so many plain runners that the rest are overloaded.

        Nine runners of six slots have 3.5 requests in flight each. Of 4.8 requests that
        each may have, seven runners carry them.
        """
        fleet, chooser, job = build_selector(9)
        for member in fleet.members.values():
            member.in_flight = 1
            row = RunnerReport(member.incarnation, 0, 5, 0, 0, 0, in_flight=2.5, response_s=0.1)
            member.health.take_report('front-2', row, 0, 9)
        for number in range(5):
            for _ in range(3):
                fleet.members[f'i-{number}'].health.note_failure(0)
        self.assertEqual(chooser.count_engines(job), 7)

    @in_virtual_time
    async def test_plain_runners_fail_without_load(self) -> None:
        """Guards against failing runners that stay in use although two others carry the load."""
        fleet, chooser, job = build_selector(3)
        for _ in range(3):
            fleet.members['i-0'].health.note_failure(0)
        self.assertEqual(chooser.count_engines(job), 2)

    @in_virtual_time
    async def test_most_unreachable(self) -> None:
        """Runners that accept no connection are all ejected, however many there are."""
        fleet, chooser, job = build_selector(9)
        for number in range(5):
            health = fleet.members[f'i-{number}'].health
            health.note_connect_failure()
            for _ in range(3):
                health.note_failure(0)
        self.assertEqual(chooser.count_engines(job), 4)

    @in_virtual_time
    async def test_all_fail(self) -> None:
        """A failing runner is still chosen when there is no other."""
        fleet, chooser, job = build_selector(2)
        for member in fleet.members.values():
            member.health.note_connect_failure()
            for _ in range(3):
                member.health.note_failure(0)
        self.assertIsNotNone(chooser.plain_runner(job))
