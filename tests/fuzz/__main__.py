"""Command line for long fuzzing runs: ``make fuzz EXAMPLES=2000 SEED=7``."""

from __future__ import annotations

import sys
from collections import Counter

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.machine import Machine

STEPS_PER_PROGRAM = 20


class CountingMachine(Machine):
    """A state machine that counts its programs and steps."""

    counts: Counter[str] = Counter()
    programs = 0

    def teardown(self) -> None:
        """Run the program, then count it and its steps."""
        super().teardown()
        CountingMachine.programs += 1
        CountingMachine.counts.update(name for name, _ in self.program)


def main(examples: int, seed_number: int) -> int:
    """Fuzz with a seed and print the counts of steps; a violated guarantee raises an error."""
    chosen = settings(
        max_examples=examples,
        stateful_step_count=STEPS_PER_PROGRAM,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(seed_number)(CountingMachine), settings=chosen)
    sys.stdout.write(
        f'seed {seed_number}: {CountingMachine.programs} programs, '
        f'{sum(CountingMachine.counts.values())} steps, none broken\n'
    )
    for name, count in sorted(CountingMachine.counts.items()):
        sys.stdout.write(f'  {name:14} {count}\n')
    return 0


if __name__ == '__main__':
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
