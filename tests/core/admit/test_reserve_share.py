"""The shares of all instances in the reserve of the retry budget, added up."""

from __future__ import annotations

import math
from collections.abc import Collection
from random import Random
from unittest import TestCase

from sesamepoint_core.admit.reserve_share import ReserveShare
from tests.core.admit.reserve_model import WINDOW_S, ReserveModel

RESERVE = 46.4
SIZES = (1, 4, 30, 350)
CALM_S = 20.0
FAULTY_S = 90.0
CUT_S = 60.0
SEEDS = range(1, 21)
NAME = 'front-1'
OTHERS = frozenset(('front-2', 'front-3', 'front-4'))
ALL = OTHERS | {NAME}


class _FullFromTheStart(ReserveShare):
    """A faulty variant: a new process uses its share as soon as it is on the list."""

    def update(self, members: Collection[str]) -> bool:
        changed = super().update(members)
        self._past.clear()
        return changed


class _GrowsAtOnce(ReserveShare):
    """A faulty variant: only a process that has just started waits for its share."""

    def share(self, reserve: float, service: str) -> float:
        waits = any(view.rank is None for view in self._past) and super().share(reserve, service) == 0
        return 0 if waits or not self.current else self._view.share(reserve, service)


class _ListValidForEver(ReserveShare):
    """A faulty variant: an instance that can't read the list goes on with the old one."""

    @property
    def current(self) -> bool:
        return True


def _most_spent_cut_off(variant: type[ReserveShare]) -> int:
    model = ReserveModel(Random(1), 4, RESERVE, variant)
    model.run(CALM_S, faults=False)
    model.cut_off('front-0', CUT_S)
    model.run(CUT_S, faults=False)
    return model.most_in_window()


def _most_spent(seed: int, instances: int, variant: type[ReserveShare] = ReserveShare) -> int:
    model = ReserveModel(Random(seed), instances, RESERVE, variant)
    model.run(CALM_S, faults=False)
    model.run(FAULTY_S, faults=True)
    return model.most_in_window()


class SumTest(TestCase):
    """What all instances spend in a window, whatever happens to them."""

    def test_sum_kept_under_faults(self) -> None:
        """Guards against a reserve that is spent twice by restarts, cuts, freezes or a store that goes back."""
        for seed in SEEDS:
            for instances in (1, 4, 9):
                with self.subTest(seed=seed, instances=instances):
                    self.assertLessEqual(_most_spent(seed, instances), RESERVE)

    def test_sum_usable_at_each_size(self) -> None:
        """Guards against shares below one send, which no instance can use."""
        for instances in SIZES:
            model = ReserveModel(Random(1), instances, RESERVE)
            model.run(CALM_S + WINDOW_S, faults=False)
            with self.subTest(instances=instances):
                self.assertEqual(model.most_in_window(), math.floor(RESERVE))

    def test_faulty_variant_full_from_the_start(self) -> None:
        """The model finds a reserve that each new process uses at once."""
        self.assertGreater(max(_most_spent(seed, 4, _FullFromTheStart) for seed in SEEDS), RESERVE)

    def test_faulty_variant_grows_at_once(self) -> None:
        """The model finds shares that grow as soon as another instance leaves."""
        self.assertGreater(max(_most_spent(seed, 4, _GrowsAtOnce) for seed in SEEDS), RESERVE)

    def test_faulty_variant_list_valid_for_ever(self) -> None:
        """The model finds an instance that uses its share by a list that it can't read any more."""
        self.assertGreater(_most_spent_cut_off(_ListValidForEver), RESERVE)

    def test_sum_kept_one_cut_off(self) -> None:
        """Guards against an instance that is cut off and declared dead, and goes on to use its share."""
        self.assertLessEqual(_most_spent_cut_off(ReserveShare), RESERVE)


class ShareTest(TestCase):
    """The share of one instance."""

    def setUp(self) -> None:
        """Start an instance that has just read a list of four."""
        self.now = 50.0
        self.share = ReserveShare(NAME, WINDOW_S, lambda: self.now)
        self.share.replace_all(ALL)
        self.share.confirm(by_store=True)

    def test_share_of_new_process(self) -> None:
        """Guards against a new process that spends what the one before it has spent already."""
        self._pass_time(WINDOW_S + 3.5)
        self.assertEqual(self.share.share(RESERVE, 'web'), 0)
        self._pass_time(1)
        self.assertGreaterEqual(self.share.share(RESERVE, 'web'), RESERVE / 4)

    def test_share_after_withdrawal(self) -> None:
        """Guards against a share that grows while the sends of an instance that has left are in the window."""
        self._pass_time(20)
        before = self.share.share(RESERVE, 'web')
        self.share.update({NAME, 'front-2'})
        self._pass_time(WINDOW_S)
        self.assertEqual(self.share.share(RESERVE, 'web'), before)
        self._pass_time(4.5)
        self.assertGreaterEqual(self.share.share(RESERVE, 'web'), RESERVE / 2)

    def test_share_without_current_list(self) -> None:
        """Guards against an instance that is cut off and goes by an old list."""
        self._pass_time(20)
        self.now += 4.1
        self.assertEqual(self.share.share(RESERVE, 'web'), 0)

    def test_share_after_held_back_messages(self) -> None:
        """Guards against messages from before a freeze that seem to show that the list is current."""
        self._pass_time(20)
        self.now += 5
        self.assertFalse(self.share.confirm(by_store=False))
        self.assertEqual(self.share.share(RESERVE, 'web'), 0)
        self.assertTrue(self.share.confirm(by_store=True))
        self.assertGreater(self.share.share(RESERVE, 'web'), 0)

    def test_share_after_missed_changes(self) -> None:
        """Guards against changes of the list that came and went while it could not be read."""
        self._pass_time(20)
        self.now += 5
        self.share.replace_all(ALL)
        self.share.confirm(by_store=True)
        self.assertEqual(self.share.share(RESERVE, 'web'), 0)

    def test_share_unlisted(self) -> None:
        """Guards against an instance that takes a share while the others don't know of it."""
        self._pass_time(20)
        self.share.update(OTHERS)
        self.assertEqual(self.share.share(RESERVE, 'web'), 0)

    def _pass_time(self, span_s: float) -> None:
        """Let time pass in which the list is confirmed again and again."""
        end = self.now + span_s
        while self.now < end:
            self.now = min(self.now + 1, end)
            self.share.confirm(by_store=False)
