"""Runner selection while some runners fail."""

from __future__ import annotations

from unittest import TestCase

from sesamepoint_core.serving.routes import Repeat, Route, Share
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.backlog import Backlog
from sesamepoint.front.choice import Chooser
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.job import Job
from sesamepoint.front.known_engines import KnownEngines
from sesamepoint.front.request import FrontRequest
from sesamepoint.http1.messages import RequestHead
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint_core.serving.address import Address
from tests.front.builders import no_limits, open_gate
from tests.virtual import virtual


def build(runners: int) -> tuple[Fleet, Chooser, Job]:
    """Return a fleet of one service, its runner selector, and a request for that service."""
    fleet = Fleet(2.0, SocketNetwork(), int, open_gate())
    for number in range(runners):
        address = Address('10.0.0.1', number)
        fleet.update(Runner(f'i-{number}', 'web', address, 'z1', 6, leaving=False, stage=Stage.plain))
    route = Route('r', 'x', '/', Repeat.freely, False, 1.0, 0.2, 0, 2, 0, (Share('web', 1),))
    req = FrontRequest('q', 'x', '/', RequestHead(b'GET', b'/', ()), b'', 0, None, None)
    chooser = Chooser(KnownEngines('front-1', fleet), 'z1', Backlog(), no_limits())
    return fleet, chooser, Job(req, route, 'web', None)  # type: ignore[arg-type]


class FailingRunnersTest(TestCase):
    """Ejected runners must not leave the others overloaded."""

    @virtual
    async def test_one_failing_left_out(self) -> None:
        """Guards against sending to a runner whose answers keep failing, while four others work."""
        fleet, chooser, job = build(5)
        for _ in range(3):
            fleet.members['i-0'].health.bad(0)
        self.assertEqual(chooser.engines(job), 4)

    @virtual
    async def test_most_fail_at_times(self) -> None:
        """Guards against ejecting so many runners that the rest are overloaded.

        Five of nine runners lose two answers in five. Ejecting all five left
        four for the whole load, and callers waited and were refused for
        seconds. Seven stay eligible.
        """
        fleet, chooser, job = build(9)
        for number in range(5):
            for _ in range(3):
                fleet.members[f'i-{number}'].health.bad(0)
        self.assertEqual(chooser.engines(job), 7)

    @virtual
    async def test_most_not_reached(self) -> None:
        """Runners that accept no connection are all ejected, however many there are."""
        fleet, chooser, job = build(9)
        for number in range(5):
            health = fleet.members[f'i-{number}'].health
            health.unreached()
            for _ in range(3):
                health.bad(0)
        self.assertEqual(chooser.engines(job), 4)

    @virtual
    async def test_all_fail(self) -> None:
        """A failing runner is still chosen when there is no other."""
        fleet, chooser, job = build(2)
        for member in fleet.members.values():
            member.health.unreached()
            for _ in range(3):
                member.health.bad(0)
        self.assertIsNotNone(chooser.plain(job))
