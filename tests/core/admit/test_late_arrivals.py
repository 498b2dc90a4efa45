"""What arrives in a window at runners that stand still, over all instances."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any
from unittest import TestCase
from unittest.mock import patch

from sesamepoint_core.admit.window_budget import CREDIT_SLICES, WindowBudget
from sesamepoint.front.retry_budget.service_life import ServiceLife
from tests.core.admit.earning_model import BOUND
from tests.core.admit.late_arrival_model import LateArrivalModel, Life, Load

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.front.retry_budget.repeat_oracle import WorstWindow

SEEDS = range(1, 7)
LOADS = (Load(requests_per_s=60), Load(requests_per_s=120), Load(runners=8, requests_per_s=200))
MOVED_LOAD = Load(requests_per_s=120, moves=True)
# Runners stand still for longer than the window.
LONG_STALL_LOAD = Load(runners=8, requests_per_s=200, stall_s=(5.0, 25.0))
KILLED_LOAD = Load(requests_per_s=120, kills=True, ejects=True, stall_s=(5.0, 25.0))


class _BlindLife(Life):
    """A faulty variant: its requests pay for repeats whether or not a runner shows life."""

    def note_request(self) -> None:
        self._budget.earn()

    def spend(self) -> Any:
        self._life = ServiceLife(BOUND.window_s, self._model.time)
        self._life.note_life()
        return super().spend()

    def _earn(self) -> None:
        """Do nothing: it has earned already."""


class _PaidAtSend(_BlindLife):
    """A faulty variant: a repeat leaves the window a window after it was paid."""

    def spend(self) -> Any:
        payment = super().spend()
        if payment is not None:
            self._budget.settle(payment)
        return payment

    def _settle(self, payment: Any) -> None:
        """Do nothing: it is settled already."""


class _SettledBySecondSend(_BlindLife):
    """A faulty variant: a repeat counts as arrived once its second send was read, whatever becomes of the first."""

    def is_read(self, sends: list[Any]) -> bool:
        return len(sends) > 1 and bool(sends[1].shown)


class _UnbackedBudget(WindowBudget):
    """A faulty variant: credit that runs out while its send is unread is not taken from later requests."""

    def _back_again(self, number: int) -> None:
        for each in self._slices:
            if each.number <= number - CREDIT_SLICES:
                each.backing = 0


class LateArrivalsTest(TestCase):
    """The bound on arrivals, without any margin."""

    def test_sum_kept_while_runners_stand_still(self) -> None:
        """Guards against sends of one window that are read together with those of the next."""
        self._check_kept(*LOADS, MOVED_LOAD)

    def test_sum_kept_over_long_stalls(self) -> None:
        """Guards against sends that are forgotten while runners stand still for longer than the window."""
        self._check_kept(LONG_STALL_LOAD, LONG_STALL_LOAD._replace(moves=True))

    def test_faulty_variant_paid_at_send(self) -> None:
        self.assertTrue(_exceeds(_PaidAtSend))

    def test_faulty_variant_settled_by_second_send(self) -> None:
        """The model finds first sends that wait at a runner and become the repeat."""
        self.assertTrue(_exceeds(_SettledBySecondSend))

    def test_faulty_variant_unbacked(self) -> None:
        """The model finds unread sends that are forgotten as their credit runs out."""
        with patch('tests.core.admit.late_arrival_model.WindowBudget', _UnbackedBudget):
            self.assertTrue(_exceeds(_BlindLife))

    def test_sum_kept_while_instances_are_killed(self) -> None:
        """Guards against new processes that pay again for what those before have sent to runners that stand still."""
        self._check_kept(KILLED_LOAD)

    def test_faulty_variant_blind_life(self) -> None:
        self.assertTrue(_exceeds(_BlindLife, KILLED_LOAD))

    def _check_kept(self, *loads: Load) -> None:
        for load in loads:
            for seed in SEEDS:
                with self.subTest(load=load, seed=seed):
                    window = _worst(load, seed)
                    self.assertLessEqual(window.repeats, window.allowed)


def _worst(load: Load, seed: int, new_life: Callable[[LateArrivalModel], Life] = Life) -> WorstWindow:
    return LateArrivalModel(Random(seed), load, new_life).run()


def _exceeds(new_life: Callable[[LateArrivalModel], Life], load: Load = LONG_STALL_LOAD) -> bool:
    """Tell whether any seed exceeds the bound."""
    return any(_worst(load, seed, new_life).excess > 0 for seed in SEEDS)
