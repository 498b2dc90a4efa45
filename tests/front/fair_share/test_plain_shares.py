"""Fair shares at a plain service, in virtual time.

Two runners with four slots each take 0.1 s for a request, so they can do 80 a second. The
large account sends 200 a second, four small ones send 4 a second each.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.runner import EngineSpeed
from tests.front.builders import bearer_header, configuration, new_request, plain_runner
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


async def _run(cfg: dict[str, object], large_per_s: float) -> PlainLoad:
    speed = EngineSpeed(slots=4)
    runners = [plain_runner(number, speed=speed, work_s=WORK_S) for number in (1, 2)]
    async with open_bench(cfg, runners, fronts=2) as bench:
        load = PlainLoad(bench)
        await load.run(large_per_s)
        return load
