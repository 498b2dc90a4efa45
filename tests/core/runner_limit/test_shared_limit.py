"""Rate limit of a runner, shared by several instances.

The bound: in any 4 s a runner gets from all instances together at most one and a half
times its limit, and five requests more. Each faulty variant lacks one safeguard, and
breaks the bound.
"""

from __future__ import annotations

import math
from unittest import TestCase
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from sesamepoint_core.runner_limit import shared_limit
from sesamepoint_core.runner_limit.limit_owner import LimitOwner
from sesamepoint_core.runner_limit.messages import PermitGrant, PermitRequest, Rank
from sesamepoint_core.runner_limit.share_lender import CONTENTION_HOLD_S, CONTENTION_TTL_S, Demand, ShareLender
from sesamepoint_core.runner_limit.stamp import Stamp
from sesamepoint_core.runner_limit.token_bucket import TokenBucket
from sesamepoint_standins.platform.limit_bound import LIMIT_KNOWN_S
from sesamepoint_standins.platform.limit_simulation import LimitSimulation
from tests.core.runner_limit.faults import LimitFaults

LIMIT = 6.8
MIN_USE = 0.9
URGENT = Rank(0, -1)
LESS_URGENT = Rank(3, -1)
# Permits that may be kept from before a measured time span, and used in it.
MAX_KEPT_PERMITS = 7
# Seeds that exceeded the bound during development.
BROKEN_SEEDS = (4, 8, 14, 35, 56, 80, 85, 130, 186, 190, 199, 243, 396)
SEEDS = (*range(1, 4), *BROKEN_SEEDS)


def settled_simulation(instances: int, load: float, limit: float = LIMIT, seed: int = 1) -> LimitSimulation:
    """Return a simulation after its first 5 s, with an even load."""
    simulation = LimitSimulation(seed)
    for number in range(instances):
        simulation.add(f'front-{number}', load / instances)
    simulation.change_limit(limit)
    simulation.run(5)
    return simulation


class BoundTest(TestCase):
    """The bound on the requests that a runner gets."""

    def test_random_faults(self) -> None:
        """Guards against a broken bound under kills, freezes, partitions, lost and late messages and new limits."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(LimitFaults(seed).run(), 0)

    def test_each_cut_off_from_all(self) -> None:
        """Guards against instances that each use the whole limit while they can't reach each other."""
        self.assertLessEqual(_excess_without_peers(), 0)

    def test_wakes_with_old_asks(self) -> None:
        """Guards against an owner that wakes and counts expired leases, while the shares are in use elsewhere."""
        self.assertLessEqual(_excess_after_wake(), 0)

    def test_all_have_a_request_at_once(self) -> None:
        """Guards against hundreds of instances that use kept permits at the same moment."""
        self.assertLessEqual(_excess_of_simultaneous_requests(), 0)

    def test_all_start_again(self) -> None:
        """Guards against a burst from instances that have all just started without any state."""
        simulation = settled_simulation(20, 400)
        for name in simulation.instances:
            simulation.kill(name, 0.5)
        simulation.run(6)
        self.assertLessEqual(simulation.max_excess(LIMIT_KNOWN_S), 0)

    def test_lowered(self) -> None:
        """Guards against permits that are used after the limit they were granted for was lowered."""
        self.assertLessEqual(_excess_after_lowering(), 0)

    def test_zero(self) -> None:
        """Guards against requests to a runner with a limit of 0."""
        simulation = settled_simulation(5, 60)
        simulation.change_limit(0)
        simulation.run(1)
        since = simulation.now
        simulation.run(8)
        self.assertEqual([arrival for arrival in simulation.arrivals if arrival.at > since], [])


