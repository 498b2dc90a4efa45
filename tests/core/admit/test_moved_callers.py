"""What all instances spend in a window while their callers move."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

from sesamepoint_core.admit import window_budget
from tests.core.admit.earning_model import EarningModel, Load, SlidingEarnings

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.core.admit.earning_model import Budget
    from tests.front.retry_budget.repeat_oracle import WorstWindow

SEEDS = range(1, 13)
LOADS = (Load(1, 120), Load(5, 20), Load(5, 120), Load(30, 240))
FEW_SEEDS = range(1, 7)
HEAVY_LOAD = Load(5, 240)
# Share of the budget that is usable when a whole service fails and no caller moves.
USABLE_SHARE = 0.9


def _worst(seed: int, load: Load, new_budget: Callable[..., Budget] = window_budget.WindowBudget) -> WorstWindow:
    return EarningModel(Random(seed), load, new_budget).run(disturbed=True)


def _exceeds(new_budget: Callable[..., Budget]) -> bool:
    """Tell whether any seed exceeds the bound by more than a few sends."""
    return any(_worst(seed, HEAVY_LOAD, new_budget).excess > len(FEW_SEEDS) for seed in FEW_SEEDS)


class _TwiceEarned(window_budget.WindowBudget):
    """A faulty variant: each request pays in full for itself, and its credit lasts for a window."""

    def earn(self) -> None:
        super().earn()
        self._slices[-1].credit += self._credit


class _HeldAtOnce(window_budget.WindowBudget):
    """A faulty variant: what is held counts as soon as it is earned."""

    def _least_requests(self, number: int) -> int:
        return sum(
            each.requests for each in self._slices if number - window_budget.WINDOW_SLICES <= each.number < number
        )


class _CreditWithoutEnd(window_budget.WindowBudget):
    """A faulty variant: credit that was not used stays for as long as slices are kept."""

    def spend(self) -> window_budget.Payment | None:
        with patch.object(window_budget, 'CREDIT_SLICES', window_budget.KEPT_SLICES):
            return super().spend()


class MovedCallersTest(TestCase):
    """The bound on all instances together, without any margin."""

    def test_sum_kept_while_callers_move(self) -> None:
        """Guards against repeats that are paid by requests before a move, then by those after it elsewhere."""
        for load in LOADS:
            for seed in SEEDS:
                with self.subTest(load=load, seed=seed):
                    window = _worst(seed, load)
                    self.assertLessEqual(window.repeats, window.allowed)

    def test_sum_usable_without_moves(self) -> None:
        """Guards against a bound that is kept because the budget can't be used."""
        for load in (Load(1, 120), Load(5, 120), Load(30, 1200)):
            model = EarningModel(Random(1), load)
            window = model.run(disturbed=False)
            with self.subTest(load=load):
                self.assertLessEqual(window.repeats, window.allowed)
                self.assertGreaterEqual(model.usable_share(), USABLE_SHARE)

    def test_faulty_variant_sliding_earnings(self) -> None:
        """The model finds repeats that are paid by the last window of each instance, even with a margin of a fifth."""
        self.assertTrue(_exceeds(_sliding_with_margin))

    def test_faulty_variant_twice_earned(self) -> None:
        """The model finds credit that is worth more than half of a repeat."""
        self.assertTrue(_exceeds(_TwiceEarned))

    def test_faulty_variant_held_at_once(self) -> None:
        """The model finds held credit that counts for callers who have just come."""
        self.assertTrue(_exceeds(_HeldAtOnce))

    def test_faulty_variant_credit_without_end(self) -> None:
        """The model finds credit that is used later than a window after its request."""
        self.assertTrue(_exceeds(partial(_CreditWithoutEnd, credit_share=1)))


def _sliding_with_margin(ratio: float, reserve: float, window_s: float, clock: Callable[[], float]) -> SlidingEarnings:
    return SlidingEarnings(0.8 * ratio, reserve, window_s, clock)
