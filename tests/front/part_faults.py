"""A harmful part in a deployment with random faults, and checks of its containment.

Run by hand: python -m tests.front.part_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, engine, new_prompt_request, plain_runner
from tests.front.crashing_parts import ENDS_ALLOWED, HARMFUL_PART, MAX_LATE_SENDS, STABLE_WINDOW_S
from tests.front.random_faults import FRONTS, FaultSimulation, find_violations, main

if TYPE_CHECKING:
    from sesamepoint_standins.platform.runner_state import Run

MEAN_HARMFUL_PAUSE_S = 0.4


class PartFaultSimulation(FaultSimulation):
    """Random faults while callers send new requests with a harmful part; messages between instances are not lost."""

    duration_s = 16.0

    def __init__(self, bench: PlatformBench, rng: Random, *, harmful: bool) -> None:
        """Draw all random choices from ``rng``."""
        super().__init__(bench, rng)
        self._harmful = harmful
        self._part_rng = Random(rng.random())
        excluded = (self._cut_link, self._lose_datagrams)
        self._steps = tuple(step for step in self._steps if step not in excluded)

    async def run(self) -> None:
        """Send harmful requests beside the load and the faults of the base class."""
        async with trio.open_nursery() as nursery:
            if self._harmful:
                nursery.start_soon(self._send_harmful, nursery)
            await super().run()
            nursery.cancel_scope.cancel()

    async def _send_harmful(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self._part_rng.expovariate(1 / MEAN_HARMFUL_PAUSE_S))
            req = new_prompt_request('/tag/a', 300, (f'k{self._part_rng.randint(1, 20)}', 9000), deadline_s=2.0)
            first, last = req.parts
            with_part = req._replace(parts=(first, (HARMFUL_PART, 50), last))
            nursery.start_soon(self._ask, with_part, self._part_rng.randint(1, FRONTS))


def late_sends(bench: PlatformBench, runs: list[Run]) -> int:
    """Return how many harmful requests reached a runner later than the users allow."""
    if len(bench.crashes) < ENDS_ALLOWED:
        return 0
    since = sorted(end.at for end in bench.crashes)[ENDS_ALLOWED - 1] + STABLE_WINDOW_S
    return len({run.request_id for run in runs if run.started_at > since})


async def _run_seed(seed: int, *, harmful: bool) -> list[str]:
    parts = frozenset((HARMFUL_PART,))
    runners = [plain_runner(number) for number in range(1, 4)]
    runners += [engine(number, 'prefill' if number < 3 else 'decode', crash_parts=parts) for number in range(1, 9)]
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
        simulation = PartFaultSimulation(bench, Random(seed), harmful=harmful)
        await simulation.run()
        violations = [line for line in find_violations(simulation) if not line.startswith('unasked')]
        harmful_runs = [
            run
            for runner in simulation.all_runners()
            for run in runner.runs
            if any(HARMFUL_PART.encode() in text for _, text in run.message.head.headers)
        ]
        late = late_sends(bench, harmful_runs)
        if late > MAX_LATE_SENDS:
            violations.append(f'budget: {late} sends after the fifth end')
        for front in bench.fronts.values():
            verdicts = front.peers._quarantine.suspects.part_quarantine.all_verdicts()
            wrong = {verdict.key for verdict in verdicts} - {HARMFUL_PART}
            violations.extend(f'beside: sound part {key} is in quarantine' for key in wrong)
        return violations


async def run_seed(seed: int) -> list[str]:
    """Run one seed, with and without harmful requests, and return the violations."""
    beside = [f'without harmful requests, {text}' for text in await _run_seed(seed, harmful=False)]
    return [*await _run_seed(seed, harmful=True), *beside]


if __name__ == '__main__':
    main(run_seed)


__all__ = ('run_seed',)
