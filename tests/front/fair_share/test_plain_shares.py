"""Fair shares at a plain service, in virtual time.

Two runners with four slots each take 0.1 s for a request, so they can do 80 a second. The
large account sends 200 a second, four small ones send 4 a second each.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

import msgspec
import trio

from sesamepoint_core.fair_share.fair_shares import FairShares
from sesamepoint_core.fair_share.work import WorkGroup
from sesamepoint_core.fleet_health.reports import RunnerReport
from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.routes import RepeatPolicy, Route, ServiceShare
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.fair_share.account_shares import AccountShares
from sesamepoint.front.fair_share.plain_shares import PlainShares
from sesamepoint.front.requests.job import Job
from sesamepoint.front.requests.request import FrontRequest
from sesamepoint.front.runners.fleet_member import Member
from sesamepoint.http1.messages import RequestHead
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.runner_state import EngineSpeed
from tests.front.builders import (
    bearer_header,
    configuration,
    new_request,
    permissive_send_check,
    plain_runner,
)
from tests.front.fair_share.account_load import LARGE, SMALL, accounts_configuration, key_of
from tests.virtual_time import in_virtual_time

WORK_S = 0.1
CAPACITY = 80
LARGE_PER_S = 200
SMALL_PER_S = 4
LOAD_S = 5.0
STATUS_OK = 200
STATUS_REFUSED = 503


class PlainLoad:
    """Requests of one large and four small accounts, and their answers."""

    def __init__(self, bench: PlatformBench) -> None:
        """Send to the instances of ``bench``."""
        self.statuses: dict[str, list[int]] = {}
        self.retry_after_s: list[float] = []
        self._bench = bench
        self._rng = Random(1)

    async def run(self, large_per_s: float) -> None:
        """Send all requests and wait for the answers."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_at_rate, LARGE, large_per_s)
            for name in SMALL[:4]:
                nursery.start_soon(self._send_at_rate, name, SMALL_PER_S)

    def refused(self, *names: str) -> int:
        """Return how many requests of the accounts ``names`` were refused."""
        return sum(self.statuses[name].count(STATUS_REFUSED) for name in names)

    async def _send_at_rate(self, name: str, rate: float) -> None:
        async with trio.open_nursery() as nursery:
            ends_at = trio.current_time() + LOAD_S
            while trio.current_time() < ends_at:
                await trio.sleep(self._rng.expovariate(rate))
                nursery.start_soon(self._send, name)

    async def _send(self, name: str) -> None:
        req = new_request('/thumb/a', deadline_s=1.0, extra=(bearer_header(key_of(name)),))
        front = self._rng.choice(list(self._bench.fronts))
        answer = await self._bench.new_caller(front).send(req)
        self.statuses.setdefault(name, []).append(answer.status)
        if answer.retry_after_s is not None:
            self.retry_after_s.append(answer.retry_after_s)


class OccupancyTest(TestCase):
    """Which slots count as taken: 8 slots of two runners, and 30 instances."""

    @in_virtual_time
    async def test_more_instances_than_slots(self) -> None:
        """Guards against refusals while slots are free, because this instance has one request in flight."""
        self.assertFalse(_refuses_large(taken=1, at_peers=0))
        self.assertFalse(_refuses_large(taken=1, at_peers=5))

    @in_virtual_time
    async def test_all_taken(self) -> None:
        """Guards against an account above its share that gets slots which no account within its share can get."""
        self.assertTrue(_refuses_large(taken=1, at_peers=7))
        self.assertTrue(_refuses_large(taken=8, at_peers=0))

    @in_virtual_time
    async def test_nothing_taken_here(self) -> None:
        """Guards against refusals by reports of peers alone, which may be out of date."""
        self.assertFalse(_refuses_large(taken=0, at_peers=8))


class PlainSharesTest(TestCase):
    """Requests while all known slots are taken, and while they are not."""

    @in_virtual_time
    async def test_flood(self) -> None:
        """Guards against a flood that takes the slots of small accounts, and against refusals of small accounts."""
        load = await _run(accounts_configuration(), LARGE_PER_S)
        self.assertEqual(load.refused(*SMALL[:4]), 0)
        served = load.statuses[LARGE].count(STATUS_OK)
        self.assertGreater(load.refused(LARGE), 0)
        # What the small accounts leave is used by the large one.
        self.assertGreater(served, 0.8 * LOAD_S * (CAPACITY - 4 * SMALL_PER_S))
        self.assertGreater(min(load.retry_after_s), 0)

    @in_virtual_time
    async def test_enough_slots(self) -> None:
        """Guards against refusals of a large account while slots are free."""
        load = await _run(accounts_configuration(), CAPACITY / 4)
        self.assertEqual(load.refused(LARGE, *SMALL[:4]), 0)

    @in_virtual_time
    async def test_without_accounts(self) -> None:
        """Guards against refusals where the configuration has no accounts."""
        load = await _run(configuration(), LARGE_PER_S)
        self.assertEqual(load.refused(LARGE, *SMALL[:4]), 0)


def _refuses_large(taken: int, at_peers: int) -> bool:
    """Tell whether an instance with ``taken`` requests in flight refuses one of an account above its share."""
    shares = FairShares('front-1', 1)
    account_shares = AccountShares(shares)
    account_shares.configure(decode_configuration(msgspec.json.encode(accounts_configuration())))
    account_shares.instances = 30
    shares.note_offered(WorkGroup('web'), '', 80, trio.current_time())
    shares.note_used(WorkGroup('web'), '', 60, trio.current_time())
    shares.note_offered(WorkGroup('web'), '', WORK_S, trio.current_time())
    runners = (
        Runner(f'i-web{number}', 'web', Address('10.3.0.1', number), 'z1', 4, draining=False, stage=Stage.plain)
        for number in (1, 2)
    )
    members = [Member(runner, SocketNetwork(), permissive_send_check()) for runner in runners]
    members[0].in_flight = taken
    for number in range(at_peers):
        member = members[number % 2]
        report = RunnerReport(member.incarnation, 0, 1, 0, 0, 0, 1, WORK_S)
        member.health.take_report(f'front-{number + 2}', report, trio.current_time(), 5)
    route = Route('card', 'x', '/', RepeatPolicy.never, True, 1.0, 0.25, 0.25, 1, 0, (ServiceShare('web', 1),))
    req = FrontRequest('q', 'x', '/', RequestHead(b'POST', b'/', ()), b'', trio.current_time(), 1.0, None)
    job = Job(req, route, 'web', None)  # type: ignore[arg-type]
    return PlainShares(account_shares).refuses(job, lambda _: members)


async def _run(cfg: dict[str, object], large_per_s: float) -> PlainLoad:
    speed = EngineSpeed(slots=4)
    runners = [plain_runner(number, speed=speed, work_s=WORK_S) for number in (1, 2)]
    async with open_bench(cfg, runners, fronts=2) as bench:
        load = PlainLoad(bench)
        await load.run(large_per_s)
        return load
