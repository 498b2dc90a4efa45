"""Runners of a soak that leave and rest by their answers alone, and what they get."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.platform.names import RUNNER_TOPIC
from sesamepoint_core.serving.address import Address
from sesamepoint_standins.platform.processes import QUICK, ProcessBed
from sesamepoint_standins.platform.runner import Faults, RunnerStandIn

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from sesamepoint_standins.platform.runner import Told

REST_S = 3.0
CHANGE_S = 2.0
HEARTBEAT_S = 1.0
# Users count from half a second after a word of rest, and from two after one of leaving; a
# process that waits for its turn beside others may be slower, by as much in seconds.
SLOW_S = 1.0
REST_FROM_S = 0.5 + SLOW_S
REST_MOST = 2
LEAVING_FROM_S = 2.0 + SLOW_S


class Disturbance(NamedTuple):
    """A front was killed, stopped, frozen or started in this time."""

    since: float
    until: float


class SoakWords:
    """Adds a plain runner and an engine, with no faulty proxy before them, that say they leave, or ask for rest."""

    def __init__(self, bed: ProcessBed, rng: Random) -> None:
        """Draw moments from ``rng``."""
        self.runners: list[RunnerStandIn] = []
        self.asked_at: dict[str, int] = {}
        self.disturbed: dict[int, list[Disturbance]] = defaultdict(list)
        self._bed = bed
        self._rng = rng

    async def begin(self) -> None:
        """Start the runners."""
        for service, stage in (('web', None), ('llm', 'decode')):
            key = f'i-word-{service}'
            runner = RunnerStandIn(key, service, Address('', 0), 'z1', stage=stage, speed=QUICK, work_s=0.005)
            runner.address = await ProcessBed.serve(self._bed, runner.serve)
            self.runners.append(runner)

    async def say(self, length_s: float) -> None:
        """Have both rest now and then, one of them leave, and both write their registrations, for ``length_s``."""
        leaves_at = trio.current_time() + self._rng.uniform(0.3, 0.6) * length_s
        leaver = self._rng.choice(self.runners)
        with trio.move_on_after(length_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._register)
                for runner in self.runners:
                    nursery.start_soon(self._rest_now_and_then, runner)
                await trio.sleep_until(leaves_at)
                leaver.says_leaving = (b'1',)
        for runner in self.runners:
            runner.faults = Faults()

    def broken_promises(self, answered: set[str]) -> list[str]:
        """Return the runners that got what they did not want; of words those count whose request was ``answered``."""
        heard = [(one, told) for one in self.runners for told in one.told if told.request in answered]
        return [
            *(text for runner, told in heard if told.leaving for text in self._after_leaving(runner, told)),
            *(text for runner, told in heard if told.rest_s for text in self._in_rest(runner, told)),
        ]

    def _after_leaving(self, runner: RunnerStandIn, told: Told) -> list[str]:
        came = self._came(runner, told, LEAVING_FROM_S, math.inf)
        return [f'leaving: {runner.key} got {came} requests of an instance that was told'] if came else []

    def _in_rest(self, runner: RunnerStandIn, told: Told) -> list[str]:
        came = self._came(runner, told, REST_FROM_S, told.rest_s)
        return [f'rest: {runner.key} got {came} requests of an instance that was told'] if came > REST_MOST else []

    def _came(self, runner: RunnerStandIn, told: Told, from_s: float, until_s: float) -> int:
        """Return how many requests came in a time after a word, of the instance that was told."""
        front = self.asked_at[told.request]
        came = [at for at in self._arrivals(runner, front) if from_s < at - told.at < until_s]
        return sum(not self._excused(front, told.at, at) for at in came)

    def _arrivals(self, runner: RunnerStandIn, front: int) -> Iterator[float]:
        for at, request in zip(runner.arrivals, runner.requests, strict=True):
            if self.asked_at.get(request) == front:
                yield at

    def _excused(self, front: int, since: float, until: float) -> bool:
        return any(one.since <= until and one.until >= since for one in self.disturbed[front])

    async def _register(self) -> None:
        """Write registrations again and again; they call a runner ready that has said in its answers that it leaves."""
        while True:
            for runner in self.runners:
                self._bed.store.put(RUNNER_TOPIC, runner.key, runner.record)
            await trio.sleep(HEARTBEAT_S)

    async def _rest_now_and_then(self, runner: RunnerStandIn) -> None:
        runner.asks_rest = (str(int(REST_S)).encode(),)
        while True:
            await trio.sleep(self._rng.uniform(0.2, CHANGE_S))
            runner.faults = Faults(rejects=True)
            await trio.sleep(self._rng.uniform(0.2, CHANGE_S))
            runner.faults = Faults()


__all__ = ('Disturbance', 'SoakWords')
