"""The limit of a runner, kept by instances together.

Users count what the runner gets in any 4 s, from all instances: one and a half times
its limit, and five more. Each twin lacks one safeguard, and breaks that.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from sesamepoint_core.runner_limit import sharing
from sesamepoint_core.runner_limit.giver import Giver
from sesamepoint_core.runner_limit.lender import Lender
from sesamepoint_core.runner_limit.pacer import Pacer
from sesamepoint_standins.platform.limit_bound import KNOWN_S
from sesamepoint_standins.platform.limit_world import LimitWorld
from tests.core.runner_limit.faults import LimitFaults

if TYPE_CHECKING:
    from sesamepoint_core.runner_limit.words import Ask

LIMIT = 6.8
USED = 0.9
# Permits that may be kept at the beginning of a count, and used in it.
SPARE = 7
# Those that exceeded the bound while the sharing was built.
BROKEN_SEEDS = (4, 8, 14, 35, 56, 80, 85, 130, 186, 190, 199, 243, 396)
SEEDS = (*range(1, 4), *BROKEN_SEEDS)


def calm_world(instances: int, load: float, limit: float = LIMIT, seed: int = 1) -> LimitWorld:
    """Return a world after its first 5 s, with an even load."""
    world = LimitWorld(seed)
    for number in range(instances):
        world.add(f'front-{number}', load / instances)
    world.name_limit(limit)
    world.run(5)
    return world


class BoundTest(TestCase):
    """What a runner gets at most."""

    def test_random_faults(self) -> None:
        """Guards against more than the bound under kills, freezes, cuts, lost and late words and new limits."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(LimitFaults(seed).play(), 0)

    def test_each_cut_off_from_all(self) -> None:
        """Guards against instances that each take all of the limit while they don't hear each other."""
        self.assertLessEqual(_each_alone(), 0)

    def test_wakes_with_old_asks(self) -> None:
        """Guards against an instance that wakes and takes shares for lent that are in use again."""
        self.assertLessEqual(_woken(), 0)

    def test_all_have_a_request_at_once(self) -> None:
        """Guards against permits that hundreds of instances have kept and use at the same moment."""
        self.assertLessEqual(_all_at_once(), 0)

    def test_all_start_again(self) -> None:
        """Guards against a burst of instances that have just started and know nothing."""
        world = calm_world(20, 400)
        for name in world.instances:
            world.kill(name, 0.5)
        world.run(6)
        self.assertLessEqual(world.excess(KNOWN_S), 0)

    def test_lowered(self) -> None:
        """Guards against permits of a higher limit that are used after it was lowered."""
        self.assertLessEqual(_lowered(), 0)

    def test_zero(self) -> None:
        """Guards against requests to a runner that takes none."""
        world = calm_world(5, 60)
        world.name_limit(0)
        world.run(1)
        since = world.now
        world.run(8)
        self.assertEqual([arrival for arrival in world.arrivals if arrival.at > since], [])


class UseTest(TestCase):
    """How much of the limit is taken under enough demand."""

    def test_even_demand(self) -> None:
        """Guards against a limit that is left unused while all instances have requests."""
        for instances in (1, 5, 31):
            with self.subTest(instances=instances):
                self._check(calm_world(instances, 60))

    def test_hundreds_of_instances(self) -> None:
        """Guards against a limit cut into parts so small that nobody has a permit when it has a request."""
        self._check(calm_world(350, 100))

    def test_one_has_all_demand(self) -> None:
        """Guards against shares that stay with instances that have no requests."""
        for instances in (5, 100):
            world = calm_world(instances, 0)
            world.instances['front-3'].rate = 60
            with self.subTest(instances=instances):
                self._check(world)

    def test_demand_moves(self) -> None:
        """Guards against shares that follow too late when the requests come elsewhere."""
        world = calm_world(5, 0)
        since = world.now
        for step in range(10):
            for number in range(5):
                world.instances[f'front-{number}'].rate = 60 if number == step % 5 else 0
            world.run(2)
        self.assertGreaterEqual(world.taken(since), USED)

    def test_who_hands_out_is_killed(self) -> None:
        """Guards against a limit that nobody uses, since the one that hands out is gone: at most two leases of dip."""
        world = calm_world(5, 60)
        for name in tuple(world.instances):
            world.kill(name, 60)
            since = world.now
            world.run(3)
            self.assertLessEqual(world.excess(KNOWN_S), 0)
            self.assertGreater(world.taken(since), 0)
            world.instances[name].start_again()
            world.run(6)
        self._check(world)

    def _check(self, world: LimitWorld) -> None:
        world.run(2)
        since = world.now
        world.run(8)
        self.assertGreaterEqual(world.taken(since), USED)
        self.assertLessEqual(world.taken(since), 1 + SPARE / (LIMIT * 8))
        self.assertLessEqual(world.excess(KNOWN_S), 0)


