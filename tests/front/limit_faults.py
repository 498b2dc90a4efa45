"""Runners with rate limits in a deployment with random faults, and checks that the limits are kept.

Run by hand: python -m tests.front.limit_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from sesamepoint_standins.platform.limit_bound import KNOWN_S, SPAN_S, bound, spans
from tests.front.builders import configuration, engine, plain_runner
from tests.front.random_faults import FRONTS, World, broken_promises, main

if TYPE_CHECKING:
    from sesamepoint_standins.platform.runner import RunnerStandIn

LIMITS = (b'1', b'4', b'6.8', b'20')
# Longest time in seconds until a request that arrives after a change of the limit is answered;
# an instance knows the limit from such an answer.
ANSWER_S = 0.5


class Naming(NamedTuple):
    """A rate limit that a runner reports from a moment on."""

    at: float
    limit: bytes


class LimitWorld(World):
    """Random faults, with runners that report and change rate limits, and instances that are killed and restarted."""

    length_s = 20.0

    def __init__(self, bed: PlatformBed, rng: Random) -> None:
        """Draw all random choices from ``rng``."""
        super().__init__(bed, rng)
        self.namings: dict[str, list[Naming]] = {}
        # Times of restarts of instances, by host.
        self.starts: dict[str, list[float]] = {}
        self._steps = (*self._steps, self._name, self._name, self._restart_front)

    def over_limits(self) -> list[str]:
        """Return a message for each runner that got more requests than the users' bound allows."""
        return [text for runner in self.runners() for text in self._over(runner)]

    def _over(self, runner: RunnerStandIn) -> list[str]:
        namings = self.namings.get(runner.key)
        if not namings:
            return []
        arrivals = zip(runner.arrivals, runner.senders, strict=True)
        known_at = namings[0].at + ANSWER_S
        counted = [at for at, sender in arrivals if at >= known_at and self._knows(sender, at)]
        checked = (span for span in spans(counted) if span.until >= namings[0].at + KNOWN_S)
        over = (span for span in checked if span.requests > self._allowed(namings, span.until))
        return [f'limit: {runner.key} got {span.requests} in 4 s' for span in over][:1]

    def _knows(self, sender: str, at: float) -> bool:
        """Return whether the instance at ``sender`` has been up long enough at ``at`` to know a limit."""
        return at - max(self.starts.get(sender, ()), default=-math.inf) > KNOWN_S

    def _allowed(self, namings: list[Naming], at: float) -> float:
        untils = [*(naming.at for naming in namings[1:]), math.inf]
        since = at - SPAN_S - ANSWER_S
        return max(bound(float(naming.limit)) for naming, until in zip(namings, untils, strict=True) if until >= since)

    def _name(self) -> None:
        self._name_limit_of(self._any_runner())

    def _name_limit_of(self, runner: RunnerStandIn) -> None:
        limit = self._rng.choice(LIMITS)
        runner.names_limit = (limit,)
        self.namings.setdefault(runner.key, []).append(Naming(trio.current_time(), limit))

    def _restart_front(self) -> None:
        """Kill an instance and start another one under its name at once."""
        name = self._rng.choice(list(self.bed.fronts))
        self.bed.kill_front(name)
        front = self.bed.add_front(int(name.rpartition('-')[2]))
        self.starts.setdefault(front.cfg.host, []).append(trio.current_time())


async def play(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    rng = Random(seed)
    runners = [plain_runner(number) for number in range(1, 5)]
    runners += [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 8)]
    async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
        simulation = LimitWorld(bench, rng)
        await simulation.play()
        return [*broken_promises(simulation), *simulation.over_limits()]


if __name__ == '__main__':
    main(play)
