"""Hypothesis state machine that collects a program of steps and runs it in virtual time."""

from __future__ import annotations

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from sesamepoint_standins.deployment_bench import DeploymentBench
from sesamepoint_standins.virtual_time import run_virtual
from tests.builders import configuration
from tests.fuzz.oracle import find_violations
from tests.fuzz.simulation import SIZE, STEPS, Simulation, remove_faults

STARTUP_S = 15.0
NUMBERS = st.integers(0, 59)
FAULTS = st.sampled_from([name for name in STEPS if not name.startswith('send') and name != 'wait'])


class Machine(RuleBasedStateMachine):
    """Collects steps; the teardown runs them and asks the oracle.

    Steps only name what happens. Nothing in the program depends on what
    came of earlier steps, so it can be run as a whole, on one clock, and
    hypothesis can shrink it.
    """

    def __init__(self) -> None:
        """Start with an empty program."""
        super().__init__()
        self.program: list[tuple[str, int]] = []

    @initialize(seed=st.integers(1, 1000))
    def begin(self, seed: int) -> None:
        """Choose the seed of all that the processes draw."""
        self.seed = seed

    @rule(number=NUMBERS)
    def send(self, number: int) -> None:
        """Send a request."""
        self.program.append(('send', number))

    @rule(number=NUMBERS)
    def send_key(self, number: int) -> None:
        """Send an idempotency key."""
        self.program.append(('send_key', number))

    @rule(number=NUMBERS)
    def wait(self, number: int) -> None:
        """Let time pass."""
        self.program.append(('wait', number))

    @rule(name=FAULTS, number=NUMBERS)
    def fault(self, name: str, number: int) -> None:
        """Bring one fault or change about."""
        self.program.append((name, number))

    @rule(first=FAULTS, second=FAULTS, number=NUMBERS)
    def pair(self, first: str, second: str, number: int) -> None:
        """Bring two about at once, with a request under way."""
        self.program.extend([('send', number), (first, number), (second, number // 2)])

    def teardown(self) -> None:
        """Run the program and ask the oracle."""
        broken = run_program(tuple(self.program), self.seed)
        assert not broken, broken


def run_program(program: tuple[tuple[str, int], ...], seed: int) -> list[str]:
    """Run a program and return the violated guarantees, one line each."""
    return run_virtual(_run, program, seed, seed=seed)


async def _run(program: tuple[tuple[str, int], ...], seed: int) -> list[str]:
    async with DeploymentBench.open(configuration(size=SIZE), seed) as bed:
        await trio.sleep(STARTUP_S)
        async with trio.open_nursery() as nursery:
            world = Simulation(bed, nursery)
            for name, number in program:
                await STEPS.get(name)(world, number)
            await remove_faults(world)
            nursery.cancel_scope.cancel()
        return find_violations(world)


__all__ = ('Machine', 'run_program')
