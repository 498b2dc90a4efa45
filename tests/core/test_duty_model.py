"""Holders of a duty under stops, starts, kills, freezes, cuts and restores of the store in any order.

A roll of three instances handed the duty A, B, A within the lease time, and the platform got the same report from each.
The oracle is what the platform sees. Each faulty variant lacks one safeguard, and must break a rule.
"""

from __future__ import annotations

from random import Random
from unittest import TestCase
from unittest.mock import patch

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from sesamepoint_core.duty.lease import ClaimAnswer, ClaimState, Holder, Lease
from tests.core.duty_model import DRAIN_S, STEP_S, DutyModel, Way

MACHINES = ('i1', 'i2', 'i3', 'i4')
WHICH = st.sampled_from(MACHINES)
SHORT_S = st.sampled_from((STEP_S, 0.5, 1.0, 2.0, 5.0))


class DutyMachine(RuleBasedStateMachine):
    """Processes, and what happens to them."""

    way = Way()

    @initialize(lease_s=st.sampled_from((1.0, 3.0, 10.0)), seed=st.integers(0, 9), machines=st.integers(2, 4))
    def begin(self, lease_s: float, seed: int, machines: int) -> None:
        """Start all processes, and let one of them take the duty."""
        self.model = DutyModel(Random(seed), lease_s, self.way)
        for machine in MACHINES[:machines]:
            self.model.start(machine)
        self._run(2 * lease_s + 5)

    @rule(which=WHICH)
    def stop(self, which: str) -> None:
        """Send a process the signal to stop."""
        self.model.stop(which)
        self._run(STEP_S)

    @rule(which=WHICH)
    def restart(self, which: str) -> None:
        """Start a process where there is none."""
        if which in self.model.processes:
            self.model.start(which)
            self._run(STEP_S)

    @rule(which=WHICH)
    def kill_and_restart(self, which: str) -> None:
        """Kill a process; the platform starts it again."""
        if which in self.model.processes:
            self.model.kill(which)
            self._run(STEP_S)
            self.model.start(which)

    @rule(gap_s=st.sampled_from((0.5, 1.0, 2.5)))
    def roll(self, gap_s: float) -> None:
        """Stop and start all processes in turn, that of the holder first."""
        held = [one.machine for one in self.model.processes.values() if one and one.lease.fence]
        order = [*held, *(machine for machine in self.model.processes if machine not in held)]
        for machine in order:
            self.model.stop(machine)
            self._run(gap_s)
        for machine in order:
            self._run(DRAIN_S - gap_s if machine == order[0] else gap_s)
            self.model.start(machine)

    @rule(which=WHICH, for_s=SHORT_S)
    def freeze(self, which: str, for_s: float) -> None:
        """Have a process not run for a time."""
        self.model.freeze(which, for_s)

    @rule(which=WHICH)
    def cut_or_heal(self, which: str) -> None:
        """Cut a machine off from the store and the others, or heal the cut."""
        self.model.cut ^= {which}

    @rule(records=st.integers(0, 6))
    def rewind(self, records: int) -> None:
        """Restore the store from an older copy."""
        self.model.rewind(records)

    @rule(for_s=SHORT_S)
    def wait(self, for_s: float) -> None:
        """Let time pass."""
        self._run(for_s)

    def _run(self, for_s: float) -> None:
        self.model.run(for_s)
        violations = self.model.violations()
        assert not violations, violations[0]


class StatefulTest(TestCase):
    """The code, and its faulty variants."""

    def test_holders_in_any_order(self) -> None:
        """Guards against holders that act in turns, with wrong fencing tokens, or again without need."""
        _run(tuple(Phase), examples=600)

    def test_claim_after_any_release(self) -> None:
        """Guards against a claim at once by an instance that acted before the one that released the lease."""
        with patch.object(Lease, 'may_claim', _free_if_released):
            self._assert_caught(Way())

    def test_forgets_predecessors(self) -> None:
        """Guards against records that name the last holder only, in a chain of releases."""
        with patch.object(Lease, '_inherited', _nobody):
            self._assert_caught(Way())

    def test_claims_while_stopping(self) -> None:
        """Guards against a holder that must give the duty back within seconds."""
        self._assert_caught(Way(stopping_seeks=True))

    def test_repeats_known_report(self) -> None:
        """Guards against a report that is sent again although the record shows that it has arrived."""
        self._assert_caught(Way(notes_reports=False))

    def _assert_caught(self, way: Way) -> None:
        with patch.object(DutyMachine, 'way', way), self.assertRaises(AssertionError):
            _run((Phase.generate,), examples=300)


def _run(phases: tuple[Phase, ...], examples: int) -> None:
    run_state_machine_as_test(
        DutyMachine,
        settings=settings(max_examples=examples, stateful_step_count=12, phases=phases, print_blob=False),
    )


_may_claim = Lease.may_claim


def _free_if_released(lease: Lease, read_began_at: float) -> ClaimAnswer:
    return ClaimAnswer(ClaimState.free) if lease.released else _may_claim(lease, read_began_at)


def _nobody(lease: Lease, now: float) -> tuple[Holder, ...]:
    return ()
