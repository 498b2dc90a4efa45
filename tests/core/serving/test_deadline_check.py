"""Requests that can't meet their deadlines."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from sesamepoint_core.serving.deadline_check import WaitingRequest, late_requests


def late_in_order(waiting: list[WaitingRequest]) -> int:
    """Return how many requests are late if one engine serves them in this order."""
    elapsed_s: float = 0
    late = 0
    for turn in waiting:
        elapsed_s += turn.work_s
        late += elapsed_s > turn.due_s
    return late


class LateRequestsTest(TestCase):
    """Requests that wait for the same engines."""

    def test_none_late(self) -> None:
        self.assertEqual(late_requests([WaitingRequest(0.2, 0.1), WaitingRequest(0.1, 0.1)], 0, 1), set())

    def test_first_due_first(self) -> None:
        self.assertEqual(late_requests([WaitingRequest(0.3, 0.2), WaitingRequest(0.2, 0.2)], 0, 1), {0})

    def test_late_one_takes_no_time(self) -> None:
        """A request that can't meet its deadline must not make the next three late."""
        turns = [
            WaitingRequest(0.2, 0.3),
            WaitingRequest(0.25, 0.1),
            WaitingRequest(0.25, 0.1),
            WaitingRequest(0.35, 0.1),
        ]
        self.assertEqual(late_requests(turns, 0, 1), {0})

    def test_engine_busy(self) -> None:
        self.assertEqual(late_requests([WaitingRequest(0.2, 0.1)], 0.15, 1), {0})

    def test_engines_shared(self) -> None:
        """Two engines do in 0.1 s what takes one engine 0.2 s; requests of other instances cancel this out."""
        turns = [WaitingRequest(0.16, 0.1), WaitingRequest(0.16, 0.1)]
        self.assertEqual(late_requests(turns, 0, 0.5), set())
        self.assertEqual(len(late_requests(turns, 0, 1)), 1)

    def test_one_prefill_not_shared(self) -> None:
        """Two engines are idle, but one prompt is prefilled by only one of them."""
        self.assertEqual(late_requests([WaitingRequest(0.33, 0.45)], 0, 0.5), {0})

    def test_all_kept_are_on_time(self) -> None:
        """Two hundred random queues: requests not put back are on time, and no fewer than in order of deadlines."""
        rng = Random(1)
        for _ in range(200):
            turns = [WaitingRequest(rng.uniform(0.05, 0.8), rng.uniform(0.01, 0.4)) for _ in range(6)]
            late = late_requests(turns, 0, 1)
            kept = sorted(turn for index, turn in enumerate(turns) if index not in late)
            self.assertEqual(late_in_order(kept), 0)
            self.assertLessEqual(len(late), late_in_order(sorted(turns)))
