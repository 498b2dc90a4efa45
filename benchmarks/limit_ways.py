"""Comparison of strategies that share a runner's rate limit between instances.

All strategies get the same demand, faults and seeds.

Run: python -m benchmarks.limit_ways [SEEDS]
"""

from __future__ import annotations

import math
import sys
from itertools import repeat
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple

from sesamepoint_core.runner_limit.known_limit import KnownLimit
from sesamepoint_core.runner_limit.messages import AddressedMessage, LimitUpdate, PermitGrant, PermitRequest
from sesamepoint_core.runner_limit.shared_limit import Demand, SharedLimit
from sesamepoint_core.runner_limit.stamp import Stamp
from sesamepoint_core.runner_limit.token_bucket import TokenBucket
from sesamepoint_standins.platform.limit_simulation import LimitSimulation

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_standins.platform.limit_simulation import StrategyFactory

LIMIT = 6.8
PERMIT_KEEP_S = 1.0
ANNOUNCE_INTERVAL_S = 0.5
INTERVAL_SCALE_INSTANCES = 100
WARMUP_S = 5.0
SETTLE_S = 5.0
MEASURED_S = 20.0
# How long a send counts at the instances that it was announced to.
SEND_WINDOW_S = 1.0
PEER_TTL_S = 2.0
DEPLOYMENTS = (('4', 4, 60), ('5', 5, 60), ('31', 31, 60), ('68', 68, 120), ('350', 350, 200))


class _BaseStrategy:
    """Base of the simple strategies: broadcasts the known limit and issues permits at this instance's share of it."""

    def __init__(self, name: str, runner: str, incarnation: int, share_usable_from: float, phase: float) -> None:
        self.known = KnownLimit(incarnation)
        self._name = name
        self._incarnation = incarnation
        self._members: tuple[str, ...] = (name,)
        self._bucket = TokenBucket(phase)
        self._announced_at = -math.inf
        self._demand = Demand(0)

    def update_members(self, others: Iterable[str]) -> None:
        self._members = (self._name, *others)

    def update_demand(self, demand: Demand) -> None:
        self._demand = demand

    def available(self, now: float) -> int:
        self._update_rate(now)
        return self._bucket.available(now)

    def take(self, now: float) -> bool:
        if not self.available(now):
            return False
        self._bucket.take()
        return True

    def on_message(self, sender: str, message: PermitRequest | PermitGrant, now: float) -> bool:
        return message.limit is not None and self.known.on_peer_update(message.limit.to_reported(now))

    def step(self, now: float) -> list[AddressedMessage]:
        self._update_rate(now)
        if self.known.reported is None or now < self._next_announcement_at():
            return []
        self._announced_at = now
        return self._broadcast(0, now)

    def next_at(self, now: float) -> float:
        return max(min(self._next_announcement_at(), self._bucket.next_at()), now)

    def _own_share(self, now: float) -> float:
        return 1 / len(self._members)

    def _update_rate(self, now: float) -> None:
        limit = self.known.allowed_rate(now) or 0
        self._bucket.update_rate(limit * self._own_share(now), PERMIT_KEEP_S if limit else 0, now)

    def _next_announcement_at(self) -> float:
        return self._announced_at + ANNOUNCE_INTERVAL_S * max(1, len(self._members) / INTERVAL_SCALE_INSTANCES)

    def _broadcast(self, permits: int, now: float) -> list[AddressedMessage]:
        told = LimitUpdate.of(self.known.reported, now) if self.known.reported else None
        word = PermitGrant(0, Stamp(self._incarnation, now), permits, 0, told)
        return [AddressedMessage(name, word) for name in self._members[1:]]


class EqualShares(_BaseStrategy):
    """Gives each instance an equal share, whether it has requests or not."""


class SharesByDemand(_BaseStrategy):
    """Gives each instance a share in proportion to its recent demand, which it broadcasts."""

    def __init__(self, name: str, runner: str, incarnation: int, share_usable_from: float, phase: float) -> None:
        super().__init__(name, runner, incarnation, share_usable_from, phase)
        self._wanted: float = 0
        self._requested_at: float = 0
        self._peer_demands: dict[str, tuple[float, float]] = {}

    def update_demand(self, demand: Demand) -> None:
        super().update_demand(demand)
        self._wanted = 0.9 * self._wanted + 0.1 * demand.permits

    def on_message(self, sender: str, message: PermitRequest | PermitGrant, now: float) -> bool:
        if isinstance(message, PermitGrant):
            self._peer_demands[sender] = (message.permits / 1000, now)
        return super().on_message(sender, message, now)

    def step(self, now: float) -> list[AddressedMessage]:
        self._update_rate(now)
        if self.known.reported is None or now < self._next_announcement_at():
            return []
        self._announced_at = now
        return self._broadcast(round(self._wanted * 1000), now)

    def _own_share(self, now: float) -> float:
        fresh_s = 3 * ANNOUNCE_INTERVAL_S * max(1, len(self._members) / INTERVAL_SCALE_INSTANCES)
        others = sum(wanted for wanted, at in self._peer_demands.values() if now - at < fresh_s)
        return self._wanted / (self._wanted + others) if self._wanted else 0