class TwinTest(TestCase):
    """Each without one safeguard."""

    def test_twin_that_hands_out_what_is_not_lent(self) -> None:
        """Without lending each that is cut off has all of the limit."""

        def all_lent(giver: Giver, members: frozenset[str], now: float) -> int:
            return len(members) - 1

        with patch.object(Giver, 'lent', all_lent):
            self.assertGreater(_each_alone(), 0)

    def test_twin_that_dates_leases_by_arrival(self) -> None:
        """Without stamps whoever wakes counts on asks that lay there while it was frozen."""
        heard = Giver.heard

        def from_arrival(giver: Giver, name: str, ask: Ask, instances: int, now: float) -> None:
            lends = giver.stamp(now) if ask.lends else None
            heard(giver, name, ask._replace(lends=lends), instances, now)

        with patch.object(Giver, 'heard', from_arrival):
            self.assertGreater(_woken(), 0)

    def test_twin_that_keeps_permits(self) -> None:
        """Without an end of what is kept all instances use what they have at the same moment."""
        pace = Pacer.pace

        def for_ever(pacer: Pacer, rate: float, keep_s: float, now: float) -> None:
            pace(pacer, rate, math.inf, now)

        with patch.object(Pacer, 'pace', for_ever):
            self.assertGreater(_all_at_once(), 0)

    def test_twin_that_uses_what_it_lends(self) -> None:
        """Without the lease the share is in use at both ends."""
        with patch.object(Lender, 'lent', lambda lender, now: False):
            self.assertGreater(_shares_in_use(), 1)
        self.assertLessEqual(_shares_in_use(), 1)

    def test_twin_that_uses_old_permits(self) -> None:
        """Without dropping them, and telling all, permits of the higher limit go on being used."""
        with patch.object(sharing, 'LOWERED', 0):
            self.assertGreater(_lowered(), 0)


class LimitMachine(RuleBasedStateMachine):
    """Kills, freezes, cuts, lost and late words, limits and instances that come, in any order."""

    @initialize(size=st.integers(1, 6), seed=st.integers(0, 1000))
    def begin(self, size: int, seed: int) -> None:
        """Start with a limit that all have heard of."""
        self.world = calm_world(size, 60, seed=seed)

    @rule(which=st.integers(0, 9), back_s=st.floats(0.2, 5))
    def kill(self, which: int, back_s: float) -> None:
        """Kill one, which starts again."""
        self.world.kill(self._name(which), back_s)

    @rule(which=st.integers(0, 9), for_s=st.floats(0.1, 8))
    def freeze(self, which: int, for_s: float) -> None:
        """Freeze one."""
        self.world.freeze(self._name(which), for_s)

    @rule(first=st.integers(0, 9), second=st.integers(0, 9))
    def cut(self, first: int, second: int) -> None:
        """Cut one or two off from the others."""
        self.world.cut({self._name(first), self._name(second)})

    @rule()
    def heal(self) -> None:
        """End cuts."""
        self.world.network.cut = set()

    @rule(lost=st.sampled_from((0, 0.3)), late=st.sampled_from((0, 0.2)))
    def harm(self, lost: float, late: float) -> None:
        """Lose and delay words."""
        self.world.network.lost = lost
        self.world.network.late = late

    @rule(rate=st.sampled_from((0, 0.5, 6.8, 40)))
    def limit(self, rate: float) -> None:
        """Name another limit."""
        self.world.name_limit(rate)

    @rule(which=st.integers(0, 9), load=st.sampled_from((0, 10, 100)))
    def shift(self, which: int, load: float) -> None:
        """Send one more or fewer requests."""
        self.world.instances[self._name(which)].rate = load

    @rule()
    def add(self) -> None:
        """Start one more."""
        if len(self.world.instances) < 10:
            self.world.add(f'front-{len(self.world.instances)}', 10)

    @rule(for_s=st.floats(0.05, 5))
    def wait(self, for_s: float) -> None:
        """Let time pass."""
        self.world.run(for_s)

    @invariant()
    def kept(self) -> None:
        """What users count is kept."""
        if hasattr(self, 'world'):
            assert self.world.excess(KNOWN_S) <= 0

    def _name(self, which: int) -> str:
        return list(self.world.instances)[which % len(self.world.instances)]


class StatefulTest(TestCase):
    """The bound, whatever befalls in any order."""

    def test_any_order(self) -> None:
        """Guards against an order of faults, limits and demands in which the bound is broken."""
        kept = settings(max_examples=25, stateful_step_count=25, derandomize=True, deadline=None)
        run_state_machine_as_test(LimitMachine, settings=kept)


def _each_alone() -> float:
    """Return the excess when no instance hears any other."""
    world = calm_world(5, 150)
    names = list(world.instances)
    world.network.cut = {frozenset((one, other)) for one in names for other in names if one != other}
    world.run(12)
    return world.excess(KNOWN_S)


def _woken() -> float:
    """Return the shares in use, less one, when who hands out wakes while the others use their shares again."""
    world = calm_world(5, 150)
    worst: float = 0
    for name in world.instances:
        world.freeze(name, 4)
        world.run(3.9)
        for _ in range(40):
            world.run(0.02)
            worst = max(worst, _in_use(world))
        world.run(5)
    return worst - 1


def _all_at_once() -> float:
    """Return the excess when all of 200 that are cut off get a request after a long silence."""
    world = calm_world(200, 400, limit=20)
    for instance in world.instances.values():
        instance.rate = 0
    names = list(world.instances)
    world.network.cut = {frozenset((one, other)) for one in names for other in names if one != other}
    world.run(40)
    for instance in world.instances.values():
        instance.request()
    world.run(2)
    return world.excess(KNOWN_S)


def _lowered() -> float:
    """Return the excess when a limit falls while most instances have a permit and few requests."""
    world = calm_world(100, 90, limit=100)
    world.name_limit(0.5)
    world.run(10)
    return world.excess(KNOWN_S)


def _shares_in_use() -> float:
    """Return the most shares of the limit that were in use at a time, in a calm world."""
    world = calm_world(5, 150)
    worst: float = 0
    for _ in range(100):
        world.run(0.05)
        worst = max(worst, _in_use(world))
    return worst


def _in_use(world: LimitWorld) -> float:
    """Return the part of the limit that all instances together go by now."""
    ways = [(one.way, one.now()) for one in world.instances.values() if one.up and one.frozen_until <= world.now]
    shares = [way._shares(now) / len(way._members) for way, now in ways if isinstance(way, sharing.Sharing)]
    return round(sum(shares), 6)
