"""One large account floods the engines, and comes back at once when it is refused.

The pattern is the burst of :mod:`tests.front.burst`: 94 long prompts a second of
one account, where two thirds of them can be served, beside eight accounts with
1.5 a second each. The flooding callers heed no time to return and try three times
more. Whatever is done for the many, the few must be served at least a quarter as
often as all.
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
    """A request of an account, and whether it was served in the end."""

    account: str
    served: bool


class Flood:
    """Callers of one large account and of some small ones."""

    def __init__(self, bed: PlatformBed, seed: int) -> None:
        """Ask ``bed``."""
        self.asked: list[Asked] = []
        self._bed = bed
        self._rng = Random(seed)

    async def play(self) -> None:
        """Ask for the time of a burst, and wait for all answers."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, LARGE, LONG_A_SECOND, TRIES)
            for name in SMALL:
                nursery.start_soon(self._send, name, SMALL_A_SECOND, 1)

    def share(self, names: tuple[str, ...]) -> float:
        """Return the share of the requests of some accounts that was served."""
        found = [one.served for one in self.asked if one.account in names]
        return sum(found) / len(found)

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
            seen = await self._bed.caller(f'front-{self._rng.randint(1, FRONTS)}').ask(req)
            served = seen.status == SERVED and seen.whole
            if served:
                break
        self.asked.append(Asked(name, served))


def _key(name: str) -> str:
    return f'k3yOf{name}'


class FloodTest(TestCase):
    """What is left for the small accounts."""

    @virtual
    async def test_small_accounts_are_not_starved(self) -> None:
        """They are served at least a quarter as often as all, each of them once or more in three floods."""
        served: set[str] = set()
        for seed in SEEDS:
            cfg = configuration(1, tenants=[account(name, _key(name)) for name in (*SMALL, LARGE)])
            runners = [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 7)]
            async with running_bed(cfg, runners, fronts=FRONTS) as bed:
                flood = Flood(bed, seed)
                await flood.play()
                self.assertGreater(flood.share(SMALL), flood.share((*SMALL, LARGE)) / 4)
                served |= {one.account for one in flood.asked if one.served}
        self.assertEqual(served, {*SMALL, LARGE})
