"""Service of small accounts while one large account floods the engines and retries at once.

The large account sends the long prompts of :mod:`tests.front.burst`, 94 per second, of which
two thirds can be served. Its callers ignore retry times and make up to four attempts. Eight
small accounts send 1.5 requests per second each. The share of requests served of the small
accounts must be more than a quarter of the share of all accounts.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import account, bearer, configuration, engine
from tests.front.burst import BURST_S, FRONTS, LONG_A_SECOND, long_prompt
from tests.virtual import virtual

SMALL = tuple(f'small{number}' for number in range(8))
SMALL_A_SECOND = 1.5
LARGE = 'large'
TRIES = 4
SERVED = 200
SEEDS = (1, 2, 3)


class Asked(NamedTuple):
    """A request of an account, and whether one of its attempts was served."""

    account: str
    served: bool


class Flood:
    """Load of one large account and of the small ones."""

    def __init__(self, bed: PlatformBed, seed: int) -> None:
        """Send the load to ``bed``, drawn from a generator with ``seed``."""
        self.asked: list[Asked] = []
        self._bed = bed
        self._rng = Random(seed)

    async def play(self) -> None:
        """Send requests for the duration of the burst, and wait for all answers."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, LARGE, LONG_A_SECOND, TRIES)
            for name in SMALL:
                nursery.start_soon(self._send, name, SMALL_A_SECOND, 1)

    def share(self, names: tuple[str, ...]) -> float:
        """Return the share of the requests of the accounts ``names`` that was served."""
        served = [one.served for one in self.asked if one.account in names]
        return sum(served) / len(served)

    async def _send(self, name: str, rate: float, tries: int) -> None:
        async with trio.open_nursery() as nursery:
            ends_at = trio.current_time() + BURST_S
            while trio.current_time() < ends_at:
                await trio.sleep(self._rng.expovariate(rate))
                nursery.start_soon(self._ask, name, tries)

    async def _ask(self, name: str, tries: int) -> None:
        served = False
        for _ in range(tries):
            req = long_prompt(self._rng, extra=(bearer(_key(name)),))
            answer = await self._bed.caller(f'front-{self._rng.randint(1, FRONTS)}').ask(req)
            served = answer.status == SERVED and answer.whole
            if served:
                break
        self.asked.append(Asked(name, served))


def _key(name: str) -> str:
    return f'k3yOf{name}'


class FloodTest(TestCase):
    """Share of the small accounts under a flood."""

    @virtual
    async def test_small_accounts_are_not_starved(self) -> None:
        """Guard against a large account that takes nearly all capacity by sending more requests than can be served.

        Over three floods each account must be served at least once.
        """
        served: set[str] = set()
        for seed in SEEDS:
            cfg = configuration(1, tenants=[account(name, _key(name)) for name in (*SMALL, LARGE)])
            runners = [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 7)]
            async with running_bed(cfg, runners, fronts=FRONTS) as bench:
                flood = Flood(bench, seed)
                await flood.play()
                self.assertGreater(flood.share(SMALL), flood.share((*SMALL, LARGE)) / 4)
                served |= {one.account for one in flood.asked if one.served}
        self.assertEqual(served, {*SMALL, LARGE})
