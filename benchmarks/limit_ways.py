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

from sesamepoint_core.runner_limit.belief import LimitBelief
from sesamepoint_core.runner_limit.pacer import Pacer
from sesamepoint_core.runner_limit.sharing import Sharing, Wish
from sesamepoint_core.runner_limit.stamp import Stamp
from sesamepoint_core.runner_limit.words import Ask, Grant, Letter, Told
from sesamepoint_standins.platform.limit_world import LimitWorld

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_standins.platform.limit_world import NewWay

LIMIT = 6.8
KEEP_S = 1.0
TELL_S = 0.5
FEW = 100
BEGIN_S = 5.0
SETTLE_S = 5.0
LENGTH_S = 20.0
# How long a send counts at the instances that it was announced to.
SEND_S = 1.0
HEARD_S = 2.0
DEPLOYMENTS = (('4', 4, 60), ('5', 5, 60), ('31', 31, 60), ('68', 68, 120), ('350', 350, 200))


class _Alone:
    """Base of the simple strategies: broadcasts the known limit and issues permits at this instance's share of it."""

    def __init__(self, name: str, runner: str, start: int, own_from: float, phase: float) -> None:
        self.belief = LimitBelief(start)
        self._name = name
        self._start = start
        self._members: tuple[str, ...] = (name,)
        self._pacer = Pacer(phase)
        self._told_at = -math.inf
        self._wish = Wish(0)

    def join(self, others: Iterable[str]) -> None:
        self._members = (self._name, *others)

    def wish(self, wish: Wish) -> None:
        self._wish = wish

    def stock(self, now: float) -> int:
        self._pace(now)
        return self._pacer.ready(now)

    def take(self, now: float) -> bool:
        if not self.stock(now):
            return False
        self._pacer.take()
        return True

    def heard(self, sender: str, word: Ask | Grant, now: float) -> bool:
        return word.told is not None and self.belief.told(word.told.word(now))

    def step(self, now: float) -> list[Letter]:
        self._pace(now)
        if self.belief.word is None or now < self._tells_at():
            return []
        self._told_at = now
        return self._to_all(0, now)

    def next_at(self, now: float) -> float:
        return max(min(self._tells_at(), self._pacer.next_at()), now)

    def _share(self, now: float) -> float:
        return 1 / len(self._members)

    def _pace(self, now: float) -> None:
        limit = self.belief.allowed(now) or 0
        self._pacer.pace(limit * self._share(now), KEEP_S if limit else 0, now)

    def _tells_at(self) -> float:
        return self._told_at + TELL_S * max(1, len(self._members) / FEW)

    def _to_all(self, permits: int, now: float) -> list[Letter]:
        told = Told.of(self.belief.word, now) if self.belief.word else None
        word = Grant(0, Stamp(self._start, now), permits, 0, told)
        return [Letter(name, word) for name in self._members[1:]]


class EqualShares(_Alone):
    """Gives each instance an equal share, whether it has requests or not."""


class SharesByDemand(_Alone):
    """Gives each instance a share in proportion to its recent demand, which it broadcasts."""

    def __init__(self, name: str, runner: str, start: int, own_from: float, phase: float) -> None:
        super().__init__(name, runner, start, own_from, phase)
        self._wanted: float = 0
        self._asked_at: float = 0
        self._others: dict[str, tuple[float, float]] = {}

    def wish(self, wish: Wish) -> None:
        super().wish(wish)
        self._wanted = 0.9 * self._wanted + 0.1 * wish.permits

    def heard(self, sender: str, word: Ask | Grant, now: float) -> bool:
        if isinstance(word, Grant):
            self._others[sender] = (word.permits / 1000, now)
        return super().heard(sender, word, now)

    def step(self, now: float) -> list[Letter]:
        self._pace(now)
        if self.belief.word is None or now < self._tells_at():
            return []
        self._told_at = now
        return self._to_all(round(self._wanted * 1000), now)

    def _share(self, now: float) -> float:
        fresh_s = 3 * TELL_S * max(1, len(self._members) / FEW)
        others = sum(wanted for wanted, at in self._others.values() if now - at < fresh_s)
        return self._wanted / (self._wanted + others) if self._wanted else 0


