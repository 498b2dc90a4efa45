"""Load on three plain runners of which one fails all its requests, or has a bad link to one instance."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import trio

from sesamepoint_standins.platform.bench import PlatformBench
from sesamepoint_standins.platform.runner import RunnerStandIn
from sesamepoint_standins.platform.runner_state import EngineSpeed
from tests.front.builders import new_request, plain_runner

STATUS_OK = 200
RUNNERS = 3
SLOTS = 6
WORK_S = 0.072
# Duration of the failure that was measured, in seconds.
FAILURE_S = 6.5
NON_IDEMPOTENT_PER_S = 20.0
IDEMPOTENT_PER_S = 23.0
NON_IDEMPOTENT = '/card/a'
IDEMPOTENT = '/thumb/a'


def plain_runners() -> list[RunnerStandIn]:
    """Return the three plain runners."""
    return [plain_runner(number, work_s=WORK_S, speed=EngineSpeed(slots=SLOTS)) for number in range(1, RUNNERS + 1)]


class Answered(NamedTuple):
    """When a request was sent, on trio's clock, its path and its status."""

    sent_at: float
    path: str
    status: int


class PlainLoad:
    """Requests for a plain service at random times and instances."""

    def __init__(self, bench: PlatformBench, seed: int) -> None:
        """Send requests to ``bench``, drawn from a generator with ``seed``."""
        self.answers: list[Answered] = []
        self._bench = bench
        self._rng = Random(seed)

    def lost(self, path: str) -> int:
        """Return how many requests for ``path`` were not served."""
        return sum(one.path == path and one.status != STATUS_OK for one in self.answers)

    def count(self, path: str) -> int:
        """Return how many requests for ``path`` were answered."""
        return sum(one.path == path for one in self.answers)

    async def run(self, seconds: float, *, idempotent: bool) -> None:
        """Send requests for some seconds and wait for their answers; without ``idempotent``, one kind only."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_at_rate, NON_IDEMPOTENT, NON_IDEMPOTENT_PER_S, seconds)
            if idempotent:
                nursery.start_soon(self._send_at_rate, IDEMPOTENT, IDEMPOTENT_PER_S, seconds)

    async def _send_at_rate(self, path: str, rate: float, seconds: float) -> None:
        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                await trio.sleep(self._rng.expovariate(rate))
                nursery.start_soon(self._ask, path)

    async def _ask(self, path: str) -> None:
        caller = self._bench.new_caller(self._rng.choice(tuple(self._bench.fronts)))
        sent_at = trio.current_time()
        answer = await caller.send(new_request(path))
        self.answers.append(Answered(sent_at, path, answer.status))


class Served(NamedTuple):
    """Arrivals of requests of callers at one runner over a time."""

    runner: RunnerStandIn
    since: float

    def longest_gap_s(self, until: float) -> float:
        """Return the longest time without an arrival."""
        times = [self.since, *(at for at in self.runner.arrivals if self.since <= at < until), until]
        return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))

    def first_s(self) -> float:
        """Return the seconds until the first run that was complete; infinite if there was none."""
        ended = (run.ended_at or 0 for run in self.runner.runs if run.complete and run.started_at >= self.since)
        return next(ended, float('inf')) - self.since


__all__ = (
    'FAILURE_S',
    'IDEMPOTENT',
    'NON_IDEMPOTENT',
    'STATUS_OK',
    'PlainLoad',
    'Served',
    'plain_runners',
)
