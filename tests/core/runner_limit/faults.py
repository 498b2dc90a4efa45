"""Random faults in a simulation of instances that share a rate limit.

Run by hand: python -m tests.core.runner_limit.faults FIRST-SEED LAST-SEED
"""

from __future__ import annotations

import sys
from random import Random
from typing import TYPE_CHECKING

from sesamepoint_core.runner_limit.shared_limit import SharedLimit
from sesamepoint_standins.platform.limit_bound import LIMIT_KNOWN_S
from sesamepoint_standins.platform.limit_simulation import LimitSimulation

if TYPE_CHECKING:
    from collections.abc import Callable

    from sesamepoint_standins.platform.limit_simulation import StrategyFactory

DURATION_S = 60.0
BEGIN_S = 2.0
FAULT_PAUSE_S = 1.0
SIZES = (1, 2, 3, 5, 8, 20)
LOADS = (20, 60, 150)
FIRST_LIMITS = (1, 6.8, 30)
LIMITS = (0.5, 1, 6.8, 30)
MAX_ADDED = 4


class LimitFaults:
    """A simulated deployment and a random sequence of faults."""

    def __init__(self, seed: int, new_strategy: StrategyFactory = SharedLimit) -> None:
        """Draw the size, the load and all faults from ``seed``."""
        self.world = LimitSimulation(seed, new_strategy)
        self._rng = Random(f'f{seed}')
        self._size = self._rng.choice(SIZES)
        self._load = self._rng.choice(LOADS) / self._size
        for number in range(self._size):
            self.world.add(f'front-{number}', self._rng.choice((0, 1, 3)) * self._load)
        self._steps: tuple[Callable[[], None], ...] = (
            self._kill,
            self._freeze,
            self._cut,
            self._heal,
            self._harm,
            self._calm,
            self._limit,
            self._add,
            self._shift,
        )

    def run(self) -> float:
        """Run to the end; return by how many requests the worst time span exceeded the bound."""
        self.world.run(BEGIN_S)
        self.world.change_limit(self._rng.choice(FIRST_LIMITS))
        while self.world.now < DURATION_S:
            self.world.run(self._rng.expovariate(1 / FAULT_PAUSE_S))
            self._rng.choice(self._steps)()
        return self.world.max_excess(BEGIN_S + LIMIT_KNOWN_S)

    def _any(self) -> str:
        return self._rng.choice(list(self.world.instances))

    def _kill(self) -> None:
        self.world.kill(self._any(), self._rng.uniform(0.3, 3))

    def _freeze(self) -> None:
        self.world.freeze(self._any(), self._rng.uniform(0.2, 5))

    def _cut(self) -> None:
        names = list(self.world.instances)
        self.world.partition(self._rng.sample(names, self._rng.randint(1, max(1, len(names) // 2))))

    def _heal(self) -> None:
        self.world.network.cut_pairs = set()

    def _harm(self) -> None:
        network = self.world.network
        network.loss_share = self._rng.choice((0.05, 0.3))
        network.delayed_share = self._rng.choice((0, 0.1))
        network.duplicate_share = 0.1

    def _calm(self) -> None:
        network = self.world.network
        network.loss_share = 0
        network.delayed_share = 0
        network.duplicate_share = 0

    def _limit(self) -> None:
        self.world.change_limit(self._rng.choice(LIMITS))

    def _add(self) -> None:
        if len(self.world.instances) < self._size + MAX_ADDED:
            self.world.add(f'front-{len(self.world.instances)}', self._load)

    def _shift(self) -> None:
        for instance in self.world.instances.values():
            instance.rate = self._rng.choice((0, 0, 1, 4)) * self._load


def main() -> None:
    """Run a range of seeds and print by how much each exceeds the bound."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        excess = LimitFaults(seed).run()
        sys.stdout.write(f'seed {seed}: {"kept" if excess <= 0 else f"{excess:.0f} too many"}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
