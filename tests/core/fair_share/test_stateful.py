"""Shares of several instances against a max-min oracle, under faults in any order.

The oracle sums all counted work with its decay, and finds the level by bisection. Each
faulty variant lacks one safeguard, and must differ from the oracle.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule, run_state_machine_as_test

from sesamepoint_core.fair_share import fair_shares, peer_work
from sesamepoint_core.fair_share.work import Work
from tests.core.fair_share.share_world import GROUP, SETTLE_S, TOLERANCE_S, ShareWorld, level_by_bisection

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_core.fair_share.max_min import Demand
    from sesamepoint_core.fair_share.work_report import WorkReport

# Bound here, since a faulty variant has another one.
SHORT_RATIO = fair_shares.SHORT_RATIO
ACCOUNTS = ('a', 'b', 'c', 'd')
ALL_PHASES = tuple(Phase)
INSTANCES = st.integers(0, 2)
ANY_ACCOUNT = st.sampled_from(ACCOUNTS)


class ShareMachine(RuleBasedStateMachine):
    """Requests, time, restarts, and reports that are lost, doubled and late, in any order."""

    @initialize()
    def begin(self) -> None:
        """Start three instances without work."""
        self.world = ShareWorld(3)

    @rule(
        which=INSTANCES, account=ANY_ACCOUNT, work_s=st.floats(0.05, 2), served=st.booleans(), times=st.integers(1, 4)
    )
    def request(self, which: int, account: str, work_s: float, served: bool, times: int) -> None:
        """Count requests of an account."""
        for _ in range(times):
            self.world.add_request(which, account, work_s, served=served)
        self.check(which)

    @rule(which=INSTANCES, receivers=st.sets(INSTANCES))
    def report(self, which: int, receivers: set[int]) -> None:
        """Deliver a report to some instances, the sender perhaps among them; it is lost on its way to the others."""
        sent = self.world.send(which)
        for target in sorted(receivers):
            self.world.deliver(target, sent)
            self.check(target)

    @rule(which=INSTANCES, receiver=INSTANCES)
    def hold(self, which: int, receiver: int) -> None:
        """Delay a report."""
        self.world.held.append((receiver, self.world.send(which)))

    @rule(index=st.integers(0, 9), twice=st.booleans())
    def deliver_held(self, index: int, twice: bool) -> None:
        """Deliver a delayed report, perhaps once more later."""
        if not self.world.held:
            return
        target, sent = self.world.held[index % len(self.world.held)]
        self.world.deliver(target, sent)
        if not twice:
            self.world.held.remove((target, sent))
        self.check(target)

    @rule(which=INSTANCES, receiver=INSTANCES, account=ANY_ACCOUNT, restarts=st.booleans(), late=st.booleans())
    def overtake(self, which: int, receiver: int, account: str, restarts: bool, late: bool) -> None:
        """Send two reports with a request, and perhaps a restart, in between; the first may come after the second."""
        first = self.world.send(which)
        if not late:
            self.world.deliver(receiver, first)
        if restarts:
            self.world.restart(which)
        self.world.add_request(which, account, 1, served=True)
        self.world.deliver(receiver, self.world.send(which))
        if late:
            self.world.deliver(receiver, first)
        self.check(receiver)

    @rule(which=INSTANCES)
    def restart(self, which: int) -> None:
        """Restart an instance, which forgets all."""
        self.world.restart(which)
        self.check(which)

    @rule(for_s=st.sampled_from((0.1, 1, 4, 25)))
    def wait(self, for_s: float) -> None:
        """Let time pass."""
        self.world.now += for_s
        for which, _ in enumerate(self.world.instances):
            self.check(which)

    def check(self, which: int) -> None:
        """Compare the standings of all accounts at an instance with the oracle."""
        self.world.now += SETTLE_S
        works = self.world.expected_work(which)
        capacity_s = sum(work.used_s for work in works.values())
        level_s = level_by_bisection([work.offered_s for work in works.values()], capacity_s)
        for account in ACCOUNTS:
            standing = self.world.standing(which, account)
            work = works.get(account, Work())
            assert abs(standing.used_s - work.used_s) < TOLERANCE_S
            assert abs(standing.demand_s - work.offered_s) < TOLERANCE_S
            short_s = sum(one.offered_s for one in works.values()) - SHORT_RATIO * capacity_s
            if short_s > TOLERANCE_S:
                assert abs(standing.share_s - level_s) < TOLERANCE_S
                latest_s = self.world.instances[which].shares.meter.latest_s(GROUP, account)
                margin_s = work.used_s - level_s - latest_s
                assert abs(margin_s) < TOLERANCE_S or standing.above == (margin_s > 0)
            if short_s < -TOLERANCE_S:
                assert (standing.share_s, standing.above) == (math.inf, False)


class StatefulTest(TestCase):
    """The shares of the code, and of its faulty variants."""

    def test_shares_in_any_order(self) -> None:
        """Guards against shares that differ from max-min fairness under faults in any order."""
        _run(ShareMachine, ALL_PHASES)

    def test_without_decay(self) -> None:
        """Guards against work that counts for ever."""
        self._assert_caught(Work, 'decayed', lambda work, elapsed_s: work)

    def test_without_order_of_reports(self) -> None:
        """Guards against a late report that replaces a newer one."""
        self._assert_caught(peer_work, '_supersedes', lambda report, known: True)

    def test_without_replaced_incarnation(self) -> None:
        """Guards against a late report of an incarnation that has been replaced."""

        def supersedes(report: WorkReport, known: WorkReport) -> bool:
            return report.incarnation != known.incarnation or report.number > known.number

        self._assert_caught(peer_work, '_supersedes', supersedes)

    def test_without_own_name_check(self) -> None:
        """Guards against counting work twice when an instance gets its own report."""
        self._assert_caught(
            fair_shares.FairShares, 'on_report', lambda shares, report, now: shares.peers.update(report, now)
        )

    def test_without_expiry(self) -> None:
        """Guards against the work of a dead peer that counts for ever."""
        self._assert_caught(peer_work._Latest, 'age_s', lambda latest, now: 0)

    def test_without_shortage(self) -> None:
        """Guards against shares that act although nearly all that is asked for is served."""
        self._assert_caught(fair_shares, 'SHORT_RATIO', 1)

    def test_without_redistribution(self) -> None:
        """Guards against an equal split that leaves the unused part of small shares idle."""

        def equal_split(demands: Iterable[Demand], capacity_s: float) -> float:
            found = list(demands)
            short = sum(demand.work_s for demand in found) > capacity_s
            return capacity_s / len(found) if short else math.inf

        self._assert_caught(fair_shares, 'fair_level', equal_split)

    def test_without_restart_of_numbers(self) -> None:
        """Guards against ignoring the reports of a peer after its restart."""
        self._assert_caught(peer_work, '_supersedes', lambda report, known: report.number > known.number)

    def test_without_peers(self) -> None:
        """Guards against shares that follow from the work at one instance alone."""
        self._assert_caught(peer_work.PeerWork, 'update', lambda peers, report, now: True)

    def test_without_offered_work(self) -> None:
        """Guards against shares that ignore what refused requests asked for."""
        self._assert_caught(fair_shares.FairShares, 'note_offered', lambda shares, group, account, work_s, now: None)

    def _assert_caught(self, target: object, name: str, fault: object) -> None:
        with patch.object(target, name, fault), self.assertRaises(AssertionError):
            _run(ShareMachine, (Phase.generate,))


def _run(machine: type[RuleBasedStateMachine], phases: tuple[Phase, ...]) -> None:
    """Run the machine; a faulty variant needs no shrinking."""
    kept = settings(
        max_examples=60,
        stateful_step_count=20,
        derandomize=True,
        deadline=None,
        phases=phases,
        report_multiple_bugs=False,
    )
    run_state_machine_as_test(machine, settings=kept)
