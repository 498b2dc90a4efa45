"""The retry budget over a sliding window."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamepoint_core.admit.window_budget import WindowBudget

WINDOW_S = 10.0
RATIO = 0.16
# Share of one instance of 31 in a reserve of 82 extra sends.
RESERVE = 82 / 31


class Clock:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self.time = 1234.56

    def now(self) -> float:
        """Return the time."""
        return self.time


class WindowBudgetTest(TestCase):
    """Extra sends that the budget allows."""

    def setUp(self) -> None:
        """Start with a new budget."""
        self.clock = Clock()
        self.budget = WindowBudget(RATIO, RESERVE, WINDOW_S, self.clock.now)

    def test_burst_of_failures(self) -> None:
        """After ten seconds of 7.4 requests a second, 12 engines lose their answers within a second.

        The window covers all of it: 74 requests allow 11 extra sends, and the reserve
        two. With a credit bounded by the reserve alone, 3 were made.
        """
        for _ in range(74):
            self.clock.time += 1 / 7.4
            self.budget.earn()
        made = sum(self.budget.spend() for _ in range(20))
        self.assertGreaterEqual(made, 12)
        self.assertLessEqual(made, RATIO * 74 + RESERVE)

    def test_reserve_once(self) -> None:
        """The reserve is full at the start; requests without extra sends refill it, time doesn't."""
        self.assertEqual([self.budget.spend() for _ in range(4)], [True, True, False, False])
        self.clock.time += 2 * WINDOW_S
        self.assertFalse(self.budget.spend())
        for _ in range(10):
            self.budget.earn()
        self.assertTrue(self.budget.spend())

    def test_charged_beyond_budget(self) -> None:
        """Extra sends that weren't asked for count too, and leave less for others."""
        for _ in range(5):
            self.budget.charge()
        self.assertFalse(self.budget.spend())

    def test_parts_of_a_send(self) -> None:
        """Guards against earnings and a share of the reserve that are lost since each is less than one send."""
        budget = WindowBudget(RATIO, 0.6, WINDOW_S, self.clock.now)
        for _ in range(3):
            budget.earn()
        self.assertEqual([budget.spend(), budget.spend()], [True, False])

    def test_reserve_resized_again_and_again(self) -> None:
        """Guards against a reserve that is full again after each change of its size."""
        self.assertEqual([self.budget.spend() for _ in range(3)], [True, True, False])
        for reserve in (0, RESERVE, 0, RESERVE):
            self.budget.resize(reserve)
        self.clock.time += 2 * WINDOW_S
        self.assertFalse(self.budget.spend())

    def test_reserve_resized(self) -> None:
        self.budget.resize(1)
        self.assertEqual([self.budget.spend(), self.budget.spend()], [True, False])

    @given(st.integers(min_value=0, max_value=10**6))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_no_window_overspent(self, seed: int) -> None:
        """In no span of the window's length do extra sends exceed what its requests earn plus the reserve."""
        rng = Random(seed)
        clock = Clock()
        budget = WindowBudget(RATIO, RESERVE, WINDOW_S, clock.now)
        earned: list[float] = []
        spent: list[float] = []
        for _ in range(600):
            clock.time += rng.expovariate(rng.choice((0.5, 5, 50)))
            if rng.randrange(2):
                budget.earn()
                earned.append(clock.time)
            elif budget.spend():
                spent.append(clock.time)
        for end in spent:
            extra = sum(end - WINDOW_S < at <= end for at in spent)
            requests = sum(end - WINDOW_S < at <= end for at in earned)
            self.assertLessEqual(extra, RATIO * requests + RESERVE)
