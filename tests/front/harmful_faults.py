"""A request that ends its runners among random faults, and an oracle for it.

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

# Seconds until the next caller has the request, drawn around this.
AGAIN_S = 1.5
REFUSAL = b'its runners end under it'


class HarmfulWorld(World):
    """Runners come, go and fail by lot, entries hear each other, and some end on one request."""

    # Users count what is sent three seconds after the third end, and runners
    # take three until they are back.
    length_s = 16.0

    def __init__(self, bed: PlatformBed, rng: Random) -> None:
        """Draw all from ``rng``."""
        super().__init__(bed, rng)
        apart = (self._cut, self._lose_datagrams)
        self._steps = tuple(step for step in self._steps if step not in apart)

    async def play(self) -> None:
        """Let callers have the harmful request beside all else."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._come_again, nursery)
            await super().play()
            nursery.cancel_scope.cancel()

    async def _come_again(self, nursery: trio.Nursery) -> None:
        found: list[Seen] = []
        while True:
            await trio.sleep(self._rng.expovariate(1 / AGAIN_S))
            fronts = [f'front-{self._rng.randint(1, FRONTS)}' for _ in range(2)]
            if self._rng.random() < 1 / FRONTS:
                nursery.start_soon(ask_all, self.bed, tuple(self.bed.fronts), harmful_prompt())
            else:
                nursery.start_soon(ask_again, self.bed, fronts, harmful_prompt(), found)


async def play(seed: int) -> list[str]:
    """Play one seed and return the broken promises."""
    runners = [plain_runner(number) for number in range(1, 4)]
    runners += all_end_on_it(engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 9))
    async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
        world = HarmfulWorld(bed, Random(seed))
        await world.play()
        found = [line for line in broken_promises(world) if not line.startswith('unasked')]
        later = sent_later(bed)
        if later > SENT_LATER:
            found.append(f'harmful: sent {later} times more when that was known')
        sound = [one.asked.request_id for one in world.outcomes if REFUSAL in one.seen.body]
        return [*found, *(f'beside: {name} was taken for harmful' for name in sound)]


if __name__ == '__main__':
    main(play)
