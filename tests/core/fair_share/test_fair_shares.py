"""Levels, standings and reports of the fair shares."""

from __future__ import annotations

import math
from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from sesamepoint_core.errors import UnknownNameError
from sesamepoint_core.fair_share.fair_shares import AccountStanding, FairShares
from sesamepoint_core.fair_share.max_min import Demand, fair_level
from sesamepoint_core.fair_share.methods import share_methods
from sesamepoint_core.fair_share.peer_work import EXPIRY_MEMORIES
from sesamepoint_core.fair_share.work import MEMORY_S, WorkGroup
from sesamepoint_core.fair_share.work_report import MAX_NAMED
from tests.core.fair_share.share_world import GROUP, level_by_bisection

DEMANDS = st.lists(st.floats(0.001, 100), min_size=1, max_size=30)


def flooded_shares(name: str = 'front-1') -> FairShares:
    """Return shares after a flood of one account beside two small ones, whose work was all done."""
    shares = FairShares(name, 1)
    for account, offered_s, used_s in (('large', 20, 3), ('small', 1, 1), ('tiny', 0.1, 0.1)):
        shares.note_offered(GROUP, account, offered_s, 0)
        shares.note_used(GROUP, account, used_s, 0)
        # The latest request of each account is short.
        shares.note_offered(GROUP, account, 0.01, 0)
        shares.note_used(GROUP, account, 0.01, 0)
    return shares


class FairLevelTest(TestCase):
    """Water filling."""

    @given(DEMANDS, st.floats(0, 1000))
    def test_level_by_oracle(self, demands: list[float], capacity_s: float) -> None:
        """Guards against a level that is not that of max-min fairness."""
        level_s = fair_level(map(Demand, demands), capacity_s)
        expected_s = level_by_bisection(demands, capacity_s)
        if not math.isclose(sum(demands), capacity_s, abs_tol=1e-6):
            self.assertTrue(math.isclose(level_s, expected_s, rel_tol=1e-6, abs_tol=1e-6))

    @given(DEMANDS, st.floats(0.01, 100))
    def test_work_conserved(self, demands: list[float], capacity_s: float) -> None:
        """Guards against capacity that no account gets although some want more."""
        level_s = fair_level(map(Demand, demands), capacity_s)
        given_s = sum(min(demand, level_s) for demand in demands)
        self.assertAlmostEqual(given_s, min(capacity_s, sum(demands)), places=6)

    def test_unnamed_accounts(self) -> None:
        """Guards against a sum of many small accounts that counts as one large account."""
        self.assertAlmostEqual(fair_level([Demand(10), Demand(8, 8)], 10), 2)

    def test_nothing_known(self) -> None:
        """An instance that knows nothing limits nobody."""
        self.assertEqual(fair_level([], 0), math.inf)


class StandingTest(TestCase):
    """The standing of accounts."""

    def test_flood(self) -> None:
        """Guards against small accounts that count as above their share during a flood."""
        shares = flooded_shares()
        large = shares.standing(GROUP, 'large', 0.1)
        self.assertFalse(large.above)
        shares.note_used(GROUP, 'large', 2, 1)
        shares.note_offered(GROUP, 'small', 1, 1)
        shares.note_offered(GROUP, 'large', 0.01, 1)
        self.assertTrue(shares.standing(GROUP, 'large', 1.1).above)
        self.assertFalse(shares.standing(GROUP, 'small', 1.1).above)
        self.assertFalse(shares.standing(GROUP, 'newcomer', 1.1).above)

    def test_enough_for_all(self) -> None:
        """Guards against shares that limit an account while all requests are served."""
        shares = FairShares('front-1', 1)
        for account, work_s in (('large', 50), ('small', 0.1)):
            shares.note_offered(GROUP, account, work_s, 0)
            shares.note_used(GROUP, account, work_s, 0)
        self.assertEqual(shares.standing(GROUP, 'large', 0).share_s, math.inf)
        self.assertEqual(shares.count_above(0), 0)

    def test_brief_wait(self) -> None:
        """Guards against shares that limit an account because a few requests of others wait on a calm day."""
        shares = FairShares('front-1', 1)
        for account, offered_s, used_s in (('large', 3, 3), ('small', 1, 0.5), ('tiny', 0.5, 0.4)):
            shares.note_offered(GROUP, account, offered_s, 0)
            shares.note_used(GROUP, account, used_s, 0)
            shares.note_offered(GROUP, account, 0.01, 0)
        self.assertFalse(shares.standing(GROUP, 'large', 0).above)
        self.assertEqual(shares.standing(GROUP, 'small', 0).share_s, math.inf)

    def test_room(self) -> None:
        """Guards against a retry time after which the account is still above its share."""
        shares = flooded_shares()
        shares.note_offered(GROUP, 'small', 3, 0)
        standing = shares.standing(GROUP, 'large', 0)
        self.assertGreater(standing.room_in_s, 0)
        self.assertAlmostEqual(standing.used_s * math.exp(-standing.room_in_s / MEMORY_S), standing.share_s)

    def test_known_capacity(self) -> None:
        """Guards against a flood of a service without a queue, which looks as if there were enough for all."""
        shares = FairShares('front-1', 1)
        for account, work_s in (('large', 50), ('small', 1)):
            shares.note_offered(GROUP, account, work_s, 0)
            shares.note_used(GROUP, account, work_s, 0)
            shares.note_offered(GROUP, account, 0.1, 0)
        self.assertTrue(shares.standing(GROUP, 'large', 0, capacity=3).above)
        self.assertFalse(shares.standing(GROUP, 'small', 0, capacity=3).above)

    def test_more_urgent_priority(self) -> None:
        """Guards against capacity that is divided although a more urgent priority has used it."""
        shares = FairShares('front-1', 1)
        later = WorkGroup(GROUP.service, 5)
        shares.note_used(GROUP, 'urgent', 4 * MEMORY_S, 0)
        shares.note_offered(later, 'a', 3 * MEMORY_S, 0)
        self.assertAlmostEqual(shares.standing(later, 'a', 0, capacity=5).share_s, MEMORY_S)

    def test_priorities_apart(self) -> None:
        """Guards against the work of one priority that counts against the shares of another."""
        shares = flooded_shares()
        self.assertEqual(shares.standing(WorkGroup(GROUP.service, 1), 'large', 0).used_s, 0)