class UseTest(TestCase):
    """How much of the limit is used when there is enough demand."""

    def test_even_demand(self) -> None:
        """Guards against an unused limit while all instances have requests."""
        for instances in (1, 5, 31):
            with self.subTest(instances=instances):
                self._check(settled_simulation(instances, 60))

    def test_hundreds_of_instances(self) -> None:
        """Guards against shares so small that no instance has a permit when it has a request."""
        self._check(settled_simulation(350, 100))

    def test_one_has_all_demand(self) -> None:
        """Guards against shares that stay with instances that have no requests."""
        for instances in (5, 100):
            simulation = settled_simulation(instances, 0)
            simulation.instances['front-3'].rate = 60
            with self.subTest(instances=instances):
                self._check(simulation)

    def test_demand_moves(self) -> None:
        """Guards against shares that follow too late when the demand moves to another instance."""
        simulation = settled_simulation(5, 0)
        since = simulation.now
        for step in range(10):
            for number in range(5):
                simulation.instances[f'front-{number}'].rate = 60 if number == step % 5 else 0
            simulation.run(2)
        self.assertGreaterEqual(simulation.used_share(since), MIN_USE)

    def test_owner_is_killed(self) -> None:
        """Guards against a limit that stays unused after its owner is killed: use recovers within two leases."""
        simulation = settled_simulation(5, 60)
        for name in tuple(simulation.instances):
            simulation.kill(name, 60)
            since = simulation.now
            simulation.run(3)
            self.assertLessEqual(simulation.max_excess(LIMIT_KNOWN_S), 0)
            self.assertGreater(simulation.used_share(since), 0)
            simulation.instances[name].restart()
            simulation.run(6)
        self._check(simulation)

    def _check(self, simulation: LimitSimulation) -> None:
        simulation.run(2)
        since = simulation.now
        simulation.run(8)
        self.assertGreaterEqual(simulation.used_share(since), MIN_USE)
        self.assertLessEqual(simulation.used_share(since), 1 + MAX_KEPT_PERMITS / (LIMIT * 8))
        self.assertLessEqual(simulation.max_excess(LIMIT_KNOWN_S), 0)


class ContendersTest(TestCase):
    """The number of competing instances by which an instance expects its rate."""

    def test_grant_counts_by_priority(self) -> None:
        """Guards against urgent requests refused because less urgent ones of other instances wait for permits."""
        for urgent_permits in (0, 1):
            with self.subTest(urgent_permits=urgent_permits):
                owner = shared_limit.SharedLimit('front-1', 'i-web1', 1, 0, 0)
                owner.known.on_reported(LIMIT, 0)
                owner.update_members(['front-2', 'front-3', 'front-4'])
                owner.on_message('front-3', _permit_request(1, LESS_URGENT), 0)
                owner.on_message('front-4', _permit_request(1, LESS_URGENT), 0)
                owner.on_message('front-2', _permit_request(urgent_permits, URGENT), 0)
                sent = [one for at in range(30) for one in owner.step(at / 10) if one.recipient == 'front-2']
                grants = [one.message for one in sent if isinstance(one.message, PermitGrant)]
                self.assertEqual(sum(grant.permits for grant in grants), urgent_permits)
                answers = [grant for grant in grants if grant.requested_at]
                self.assertTrue(answers)
                self.assertEqual(max(grant.contenders for grant in answers), 1)

    def test_grant_counts_recipient(self) -> None:
        """Guards against long waits before a refusal, by a count without the instance whose demand was just met."""
        owner = LimitOwner(1, 0)
        for name in ('front-2', 'front-3'):
            owner.on_request(name, _permit_request(1, URGENT), 4, 0)
        self.assertEqual(owner.contenders('front-2', URGENT.priority), 2)
        self.assertEqual(owner.contenders('front-4', URGENT.priority), 3)

    def test_grant_for_earlier_demand(self) -> None:
        """Guards against a count for less urgent requests that is taken for one for urgent requests."""
        lender = ShareLender('front-2', 'i-web1')
        lender.choose_owner(('front-1',), 10)
        lender.next_request(Demand(1, LESS_URGENT), None, 5, 10)
        lender.next_request(Demand(1, URGENT), None, 5, 10.1)
        lender.on_grant('front-1', PermitGrant(10, Stamp(1, 0), 0, 4, None), 5, 10.2)
        self.assertEqual(lender.contenders(URGENT.priority, 10.2), 1)

    def test_count_fades(self) -> None:
        """Guards against 2 s of refused urgent requests after a short burst, as no newer count comes meanwhile."""
        lender = ShareLender('front-2', 'i-web1')
        lender.choose_owner(('front-1',), 10)
        lender.next_request(Demand(1, URGENT), None, 5, 10)
        lender.on_grant('front-1', PermitGrant(10, Stamp(1, 0), 0, 3, None), 5, 10)
        self.assertEqual(lender.contenders(URGENT.priority, 10 + CONTENTION_HOLD_S), 3)
        self.assertEqual(lender.contenders(URGENT.priority, 10 + (CONTENTION_HOLD_S + CONTENTION_TTL_S) / 2), 2)
        self.assertEqual(lender.contenders(URGENT.priority, 10 + CONTENTION_TTL_S), 1)


