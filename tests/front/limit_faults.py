"""Runners with rate limits in a deployment with random faults, and checks that the limits are kept.

Run by hand: python -m tests.front.limit_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.limit_bound import LIMIT_KNOWN_S, WINDOW_S, max_requests, request_windows
from tests.front.builders import configuration, engine, plain_runner
from tests.front.random_faults import FRONTS, FaultSimulation, find_violations, main

if TYPE_CHECKING:
    from sesamepoint_standins.platform.runner import RunnerStandIn

LIMITS = (b'1', b'4', b'6.8', b'20')
# Longest time in seconds until a request that arrives after a change of the limit is answered;
# an instance knows the limit from such an answer.
ANSWER_WAIT_S = 0.5


class LimitChange(NamedTuple):
    """A rate limit that a runner reports from a moment on."""

    changed_at: float
    limit: bytes


class LimitFaultSimulation(FaultSimulation):
    """Random faults, with runners that report and change rate limits, and instances that are killed and restarted."""

    duration_s = 20.0

    def __init__(self, bench: PlatformBench, rng: Random) -> None:
        """Draw all random choices from ``rng``."""
        super().__init__(bench, rng)
        self.limit_changes: dict[str, list[LimitChange]] = {}
        # Times of restarts of instances, by host.
        self._steps = (*self._steps, self._change_limit, self._change_limit, self._restart_front)

    def limit_violations(self) -> list[str]:
        """Return a message for each runner that got more requests than the users' bound allows."""
        return [text for runner in self.all_runners() for text in self._limit_violations_of(runner)]

    def _limit_violations_of(self, runner: RunnerStandIn) -> list[str]:
        namings = self.limit_changes.get(runner.key)
        if not namings:
            return []
        arrivals = zip(runner.arrivals, runner.sender_hosts, strict=True)
        known_at = namings[0].changed_at + ANSWER_WAIT_S
        counted = [at for at, sender in arrivals if at >= known_at and self._up_long_enough(sender, at)]
        checked = (
            span for span in request_windows(counted) if span.window_end >= namings[0].changed_at + LIMIT_KNOWN_S
        )
        over = (span for span in checked if span.requests > self._max_requests(namings, span.window_end))
        return [f'limit: {runner.key} got {span.requests} in 4 s' for span in over][:1]

    def _up_long_enough(self, sender: str, at: float) -> bool:
        """Return whether the instance at ``sender`` has been up long enough at ``at`` to know a limit."""
        return at - max(self.instance_starts.get(sender, ()), default=-math.inf) > LIMIT_KNOWN_S

    def _max_requests(self, limit_changes: list[LimitChange], at: float) -> float:
        untils = [*(naming.changed_at for naming in limit_changes[1:]), math.inf]
        since = at - WINDOW_S - ANSWER_WAIT_S
        return max(
            max_requests(float(naming.limit))
            for naming, until in zip(limit_changes, untils, strict=True)
            if until >= since
        )

    def _change_limit(self) -> None:
        self._change_limit_of(self._any_runner())

    def _change_limit_of(self, runner: RunnerStandIn) -> None:
        limit = self._rng.choice(LIMITS)
        runner.limit_headers = (limit,)
        self.limit_changes.setdefault(runner.key, []).append(LimitChange(trio.current_time(), limit))

    def _restart_front(self) -> None:
        """Kill an instance and start another one under its name at once."""
        name = self._rng.choice(list(self.bench.fronts))
        self.bench.kill_front(name)
        front = self.bench.add_front(int(name.rpartition('-')[2]))
        self.instance_starts.setdefault(front.cfg.host, []).append(trio.current_time())


async def run_seed(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    rng = Random(seed)
    runners = [plain_runner(number) for number in range(1, 5)]
    runners += [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 8)]
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
        simulation = LimitFaultSimulation(bench, rng)
        await simulation.run()
        return [*find_violations(simulation), *simulation.limit_violations()]


if __name__ == '__main__':
    main(run_seed)
