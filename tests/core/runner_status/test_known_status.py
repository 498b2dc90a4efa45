"""Known status of a runner, and the requests that it allows during draining and back-off.

The bounds for requests from one instance: none later than 2 s after the runner reported
to it that it is draining, and at most two between half a second after the runner asked
it to back off and the end of the back-off.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from unittest import TestCase
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from sesamepoint_core.runner_status.known_status import (
    FIRST_AFTER_BACK_OFF,
    RAMP_DOUBLINGS,
    RAMP_DOUBLING_S,
    KnownStatus,
)
from sesamepoint_standins.platform.status_bounds import (
    BACK_OFF_COUNTED_FROM_S,
    DRAINING_COUNTED_FROM_S,
    MAX_BACK_OFF_REQUESTS,
)

EXAMPLES = 100
STEPS = 30


@dataclass
class Simulation:
    """A runner and one instance; answers arrive late and out of order."""

    status: KnownStatus = field(default_factory=KnownStatus)
    now: float = 0
    in_flight: int = 0
    sent_at: list[float] = field(default_factory=list)
    draining_at: float = math.inf
    back_offs: list[tuple[float, float]] = field(default_factory=list)

    def send(self) -> bool:
        """Send a request if the known status allows it."""
        if self.status.draining or self.in_flight >= self.status.max_in_flight(self.now):
            return False
        self.in_flight += 1
        self.sent_at.append(self.now)
        return True

    def back_off(self, for_s: float) -> None:
        """Answer a request with 503 and a back-off."""
        self.back_offs.append((self.now, for_s))
        self.status.back_off(for_s, self.now)
        self.in_flight = max(self.in_flight - 1, 0)

    def start_draining(self) -> None:
        """Answer a request, and report draining."""
        self.draining_at = min(self.draining_at, self.now)
        self.status.mark_draining()
        self.in_flight = max(self.in_flight - 1, 0)

    def violations(self) -> list[str]:
        """Return the violations of the bounds."""
        violations = [
            f'leaving: sent at {at}' for at in self.sent_at if at > self.draining_at + DRAINING_COUNTED_FROM_S
        ]
        for asked_at, for_s in self.back_offs:
            sent = [at for at in self.sent_at if asked_at + BACK_OFF_COUNTED_FROM_S < at < asked_at + for_s]
            violations.extend(['rest: too many'] if len(sent) > MAX_BACK_OFF_REQUESTS else [])
        return violations


class SendMachine(RuleBasedStateMachine):
    """Requests, answers without status headers and passing time, in any order."""

    @initialize()
    def begin(self) -> None:
        """Start without any status."""
        self.side = Simulation()

    @rule()
    def answer(self) -> None:
        """Answer a request without a status header."""
        self.side.in_flight = max(self.side.in_flight - 1, 0)

    @rule(requests=st.integers(1, 30))
    def send(self, requests: int) -> None:
        """Try to send that many requests at one moment."""
        for _ in range(requests):
            self.side.send()

    @rule(for_s=st.floats(0.001, 4))
    def wait(self, for_s: float) -> None:
        """Let time pass."""
        self.side.now += for_s

    @invariant()
    def bounds_hold(self) -> None:
        """Check that the bounds hold."""
        if hasattr(self, 'side'):
            assert not self.side.violations(), self.side.violations()


class BackOffMachine(SendMachine):
    """The same, with a runner that asks for back-offs."""

    @rule(for_s=st.sampled_from((0.001, 0.4, 1, 3, 30, 86400)))
    def ask_for_back_off(self, for_s: float) -> None:
        """Reject a request and ask for a back-off."""
        self.side.back_off(for_s)


class DrainingMachine(SendMachine):
    """The same, with a runner that drains."""

    @rule()
    def leave(self) -> None:
        """Report draining."""
        self.side.start_draining()


class CombinedMachine(BackOffMachine, DrainingMachine):
    """A runner that asks for back-offs and drains."""


class KnownStatusTest(TestCase):
    """The known status, checked against the bounds."""

    def test_any_order(self) -> None:
        """Guards against orders of status headers and requests that break a bound."""
        for machine in (BackOffMachine, DrainingMachine, CombinedMachine):
            with self.subTest(machine=machine):
                _run(machine)

    def test_gets_longer_only(self) -> None:
        """Guards against a back-off that a later answer shortens."""
        status = KnownStatus()
        self.assertTrue(status.back_off(3, 0))
        self.assertFalse(status.back_off(1, 1))
        self.assertEqual(status.back_off_left_s(1), 2)
        self.assertTrue(status.back_off(5, 2))
        self.assertEqual(status.back_off_left_s(2), 5)

    def test_ramp_after_a_back_off(self) -> None:
        """Guards against a burst of all waiting requests at the end of a back-off."""
        status = KnownStatus()
        status.back_off(1, 0)
        self.assertEqual(status.max_in_flight(0.999), 0)
        self.assertEqual(status.max_in_flight(1), FIRST_AFTER_BACK_OFF)
        self.assertEqual(status.max_in_flight(1 + 2.5 * RAMP_DOUBLING_S), 4 * FIRST_AFTER_BACK_OFF)
        self.assertEqual(status.max_in_flight(1 + (RAMP_DOUBLINGS + 1) * RAMP_DOUBLING_S), math.inf)

    def test_no_limit_without_a_back_off(self) -> None:
        """Guards against a runner that gets no requests here because it asked a peer to back off."""
        status = KnownStatus()
        status.note_peer_back_off(1, 0)
        self.assertEqual(status.max_in_flight(0.5), math.inf)

    def test_repeated_report_is_no_change(self) -> None:
        """Guards against a log line, and an update to all peers, for each answer of a draining runner."""
        status = KnownStatus()
        self.assertEqual([status.mark_draining(), status.mark_draining()], [True, False])


class FaultyVariantTest(TestCase):
    """Faulty variants, each without one safeguard, which must break a bound."""

    def test_without_back_off(self) -> None:
        """A back-off that does not bound the requests in flight breaks the bound."""
        with patch.object(KnownStatus, 'max_in_flight', _always_room), self.assertRaises(AssertionError):
            _run(BackOffMachine)

    def test_back_off_shortened(self) -> None:
        """A later, shorter back-off replaces the longer one."""
        with patch.object(KnownStatus, 'back_off', _take_newest), self.assertRaises(AssertionError):
            _run(BackOffMachine)

    def test_draining_forgotten(self) -> None:
        """Draining is not recorded."""
        with patch.object(KnownStatus, 'mark_draining', _forget), self.assertRaises(AssertionError):
            _run(DrainingMachine)


def _always_room(self: KnownStatus, now: float) -> float:
    return math.inf


def _forget(self: KnownStatus) -> bool:
    return False


def _take_newest(self: KnownStatus, for_s: float, now: float) -> bool:
    self._back_off_until = now + for_s
    return True


def _run(machine: type[RuleBasedStateMachine]) -> None:
    kept = settings(max_examples=EXAMPLES, stateful_step_count=STEPS, derandomize=True, database=None, deadline=None)
    run_state_machine_as_test(machine, settings=kept)