class FaultyVariantTest(TestCase):
    """Faulty variants, each without one safeguard, which must break the bound."""

    def test_without_leases(self) -> None:
        """Without leases each disconnected instance uses the whole limit."""

        def all_lent(owner: LimitOwner, members: frozenset[str], now: float) -> int:
            return len(members) - 1

        with patch.object(LimitOwner, 'leased_shares', all_lent):
            self.assertGreater(_excess_without_peers(), 0)

    def test_leases_from_arrival(self) -> None:
        """Without stamps an owner that wakes counts leases from requests that arrived while it was frozen."""
        on_request = LimitOwner.on_request

        def from_arrival(owner: LimitOwner, name: str, request: PermitRequest, instances: int, now: float) -> None:
            leased_from = owner.stamp(now) if request.leased_from else None
            on_request(owner, name, request._replace(leased_from=leased_from), instances, now)

        with patch.object(LimitOwner, 'on_request', from_arrival):
            self.assertGreater(_excess_after_wake(), 0)

    def test_without_permit_expiry(self) -> None:
        """Without a bound on their age all instances use their kept permits at the same moment."""
        update_rate = TokenBucket.update_rate

        def for_ever(bucket: TokenBucket, rate: float, max_age_s: float, now: float) -> None:
            update_rate(bucket, rate, math.inf, now)

        with patch.object(TokenBucket, 'update_rate', for_ever):
            self.assertGreater(_excess_of_simultaneous_requests(), 0)

    def test_uses_leased_share(self) -> None:
        """A lender that ignores its lease uses the share while the owner does too."""
        with patch.object(ShareLender, 'is_leased', lambda lender, now: False):
            self.assertGreater(_max_shares_in_use(), 1)
        self.assertLessEqual(_max_shares_in_use(), 1)

    def test_without_dropping_on_lowered_limit(self) -> None:
        """Unless a lowered limit is announced and permits are dropped, permits of the higher limit are still used."""
        with patch.object(shared_limit, 'LOWERED_RATIO', 0):
            self.assertGreater(_excess_after_lowering(), 0)


class LimitMachine(RuleBasedStateMachine):
    """Kills, freezes, partitions, lost and late messages, new limits and new instances, in any order."""

    @initialize(size=st.integers(1, 6), seed=st.integers(0, 1000))
    def begin(self, size: int, seed: int) -> None:
        """Start with a limit that all instances know."""
        self.world = settled_simulation(size, 60, seed=seed)

    @rule(which=st.integers(0, 9), back_s=st.floats(0.2, 5))
    def kill(self, which: int, back_s: float) -> None:
        """Kill an instance, which restarts after ``back_s`` seconds."""
        self.world.kill(self._name(which), back_s)

    @rule(which=st.integers(0, 9), for_s=st.floats(0.1, 8))
    def freeze(self, which: int, for_s: float) -> None:
        """Freeze an instance."""
        self.world.freeze(self._name(which), for_s)

    @rule(first=st.integers(0, 9), second=st.integers(0, 9))
    def cut(self, first: int, second: int) -> None:
        """Disconnect one or two instances from the others."""
        self.world.partition({self._name(first), self._name(second)})

    @rule()
    def heal(self) -> None:
        """Reconnect all instances."""
        self.world.network.cut_pairs = set()

    @rule(lost=st.sampled_from((0, 0.3)), late=st.sampled_from((0, 0.2)))
    def harm(self, lost: float, late: float) -> None:
        """Lose and delay messages."""
        self.world.network.loss_share = lost
        self.world.network.delayed_share = late

    @rule(rate=st.sampled_from((0, 0.5, 6.8, 40)))
    def limit(self, rate: float) -> None:
        """Report another limit."""
        self.world.change_limit(rate)

    @rule(which=st.integers(0, 9), load=st.sampled_from((0, 10, 100)))
    def shift(self, which: int, load: float) -> None:
        """Change the request rate of one instance."""
        self.world.instances[self._name(which)].rate = load

    @rule()
    def add(self) -> None:
        """Start another instance."""
        if len(self.world.instances) < 10:
            self.world.add(f'front-{len(self.world.instances)}', 10)

    @rule(for_s=st.floats(0.05, 5))
    def wait(self, for_s: float) -> None:
        """Let time pass."""
        self.world.run(for_s)

    @invariant()
    def bound_holds(self) -> None:
        """Check that the bound holds."""
        if hasattr(self, 'world'):
            assert self.world.max_excess(LIMIT_KNOWN_S) <= 0

    def _name(self, which: int) -> str:
        return list(self.world.instances)[which % len(self.world.instances)]