class ReportTest(TestCase):
    """Reports between instances."""

    def test_bounded_rows(self) -> None:
        """Guards against reports that grow with the number of accounts, and against work that they leave out."""
        shares = FairShares('front-1', 1)
        for number in range(3100):
            shares.note_offered(GROUP, f'a{number}', 1 + number / 100, 0)
        report = shares.next_report(1, 0)
        self.assertEqual(len(report.rows), MAX_NAMED + 1)
        self.assertEqual(sum(row.accounts for row in report.rows), 3100)
        offered_s = sum(1 + each / 100 for each in range(3100))
        self.assertAlmostEqual(sum(row.work.offered_s for row in report.rows), offered_s)

    def test_flood_at_peer(self) -> None:
        """Guards against an account that is above its share over all instances but not here."""
        here = FairShares('front-1', 1)
        here.note_offered(GROUP, 'large', 0.01, 0)
        here.note_offered(GROUP, 'small', 3, 0)
        here.note_used(GROUP, 'small', 1, 0)
        self.assertFalse(here.standing(GROUP, 'large', 0).above)
        self.assertTrue(here.on_report(flooded_shares('front-2').next_report(1, 0), 0))
        self.assertTrue(here.standing(GROUP, 'large', 1).above)
        self.assertFalse(here.standing(GROUP, 'small', 1).above)

    def test_clock_set_back_before_restart(self) -> None:
        """Guards against a peer that is ignored for ever because it restarted with its clock set back."""
        here = FairShares('front-1', 1)
        here.on_report(FairShares('front-2', 9).next_report(1, 0), 0)
        restarted = FairShares('front-2', 4)
        self.assertFalse(here.on_report(restarted.next_report(1, 1), 1))
        later = 1 + 1 + EXPIRY_MEMORIES * MEMORY_S
        self.assertTrue(here.on_report(restarted.next_report(1, later), later))

    def test_peer_has_left(self) -> None:
        """Guards against the work of a peer that has left."""
        here = FairShares('front-1', 1)
        here.on_report(flooded_shares('front-2').next_report(1, 0), 0)
        here.peers.forget('front-2')
        self.assertEqual(here.standing(GROUP, 'large', 0).used_s, 0)


class MethodTest(TestCase):
    """The methods for comparison."""

    def test_methods(self) -> None:
        """Each method decides by its own figures; none of them orders accounts without shares."""
        above = AccountStanding(used_s=5, own_used_s=2, demand_s=9, share_s=1, above=True, room_in_s=3)
        decisions = {name: share_methods.get(name)(above) for name in share_methods}
        self.assertEqual(
            {name: (one.turn, one.above, one.admitted) for name, one in decisions.items()},
            {
                'admission': (0, False, False),
                'none': (0, False, True),
                'shares': (1, True, True),
                'shares-and-admission': (1, True, False),
                'virtual-time': (2, False, True),
            },
        )
        within = AccountStanding(used_s=1, own_used_s=1, demand_s=2, share_s=3)
        protected = {name for name in share_methods if share_methods.get(name)(within).protected}
        self.assertEqual(protected, {'shares', 'shares-and-admission'})

    def test_unknown_method(self) -> None:
        """Guards against a misspelt name that is taken for the default."""
        with self.assertRaises(UnknownNameError):
            share_methods.get('share')
