"""Ways to share the limit of a runner between instances, on the same demand, faults and seeds.

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
KEEP_S = 1.0
TELL_S = 0.5
FEW = 100
BEGIN_S = 5.0
SETTLE_S = 5.0
LENGTH_S = 20.0
# A send counts for so long at those that were told of it.
SEND_S = 1.0
HEARD_S = 2.0
DEPLOYMENTS = (('4', 4, 60), ('5', 5, 60), ('31', 31, 60), ('68', 68, 120), ('350', 350, 200))


class _Alone:
    """What the other ways have in common: a belief that is told to all, and permits of a pace."""

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
        return self._to_all(0, now)

    def next_at(self, now: float) -> float:
        return max(min(self._next_announcement_at(), self._bucket.next_at()), now)

    def _share(self, now: float) -> float:
        return 1 / len(self._members)

    def _update_rate(self, now: float) -> None:
        limit = self.known.allowed_rate(now) or 0
        self._bucket.update_rate(limit * self._share(now), KEEP_S if limit else 0, now)

    def _next_announcement_at(self) -> float:
        return self._announced_at + TELL_S * max(1, len(self._members) / FEW)

    def _to_all(self, permits: int, now: float) -> list[AddressedMessage]:
        told = LimitUpdate.of(self.known.reported, now) if self.known.reported else None
        word = PermitGrant(0, Stamp(self._incarnation, now), permits, 0, told)
        return [AddressedMessage(name, word) for name in self._members[1:]]


class EqualShares(_Alone):
    """Each instance has an equal part, whether it has requests or not."""


class SharesByDemand(_Alone):
    """Each instance tells all how many permits it wanted lately, and has a part by that."""

    def __init__(self, name: str, runner: str, incarnation: int, share_usable_from: float, phase: float) -> None:
        super().__init__(name, runner, incarnation, share_usable_from, phase)
        self._wanted: float = 0
        self._asked_at: float = 0
        self._others: dict[str, tuple[float, float]] = {}

    def update_demand(self, demand: Demand) -> None:
        super().update_demand(demand)
        self._wanted = 0.9 * self._wanted + 0.1 * demand.permits

    def on_message(self, sender: str, message: PermitRequest | PermitGrant, now: float) -> bool:
        if isinstance(message, PermitGrant):
            self._others[sender] = (message.permits / 1000, now)
        return super().on_message(sender, message, now)

    def step(self, now: float) -> list[AddressedMessage]:
        self._update_rate(now)
        if self.known.reported is None or now < self._next_announcement_at():
            return []
        self._announced_at = now
        return self._to_all(round(self._wanted * 1000), now)

    def _share(self, now: float) -> float:
        fresh_s = 3 * TELL_S * max(1, len(self._members) / FEW)
        others = sum(wanted for wanted, at in self._others.values() if now - at < fresh_s)
        return self._wanted / (self._wanted + others) if self._wanted else 0


class AllSendsSeen(_Alone):
    """Each instance tells all of each send, and sends if the sum of the last second has room for it."""

    def __init__(self, name: str, runner: str, incarnation: int, share_usable_from: float, phase: float) -> None:
        super().__init__(name, runner, incarnation, share_usable_from, phase)
        self._sends: list[float] = []
        self._untold = 0
        self._heard_at: dict[str, float] = {}

    def available(self, now: float) -> int:
        limit = self.known.allowed_rate(now) or 0
        heard = 1 + sum(now - at < HEARD_S * max(1, len(self._members) / FEW) for at in self._heard_at.values())
        self._sends = [at for at in self._sends if now - at < SEND_S]
        return int(limit * min(heard / len(self._members), 1) * SEND_S - len(self._sends))

    def take(self, now: float) -> bool:
        if self.available(now) < 1:
            return False
        self._sends.append(now)
        self._untold += 1
        return True

    def on_message(self, sender: str, message: PermitRequest | PermitGrant, now: float) -> bool:
        self._heard_at[sender] = now
        if isinstance(message, PermitGrant):
            self._sends.extend(repeat(now, message.permits))
        return super().on_message(sender, message, now)

    def step(self, now: float) -> list[AddressedMessage]:
        if self.known.reported is None or (now < self._next_announcement_at() and not self._untold):
            return []
        self._announced_at = now
        untold = self._untold
        self._untold = 0
        return self._to_all(untold, now)

    def next_at(self, now: float) -> float:
        return now if self._untold else max(self._next_announcement_at(), now)


WAYS: MappingProxyType[str, StrategyFactory] = MappingProxyType(
    {
        'equal shares': EqualShares,
        'shares by demand': SharesByDemand,
        'all sends seen by all': AllSendsSeen,
        'shares lent, permits given by one': SharedLimit,
    }
)


class Played(NamedTuple):
    """What became of one play: share of the limit taken, requests over the bound, words and bytes a second."""

    taken: float
    excess: float
    words: float


def calm(new_way: StrategyFactory, instances: int, load: float, seed: int) -> Played:
    """Play an even demand without faults."""
    return _count(_world(new_way, instances, load, seed))


def one_has_all(new_way: StrategyFactory, instances: int, load: float, seed: int) -> Played:
    """Play with one instance that has nearly all the demand."""
    world = _world(new_way, instances, 0, seed)
    for name, instance in world.instances.items():
        instance.rate = 0.95 * load if name == 'front-2' else 0.05 * load / instances
    return _count(world)


def moving(new_way: StrategyFactory, instances: int, load: float, seed: int) -> Played:
    """Play with all the demand at one instance, another one each two seconds."""
    world = _world(new_way, instances, 0, seed)
    world.instances['front-0'].rate = load
    world.run(SETTLE_S)
    world.network.message_count = 0
    since = world.now
    for step in range(int(LENGTH_S / 2)):
        for number, instance in enumerate(world.instances.values()):
            instance.rate = load if number == step % instances else 0
        world.run(2)
    return Played(world.used_share(since), world.max_excess(since), world.network.message_count / LENGTH_S)


def cut_off(new_way: StrategyFactory, instances: int, load: float, seed: int) -> Played:
    """Play with one half of the instances cut off from the other half, not from the runner."""
    world = _world(new_way, instances, load, seed)
    world.partition(list(world.instances)[: instances // 2])
    return _count(world)


def words_lost(new_way: StrategyFactory, instances: int, load: float, seed: int) -> Played:
    """Play with three words in ten lost."""
    world = _world(new_way, instances, load, seed)
    world.network.loss_share = 0.3
    return _count(world)


PLAYS = (calm, one_has_all, moving, cut_off, words_lost)


def main() -> None:
    """Print a table for each play."""
    seeds = range(1, int(sys.argv[1]) + 1) if len(sys.argv) > 1 else range(1, 3)
    for play in PLAYS:
        sys.stdout.write(
            f'\n{play.__name__}: taken of the limit, most over the bound (negative: kept), words a second\n'
        )
        for name, new_way in WAYS.items():
            cells = []
            for label, instances, load in DEPLOYMENTS:
                found = [play(new_way, instances, load, seed) for seed in seeds]
                taken = sum(one.taken for one in found) / len(found)
                excess = max(one.excess for one in found)
                words = sum(one.words for one in found) / len(found)
                cells.append(f'{label}: {taken:.2f} {excess:+.0f} {words:.0f}')
            sys.stdout.write(f'  {name}: {"; ".join(cells)}\n')
            sys.stdout.flush()


def _world(new_way: StrategyFactory, instances: int, load: float, seed: int) -> LimitSimulation:
    world = LimitSimulation(seed, new_way)
    for number in range(instances):
        world.add(f'front-{number}', load / instances)
    world.change_limit(LIMIT)
    world.run(BEGIN_S)
    return world


def _count(world: LimitSimulation) -> Played:
    # What all send before anybody has heard of the limit does not count.
    world.run(SETTLE_S)
    world.network.message_count = 0
    since = world.now
    world.run(LENGTH_S)
    return Played(world.used_share(since), world.max_excess(since), world.network.message_count / LENGTH_S)


if __name__ == '__main__':
    main()