class StatefulTest(TestCase):
    """The bound under faults in any order."""

    def test_any_order(self) -> None:
        """Guards against orders of faults, limits and demands that break the bound."""
        kept = settings(max_examples=25, stateful_step_count=25, derandomize=True, deadline=None)
        run_state_machine_as_test(LimitMachine, settings=kept)


def _permit_request(permits: int, rank: Rank) -> PermitRequest:
    return PermitRequest(0.1, None, 1, permits, rank, 0, None)


def _excess_without_peers() -> float:
    """Return the excess over the bound when no instance can reach any other."""
    simulation = settled_simulation(5, 150)
    names = list(simulation.instances)
    simulation.network.cut_pairs = {frozenset((one, other)) for one in names for other in names if one != other}
    simulation.run(12)
    return simulation.max_excess(LIMIT_KNOWN_S)


def _excess_after_wake() -> float:
    """Return the total of the shares in use, less one, when an owner wakes while the others use their shares again."""
    simulation = settled_simulation(5, 150)
    worst: float = 0
    for name in simulation.instances:
        simulation.freeze(name, 4)
        simulation.run(3.9)
        for _ in range(40):
            simulation.run(0.02)
            worst = max(worst, _shares_in_use_now(simulation))
        simulation.run(5)
    return worst - 1


def _excess_of_simultaneous_requests() -> float:
    """Return the excess over the bound when 200 disconnected instances all get a request after a long idle time."""
    simulation = settled_simulation(200, 400, limit=20)
    for instance in simulation.instances.values():
        instance.rate = 0
    names = list(simulation.instances)
    simulation.network.cut_pairs = {frozenset((one, other)) for one in names for other in names if one != other}
    simulation.run(40)
    for instance in simulation.instances.values():
        instance.on_request()
    simulation.run(2)
    return simulation.max_excess(LIMIT_KNOWN_S)


def _excess_after_lowering() -> float:
    """Return the excess over the bound when a limit falls while most instances have a permit and few requests."""
    simulation = settled_simulation(100, 90, limit=100)
    simulation.change_limit(0.5)
    simulation.run(10)
    return simulation.max_excess(LIMIT_KNOWN_S)


def _max_shares_in_use() -> float:
    """Return the largest total of the shares in use at a time, without faults."""
    simulation = settled_simulation(5, 150)
    worst: float = 0
    for _ in range(100):
        simulation.run(0.05)
        worst = max(worst, _shares_in_use_now(simulation))
    return worst


def _shares_in_use_now(simulation: LimitSimulation) -> float:
    """Return the total of the shares that all running instances use now."""
    strategies = [
        (instance.strategy, instance.now())
        for instance in simulation.instances.values()
        if instance.up and instance.frozen_until <= simulation.now
    ]
    shares = [
        strategy._shares(now) / len(strategy._members)
        for strategy, now in strategies
        if isinstance(strategy, shared_limit.SharedLimit)
    ]
    return round(sum(shares), 6)
