"""What an instance sends to a runner that leaves and rests, by what it believes.

Users count the requests that reach it from an instance later than 2 s after this one was
told that it leaves, and those between half a second after it was asked for rest and the
end of that time: none, and two.
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
    """A runner and one instance; answers take their time, and overtake each other."""

    belief: Belief = field(default_factory=Belief)
    now: float = 0
    under_way: int = 0
    sent_at: list[float] = field(default_factory=list)
    leaving_at: float = math.inf
    rests: list[tuple[float, float]] = field(default_factory=list)

    def send(self) -> bool:
        """Send a request if the beliefs let it go."""
        if self.belief.leaving or self.under_way >= self.belief.room(self.now):
            return False
        self.under_way += 1
        self.sent_at.append(self.now)
        return True

    def rest(self, for_s: float) -> None:
        """Answer a request with 503 and a time of rest."""
        self.rests.append((self.now, for_s))
        self.belief.rest(for_s, self.now)
        self.under_way = max(self.under_way - 1, 0)

    def leave(self) -> None:
        """Answer a request, and say that it leaves."""
        self.leaving_at = min(self.leaving_at, self.now)
        self.belief.leave()
        self.under_way = max(self.under_way - 1, 0)

    def broken(self) -> list[str]:
        """Return what users would count."""
        found = [f'leaving: sent at {at}' for at in self.sent_at if at > self.leaving_at + DRAIN_S]
        for asked_at, for_s in self.rests:
            sent = [at for at in self.sent_at if asked_at + REST_FROM_S < at < asked_at + for_s]
            found.extend(['rest: too many'] if len(sent) > REST_MOST else [])
        return found


class SendMachine(RuleBasedStateMachine):
    """Answers without words, sends and time, in any order."""

    @initialize()
    def begin(self) -> None:
        """Start without words."""
        self.side = Side()

    @rule()
    def answer(self) -> None:
        """Answer a request, and say nothing."""
        self.side.under_way = max(self.side.under_way - 1, 0)

    @rule(requests=st.integers(1, 30))
    def send(self, requests: int) -> None:
        """Have that many requests, all at one moment."""
        for _ in range(requests):
            self.side.send()

    @rule(for_s=st.floats(0.001, 4))
    def wait(self, for_s: float) -> None:
        """Let time pass."""
        self.side.now += for_s

    @invariant()
    def kept(self) -> None:
        """What users count is kept."""
        if hasattr(self, 'side'):
            assert not self.side.broken(), self.side.broken()


class RestMachine(SendMachine):
    """The same, and a runner that asks for rest."""

    @rule(for_s=st.sampled_from((0.001, 0.4, 1, 3, 30, 86400)))
    def ask_for_rest(self, for_s: float) -> None:
        """Turn a request away and ask for rest."""
        self.side.rest(for_s)


class LeavingMachine(SendMachine):
    """The same, and a runner that leaves."""

    @rule()
    def leave(self) -> None:
        """Say that it leaves."""
        self.side.leave()


class WordsMachine(RestMachine, LeavingMachine):
    """All of it at one runner."""


class BeliefTest(TestCase):
    """The beliefs, with the users' bounds as oracle."""

    def test_any_order(self) -> None:
        """Guards against an order of words and sends in which a runner gets what it did not want."""
        for machine in (RestMachine, LeavingMachine, WordsMachine):
            with self.subTest(machine=machine):
                _run(machine)

    def test_gets_longer_only(self) -> None:
        """Guards against a rest that a later word shortens."""
        belief = Belief()
        self.assertTrue(belief.rest(3, 0))
        self.assertFalse(belief.rest(1, 1))
        self.assertEqual(belief.rest_left_s(1), 2)
        self.assertTrue(belief.rest(5, 2))
        self.assertEqual(belief.rest_left_s(2), 5)

    def test_room_grows_after_a_rest(self) -> None:
        """Guards against all that waited, which would come at the end of a rest."""
        belief = Belief()
        belief.rest(1, 0)
        self.assertEqual(belief.room(0.999), 0)
        self.assertEqual(belief.room(1), FIRST_AFTER_REST)
        self.assertEqual(belief.room(1 + 2.5 * DOUBLING_S), 4 * FIRST_AFTER_REST)
        self.assertEqual(belief.room(1 + (DOUBLINGS + 1) * DOUBLING_S), math.inf)

    def test_room_without_a_rest(self) -> None:
        """Guards against a runner that never asked for rest, and is left out for another word of it."""
        belief = Belief()
        belief.hint(1, 0)
        self.assertEqual(belief.room(0.5), math.inf)

    def test_word_again_is_no_news(self) -> None:
        """Guards against a line, and a word to all others, for each answer of a runner that leaves."""
        belief = Belief()
        self.assertEqual([belief.leave(), belief.leave()], [True, False])


class BeliefTwinTest(TestCase):
    """Each safeguard left out breaks a bound."""

    def test_twin_with_a_budget(self) -> None:
        """A rest that ends with the next good answer, or is taken for a pause."""
        with patch.object(Belief, 'room', _always_room), self.assertRaises(AssertionError):
            _run(RestMachine)

    def test_twin_that_shortens(self) -> None:
        """A later, shorter word counts."""
        with patch.object(Belief, 'rest', _take_newest), self.assertRaises(AssertionError):
            _run(RestMachine)

    def test_twin_that_forgets(self) -> None:
        """Leaving is not kept."""
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
