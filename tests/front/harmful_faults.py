"""Poison requests in a deployment with random faults, and checks of their containment.

Run by hand: python -m tests.front.harmful_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, engine, plain_runner
from tests.front.poison_requests import (
    MAX_SENDS_AFTER_DETECTION,
    ask_concurrently,
    ask_until_answered,
    end_on_poison,
    poison_prompt,
    sends_after_detection,
)
from tests.front.random_faults import FRONTS, FaultSimulation, find_violations, main

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer

# Mean pause between poison requests, in seconds.
MEAN_POISON_PAUSE_S = 1.5
QUARANTINE_REFUSAL = b'its runners end under it'


class PoisonFaultSimulation(FaultSimulation):
    """Random faults while callers send poison requests; messages between instances are not lost."""

    # The users' bound counts from 3 s after the third end, and a runner that ended
    # takes 3 s to start again.
    duration_s = 16.0

    def __init__(self, bench: PlatformBench, rng: Random) -> None:
        """Draw all random choices from ``rng``."""
        super().__init__(bench, rng)
        excluded = (self._cut_link, self._lose_datagrams)
        self._steps = tuple(step for step in self._steps if step not in excluded)

    async def run(self) -> None:
        """Send poison requests beside the load and the faults of the base class."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_poison_requests, nursery)
            await super().run()
            nursery.cancel_scope.cancel()

    async def _send_poison_requests(self, nursery: trio.Nursery) -> None:
        answers: list[CallerAnswer] = []
        while True:
            await trio.sleep(self._rng.expovariate(1 / MEAN_POISON_PAUSE_S))
            fronts = [f'front-{self._rng.randint(1, FRONTS)}' for _ in range(2)]
            if self._rng.random() < 1 / FRONTS:
                nursery.start_soon(ask_concurrently, self.bench, tuple(self.bench.fronts), poison_prompt())
            else:
                nursery.start_soon(ask_until_answered, self.bench, fronts, poison_prompt(), answers)


async def run_seed(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    runners = [plain_runner(number) for number in range(1, 4)]
    runners += end_on_poison(engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 9))
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
        simulation = PoisonFaultSimulation(bench, Random(seed))
        await simulation.run()
        violations = [line for line in find_violations(simulation) if not line.startswith('unasked')]
        later = sends_after_detection(bench)
        if later > MAX_SENDS_AFTER_DETECTION:
            violations.append(f'harmful: sent {later} times after the time allowed for detection')
        ordinary = [
            outcome.request.request_id for outcome in simulation.outcomes if QUARANTINE_REFUSAL in outcome.answer.body
        ]
        return [*violations, *(f'beside: ordinary request {name} was quarantined' for name in ordinary)]


if __name__ == '__main__':
    main(run_seed)
