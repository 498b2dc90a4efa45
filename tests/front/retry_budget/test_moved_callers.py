"""The retry budget of all instances together, while callers move among them and runners fail."""

from __future__ import annotations

from unittest import TestCase

from tests.front.retry_budget.moved_callers import kill_all, move_callers, run_moves
from tests.virtual_time import in_virtual_time

SEED = 1


class MovedCallersTest(TestCase):
    """Repeats in the worst window, where failures begin before callers move."""

    @in_virtual_time
    async def test_repeats_callers_move(self) -> None:
        """Guards against repeats that are paid by requests before a move, then by those after it elsewhere."""
        windows = [await run_moves(SEED, disturb) for disturb in (move_callers, kill_all)]
        self.assertEqual([window for window in windows if window.excess > 0], [])
