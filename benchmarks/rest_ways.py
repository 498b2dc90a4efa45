"""Comparison of rules for a back-off that a runner asked of another instance, on the same seeds.

Run: python -m benchmarks.rest_ways [SEEDS]
"""

from __future__ import annotations

import sys
from functools import partial
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint_core.runner_words.words import Rests
from sesamepoint.front.runner_words import RunnerWords
from sesamepoint_standins.platform.bed import running_bed
from sesamepoint_standins.platform.runner import Faults
from sesamepoint_standins.virtual_time import quiet_logs, run_virtual
from tests.front.builders import asked_prompt, configuration
from tests.front.limited import Load, engines, send

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint_core.serving.suspects import Start
    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Seen
    from sesamepoint_standins.platform.runner import RunnerStandIn

    Heed = Callable[[RunnerWords, Start, float, str], None]

LENGTH_S = 10.0
REST = b'3'
LAST_SEED = 2
RATE = 90.0
GOOD = 200
TARGET_S = 0.4
TIMES = ((1.0, 4.5), (6.0, 7.0))
ALL_HOSTS = ''
WHOSE = ('all', 'of one instance')
DEPLOYMENTS = ((5, False), (5, True), (31, False))

quiet_logs()


class Outcome(NamedTuple):
    """Share of answers on time, number of failed requests, and number of rejections by the runner."""

    on_time: float
    lost: int
    turned_away: int


def _heed_not(words: RunnerWords, start: Start, for_s: float, source: str) -> None:
    """Ignore a back-off that a runner asked of another instance."""


def _rest_too(words: RunnerWords, start: Start, for_s: float, source: str) -> None:
    """Back off as if the runner had asked this instance."""
    on_rest = words.on_rest
    words.on_rest = None
    words.take(Rests(for_s), start, 0)
    words.on_rest = on_rest


WAYS: Mapping[str, Heed] = MappingProxyType(
    {
        'own only': _heed_not,
        'others ask elsewhere (in use)': RunnerWords.told_rest,
        'others rest too': _rest_too,
    }
)


async def play(seed: int, fronts: int, of_one: bool) -> Outcome:
    """Have one of four engines reject the requests of all instances, or only those of the first one."""
    runners = engines(0, 4)
    load = Load(partial(asked_prompt, '/verdict/a'), RATE, LENGTH_S)
    seen: list[Seen] = []
    async with running_bed(configuration(), runners, fronts=fronts) as bed, trio.open_nursery() as nursery:
        nursery.start_soon(_send, bed, seed, load, seen)
        for times in TIMES:
            nursery.start_soon(_turn_away, bed, runners[0], times, of_one)
    on_time = sum(one.status == GOOD and one.first_s <= TARGET_S for one in seen) / len(seen)
    return Outcome(on_time, sum(one.status != GOOD for one in seen), sum(one.rest_s > 0 for one in runners[0].told))


async def _send(bed: PlatformBed, seed: int, load: Load, seen: list[Seen]) -> None:
    seen.extend(await send(bed, Random(seed), load))


async def _turn_away(bed: PlatformBed, runner: RunnerStandIn, times: tuple[float, float], of_one: bool) -> None:
    begin, end = times
    await trio.sleep(begin)
    runner.asks_rest = (REST,)
    runner.rejects_from = _first_host(bed) if of_one else ALL_HOSTS
    runner.faults = Faults(rejects=True)
    await trio.sleep(end - begin)
    runner.faults = Faults()


def _first_host(bed: PlatformBed) -> str:
    return next(iter(bed.fronts.values())).cfg.host


def main() -> None:
    """Run all rules in all deployments and print a table."""
    last_seed = int(sys.argv[1]) if len(sys.argv) > 1 else LAST_SEED
    seeds = range(1, last_seed + 1)
    for fronts, of_one in DEPLOYMENTS:
        whose = WHOSE[of_one]
        for name, way in WAYS.items():
            with patch.object(RunnerWords, 'told_rest', way):
                found = [run_virtual(play, seed, fronts, of_one, seed=seed) for seed in seeds]
            means = [sum(column) / len(found) for column in zip(*found, strict=True)]
            sys.stdout.write(f'| {fronts} | {whose} | {name} | {means[0]:.4f} | {means[1]:.1f} | {means[2]:.1f} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