class BroadcastSends(_BaseStrategy):
    """Broadcasts each send; an instance sends while all sends of the last second are below the limit."""

    def __init__(self, name: str, runner: str, incarnation: int, share_usable_from: float, phase: float) -> None:
        super().__init__(name, runner, incarnation, share_usable_from, phase)
        self._sends: list[float] = []
        self._unannounced = 0
        self._received_at: dict[str, float] = {}

    def available(self, now: float) -> int:
        limit = self.known.allowed_rate(now) or 0
        heard = 1 + sum(
            now - at < PEER_TTL_S * max(1, len(self._members) / INTERVAL_SCALE_INSTANCES)
            for at in self._received_at.values()
        )
        self._sends = [at for at in self._sends if now - at < SEND_WINDOW_S]
        return int(limit * min(heard / len(self._members), 1) * SEND_WINDOW_S - len(self._sends))

    def take(self, now: float) -> bool:
        if self.available(now) < 1:
            return False
        self._sends.append(now)
        self._unannounced += 1
        return True

    def on_message(self, sender: str, message: PermitRequest | PermitGrant, now: float) -> bool:
        self._received_at[sender] = now
        if isinstance(message, PermitGrant):
            self._sends.extend(repeat(now, message.permits))
        return super().on_message(sender, message, now)

    def step(self, now: float) -> list[AddressedMessage]:
        if self.known.reported is None or (now < self._next_announcement_at() and not self._unannounced):
            return []
        self._announced_at = now
        untold = self._unannounced
        self._unannounced = 0
        return self._broadcast(untold, now)

    def next_at(self, now: float) -> float:
        return now if self._unannounced else max(self._next_announcement_at(), now)


STRATEGIES: MappingProxyType[str, StrategyFactory] = MappingProxyType(
    {
        'equal shares': EqualShares,
        'shares by demand': SharesByDemand,
        'all sends seen by all': BroadcastSends,
        'shares lent, permits given by one': SharedLimit,
    }
)


class Measurement(NamedTuple):
    """Measurements of one run: used share of the limit, requests over the bound, messages per second."""

    used_share: float
    max_excess: float
    messages_per_s: float


def calm(new_strategy: StrategyFactory, instances: int, load: float, seed: int) -> Measurement:
    """Run with even demand and without faults."""
    return _measure(_new_simulation(new_strategy, instances, load, seed))


def one_has_all(new_strategy: StrategyFactory, instances: int, load: float, seed: int) -> Measurement:
    """Run with 95 % of the demand at one instance."""
    world = _new_simulation(new_strategy, instances, 0, seed)
    for name, instance in world.instances.items():
        instance.rate = 0.95 * load if name == 'front-2' else 0.05 * load / instances
    return _measure(world)


def moving(new_strategy: StrategyFactory, instances: int, load: float, seed: int) -> Measurement:
    """Run with all the demand at one instance, which changes every two seconds."""
    world = _new_simulation(new_strategy, instances, 0, seed)
    world.instances['front-0'].rate = load
    world.run(SETTLE_S)
    world.network.message_count = 0
    since = world.now
    for step in range(int(MEASURED_S / 2)):
        for number, instance in enumerate(world.instances.values()):
            instance.rate = load if number == step % instances else 0
        world.run(2)
    return Measurement(world.used_share(since), world.max_excess(since), world.network.message_count / MEASURED_S)


def cut_off(new_strategy: StrategyFactory, instances: int, load: float, seed: int) -> Measurement:
    """Run with one half of the instances cut off from the other half, but not from the runner."""
    world = _new_simulation(new_strategy, instances, load, seed)
    world.partition(list(world.instances)[: instances // 2])
    return _measure(world)


def words_lost(new_strategy: StrategyFactory, instances: int, load: float, seed: int) -> Measurement:
    """Run with 30 % of the messages lost."""
    world = _new_simulation(new_strategy, instances, load, seed)
    world.network.loss_share = 0.3
    return _measure(world)


SCENARIOS = (calm, one_has_all, moving, cut_off, words_lost)


def main() -> None:
    """Print a table for each scenario."""
    seeds = range(1, int(sys.argv[1]) + 1) if len(sys.argv) > 1 else range(1, 3)
    for play in SCENARIOS:
        sys.stdout.write(
            f'\n{play.__name__}: used share of the limit, most over the bound (negative: kept), messages per second\n'
        )
        for name, new_way in STRATEGIES.items():
            cells = []
            for label, instances, load in DEPLOYMENTS:
                runs = [play(new_way, instances, load, seed) for seed in seeds]
                taken = sum(run.used_share for run in runs) / len(runs)
                excess = max(run.max_excess for run in runs)
                words = sum(run.messages_per_s for run in runs) / len(runs)
                cells.append(f'{label}: {taken:.2f} {excess:+.0f} {words:.0f}')
            sys.stdout.write(f'  {name}: {"; ".join(cells)}\n')
            sys.stdout.flush()


def _new_simulation(new_strategy: StrategyFactory, instances: int, load: float, seed: int) -> LimitSimulation:
    world = LimitSimulation(seed, new_strategy)
    for number in range(instances):
        world.add(f'front-{number}', load / instances)
    world.change_limit(LIMIT)
    world.run(WARMUP_S)
    return world


def _measure(simulation: LimitSimulation) -> Measurement:
    # Excludes the requests that were sent before any instance knew the limit.
    simulation.run(SETTLE_S)
    simulation.network.message_count = 0
    since = simulation.now
    simulation.run(MEASURED_S)
    return Measurement(
        simulation.used_share(since), simulation.max_excess(since), simulation.network.message_count / MEASURED_S
    )


if __name__ == '__main__':
    main()
