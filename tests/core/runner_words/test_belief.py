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

from sesamepoint_core.runner_words.belief import DOUBLING_S, DOUBLINGS, FIRST_AFTER_REST, Belief
from sesamepoint_standins.platform.word_bounds import DRAIN_S, REST_FROM_S, REST_MOST

EXAMPLES = 100
STEPS = 30


@dataclass
class Side:
    """A runner and one instance; answers arrive late and out of order."""

    belief: Belief = field(default_factory=Belief)
    now: float = 0
    under_way: int = 0
    sent_at: list[float] = field(default_factory=list)
    leaving_at: float = math.inf
    rests: list[tuple[float, float]] = field(default_factory=list)

    def send(self) -> bool:
        """Send a request if the known status allows it."""
        if self.belief.leaving or self.under_way >= self.belief.room(self.now):
            return False
        self.under_way += 1
        self.sent_at.append(self.now)
        return True

    def rest(self, for_s: float) -> None:
        """Answer a request with 503 and a back-off."""
        self.rests.append((self.now, for_s))
        self.belief.rest(for_s, self.now)
        self.under_way = max(self.under_way - 1, 0)

    def leave(self) -> None:
        """Answer a request, and report draining."""
        self.leaving_at = min(self.leaving_at, self.now)
        self.belief.leave()
        self.under_way = max(self.under_way - 1, 0)

    def broken(self) -> list[str]:
        """Return the violations of the bounds."""
        violations = [f'leaving: sent at {at}' for at in self.sent_at if at > self.leaving_at + DRAIN_S]
        for asked_at, for_s in self.rests:
            sent = [at for at in self.sent_at if asked_at + REST_FROM_S < at < asked_at + for_s]
            violations.extend(['rest: too many'] if len(sent) > REST_MOST else [])
        return violations


class SendMachine(RuleBasedStateMachine):
    """Requests, answers without status headers and passing time, in any order."""

    @initialize()
    def begin(self) -> None:
        """Start without any status."""
        self.side = Side()

    @rule()
    def answer(self) -> None:
        """Answer a request without a status header."""
        self.side.under_way = max(self.side.under_way - 1, 0)

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
    def kept(self) -> None:
        """Check that the bounds hold."""
        if hasattr(self, 'side'):
            assert not self.side.broken(), self.side.broken()


class RestMachine(SendMachine):
    """The same, with a runner that asks for back-offs."""

    @rule(for_s=st.sampled_from((0.001, 0.4, 1, 3, 30, 86400)))
    def ask_for_rest(self, for_s: float) -> None:
        """Reject a request and ask for a back-off."""
        self.side.rest(for_s)


class LeavingMachine(SendMachine):
    """The same, with a runner that drains."""

    @rule()
    def leave(self) -> None:
        """Report draining."""
        self.side.leave()


class WordsMachine(RestMachine, LeavingMachine):
    """A runner that asks for back-offs and drains."""


class BeliefTest(TestCase):
    """The known status, checked against the bounds."""

    def test_any_order(self) -> None:
        """Guards against orders of status headers and requests that break a bound."""
        for machine in (RestMachine, LeavingMachine, WordsMachine):
            with self.subTest(machine=machine):
                _run(machine)

    def test_gets_longer_only(self) -> None:
        """Guards against a back-off that a later answer shortens."""
        status = Belief()
        self.assertTrue(status.rest(3, 0))
        self.assertFalse(status.rest(1, 1))
        self.assertEqual(status.rest_left_s(1), 2)
        self.assertTrue(status.rest(5, 2))
        self.assertEqual(status.rest_left_s(2), 5)

    def test_room_grows_after_a_rest(self) -> None:
        """Guards against a burst of all waiting requests at the end of a back-off."""
        status = Belief()
        status.rest(1, 0)
        self.assertEqual(status.room(0.999), 0)
        self.assertEqual(status.room(1), FIRST_AFTER_REST)
        self.assertEqual(status.room(1 + 2.5 * DOUBLING_S), 4 * FIRST_AFTER_REST)
        self.assertEqual(status.room(1 + (DOUBLINGS + 1) * DOUBLING_S), math.inf)

    def test_room_without_a_rest(self) -> None:
        """Guards against a runner that gets no requests here because it asked a peer to back off."""
        status = Belief()
        status.hint(1, 0)
        self.assertEqual(status.room(0.5), math.inf)

    def test_word_again_is_no_news(self) -> None:
        """Guards against a log line, and an update to all peers, for each answer of a draining runner."""
        status = Belief()
        self.assertEqual([status.leave(), status.leave()], [True, False])


class BeliefTwinTest(TestCase):
    """Faulty variants, each without one safeguard, which must break a bound."""

    def test_twin_with_a_budget(self) -> None:
        """A back-off that does not bound the requests in flight breaks the bound."""
        with patch.object(Belief, 'room', _always_room), self.assertRaises(AssertionError):
            _run(RestMachine)

    def test_twin_that_shortens(self) -> None:
        """A later, shorter back-off replaces the longer one."""
        with patch.object(Belief, 'rest', _take_newest), self.assertRaises(AssertionError):
            _run(RestMachine)

    def test_twin_that_forgets(self) -> None:
        """Draining is not recorded."""
        with patch.object(Belief, 'leave', _forget), self.assertRaises(AssertionError):
            _run(LeavingMachine)


def _always_room(self: Belief, now: float) -> float:
    return math.inf


def _forget(self: Belief) -> bool:
    return False


def _take_newest(self: Belief, for_s: float, now: float) -> bool:
    self._rests_until = now + for_s
    return True


def _run(machine: type[RuleBasedStateMachine]) -> None:
    kept = settings(max_examples=EXAMPLES, stateful_step_count=STEPS, derandomize=True, database=None, deadline=None)
    run_state_machine_as_test(machine, settings=kept)
