"""Runners of a soak that report draining and back-off in their answers only, and the check that they are heeded."""

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
# The users' bound counts requests from 0.5 s after an answer that asks for back-off, and from 2 s
# after one that reports draining. A process that waits for a processor may be slower by this
# many seconds.
SLOW_S = 1.0
REST_FROM_S = 0.5 + SLOW_S
REST_MOST = 2
LEAVING_FROM_S = 2.0 + SLOW_S


class Disturbance(NamedTuple):
    """A time in which an instance was killed, stopped, frozen or started."""

    since: float
    until: float


class SoakWords:
    """A plain runner and an engine, without faulty proxies, that report draining or ask for back-off."""

    def __init__(self, bed: ProcessBed, rng: Random) -> None:
        """Draw all times from ``rng``."""
        self.runners: list[RunnerStandIn] = []
        self.asked_at: dict[str, int] = {}
        self.disturbed: dict[int, list[Disturbance]] = defaultdict(list)
        self._bed = bed
        self._rng = rng

    async def begin(self) -> None:
        """Start both runners."""
        for service, stage in (('web', None), ('llm', 'decode')):
            key = f'i-word-{service}'
            runner = RunnerStandIn(key, service, Address('', 0), 'z1', stage=stage, speed=QUICK, work_s=0.005)
            runner.address = await ProcessBed.serve(self._bed, runner.serve)
            self.runners.append(runner)

    async def say(self, length_s: float) -> None:
        """Have both runners report back-off at times and one of them draining, for ``length_s`` seconds."""
        drains_at = trio.current_time() + self._rng.uniform(0.3, 0.6) * length_s
        draining_runner = self._rng.choice(self.runners)
        with trio.move_on_after(length_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._register)
                for runner in self.runners:
                    nursery.start_soon(self._rest_now_and_then, runner)
                await trio.sleep_until(drains_at)
                draining_runner.says_leaving = (b'1',)
        for runner in self.runners:
            runner.faults = Faults()

    def broken_promises(self, answered: set[str]) -> list[str]:
        """Return a message for each instance that sent requests against a runner's status.

        Only status headers in answers to the requests in ``answered`` count: others may not have arrived.
        """
        reports = [(runner, report) for runner in self.runners for report in runner.told if report.request in answered]
        return [
            *(text for runner, report in reports if report.leaving for text in self._after_leaving(runner, report)),
            *(text for runner, report in reports if report.rest_s for text in self._in_rest(runner, report)),
        ]

    def _after_leaving(self, runner: RunnerStandIn, told: Told) -> list[str]:
        count = self._came(runner, told, LEAVING_FROM_S, math.inf)
        return [f'leaving: {runner.key} got {count} requests from an instance that knew it drains'] if count else []

    def _in_rest(self, runner: RunnerStandIn, told: Told) -> list[str]:
        count = self._came(runner, told, REST_FROM_S, told.rest_s)
        return [f'rest: {runner.key} got {count} requests from a backed-off instance'] if count > REST_MOST else []

    def _came(self, runner: RunnerStandIn, told: Told, from_s: float, until_s: float) -> int:
        """Return how many requests came from the instance that got the report ``told``, in a time after it.

        The time is given in seconds after the report; requests of a disturbed instance do not count.
        """
        front = self.asked_at[told.request]
        arrivals = [at for at in self._arrivals(runner, front) if from_s < at - told.at < until_s]
        return sum(not self._excused(front, told.at, at) for at in arrivals)

    def _arrivals(self, runner: RunnerStandIn, front: int) -> Iterator[float]:
        for at, request in zip(runner.arrivals, runner.requests, strict=True):
            if self.asked_at.get(request) == front:
                yield at

    def _excused(self, front: int, since: float, until: float) -> bool:
        return any(one.since <= until and one.until >= since for one in self.disturbed[front])

    async def _register(self) -> None:
        """Renew the registrations, which call a runner ready even if its answers report that it is draining."""
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