class AllSendsSeen(_Alone):
    """Broadcasts each send; an instance sends while all sends of the last second are below the limit."""

    def __init__(self, name: str, runner: str, start: int, own_from: float, phase: float) -> None:
        super().__init__(name, runner, start, own_from, phase)
        self._sends: list[float] = []
        self._untold = 0
        self._heard_at: dict[str, float] = {}

    def stock(self, now: float) -> int:
        limit = self.belief.allowed(now) or 0
        heard = 1 + sum(now - at < HEARD_S * max(1, len(self._members) / FEW) for at in self._heard_at.values())
        self._sends = [at for at in self._sends if now - at < SEND_S]
        return int(limit * min(heard / len(self._members), 1) * SEND_S - len(self._sends))

    def take(self, now: float) -> bool:
        if self.stock(now) < 1:
            return False
        self._sends.append(now)
        self._untold += 1
        return True

    def heard(self, sender: str, word: Ask | Grant, now: float) -> bool:
        self._heard_at[sender] = now
        if isinstance(word, Grant):
            self._sends.extend(repeat(now, word.permits))
        return super().heard(sender, word, now)

    def step(self, now: float) -> list[Letter]:
        if self.belief.word is None or (now < self._tells_at() and not self._untold):
            return []
        self._told_at = now
        untold = self._untold
        self._untold = 0
        return self._to_all(untold, now)

    def next_at(self, now: float) -> float:
        return now if self._untold else max(self._tells_at(), now)


WAYS: MappingProxyType[str, NewWay] = MappingProxyType(
    {
        'equal shares': EqualShares,
        'shares by demand': SharesByDemand,
        'all sends seen by all': AllSendsSeen,
        'shares lent, permits given by one': Sharing,
    }
)


class Played(NamedTuple):
    """Measurements of one run: used share of the limit, requests over the bound, messages per second."""

    taken: float
    excess: float
    words: float


def calm(new_way: NewWay, instances: int, load: float, seed: int) -> Played:
    """Run with even demand and without faults."""
    return _count(_world(new_way, instances, load, seed))


def one_has_all(new_way: NewWay, instances: int, load: float, seed: int) -> Played:
    """Run with 95 % of the demand at one instance."""
    world = _world(new_way, instances, 0, seed)
    for name, instance in world.instances.items():
        instance.rate = 0.95 * load if name == 'front-2' else 0.05 * load / instances
    return _count(world)


def moving(new_way: NewWay, instances: int, load: float, seed: int) -> Played:
    """Run with all the demand at one instance, which changes every two seconds."""
    world = _world(new_way, instances, 0, seed)
    world.instances['front-0'].rate = load
    world.run(SETTLE_S)
    world.network.words = 0
    since = world.now
    for step in range(int(LENGTH_S / 2)):
        for number, instance in enumerate(world.instances.values()):
            instance.rate = load if number == step % instances else 0
        world.run(2)
    return Played(world.taken(since), world.excess(since), world.network.words / LENGTH_S)


def cut_off(new_way: NewWay, instances: int, load: float, seed: int) -> Played:
    """Run with one half of the instances cut off from the other half, but not from the runner."""
    world = _world(new_way, instances, load, seed)
    world.cut(list(world.instances)[: instances // 2])
    return _count(world)


def words_lost(new_way: NewWay, instances: int, load: float, seed: int) -> Played:
    """Run with 30 % of the messages lost."""
    world = _world(new_way, instances, load, seed)
    world.network.lost = 0.3
    return _count(world)


PLAYS = (calm, one_has_all, moving, cut_off, words_lost)


def main() -> None:
    """Print a table for each scenario."""
    seeds = range(1, int(sys.argv[1]) + 1) if len(sys.argv) > 1 else range(1, 3)
    for play in PLAYS:
        sys.stdout.write(
            f'\n{play.__name__}: used share of the limit, most over the bound (negative: kept), messages per second\n'
        )
        for name, new_way in WAYS.items():
            cells = []
            for label, instances, load in DEPLOYMENTS:
                runs = [play(new_way, instances, load, seed) for seed in seeds]
                taken = sum(run.taken for run in runs) / len(runs)
                excess = max(run.excess for run in runs)
                words = sum(run.words for run in runs) / len(runs)
                cells.append(f'{label}: {taken:.2f} {excess:+.0f} {words:.0f}')
            sys.stdout.write(f'  {name}: {"; ".join(cells)}\n')
            sys.stdout.flush()


def _world(new_way: NewWay, instances: int, load: float, seed: int) -> LimitWorld:
    world = LimitWorld(seed, new_way)
    for number in range(instances):
        world.add(f'front-{number}', load / instances)
    world.name_limit(LIMIT)
    world.run(BEGIN_S)
    return world


def _count(world: LimitWorld) -> Played:
    # Excludes the requests that were sent before any instance knew the limit.
    world.run(SETTLE_S)
    world.network.words = 0
    since = world.now
    world.run(LENGTH_S)
    return Played(world.taken(since), world.excess(since), world.network.words / LENGTH_S)


if __name__ == '__main__':
    main()
