"""Poison requests in a deployment with random faults, and checks of their containment.

Run by hand: python -m tests.front.harmful_faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import configuration, engine, plain_runner
from tests.front.harmful import SENT_LATER, all_end_on_it, ask_again, ask_all, harmful_prompt, sent_later
from tests.front.random_faults import FRONTS, World, broken_promises, main

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import Seen

# Mean pause between poison requests, in seconds.
AGAIN_S = 1.5
REFUSAL = b'its runners end under it'


class HarmfulWorld(World):
    """Random faults while callers send poison requests; messages between instances are not lost."""

    # The users' bound counts from 3 s after the third end, and a runner that ended
    # takes 3 s to start again.
    length_s = 16.0

    def __init__(self, bed: PlatformBed, rng: Random) -> None:
        """Draw all random choices from ``rng``."""
        super().__init__(bed, rng)
        excluded = (self._cut, self._lose_datagrams)
        self._steps = tuple(step for step in self._steps if step not in excluded)

    async def play(self) -> None:
        """Send poison requests beside the load and the faults of the base class."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._come_again, nursery)
            await super().play()
            nursery.cancel_scope.cancel()

    async def _come_again(self, nursery: trio.Nursery) -> None:
        answers: list[Seen] = []
        while True:
            await trio.sleep(self._rng.expovariate(1 / AGAIN_S))
            fronts = [f'front-{self._rng.randint(1, FRONTS)}' for _ in range(2)]
            if self._rng.random() < 1 / FRONTS:
                nursery.start_soon(ask_all, self.bed, tuple(self.bed.fronts), harmful_prompt())
            else:
                nursery.start_soon(ask_again, self.bed, fronts, harmful_prompt(), answers)


async def play(seed: int) -> list[str]:
    """Run one seed and return the violations."""
    runners = [plain_runner(number) for number in range(1, 4)]
    runners += all_end_on_it(engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 9))
    async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
        simulation = HarmfulWorld(bench, Random(seed))
        await simulation.play()
        violations = [line for line in broken_promises(simulation) if not line.startswith('unasked')]
        later = sent_later(bench)
        if later > SENT_LATER:
            violations.append(f'harmful: sent {later} times after the time allowed for detection')
        ordinary = [outcome.asked.request_id for outcome in simulation.outcomes if REFUSAL in outcome.seen.body]
        return [*violations, *(f'beside: ordinary request {name} was quarantined' for name in ordinary)]


if __name__ == '__main__':
    main(play)
