"""Whether the other instances should heed the rest that a runner asks one of them for, on the same seeds.

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

from sesamepoint_core.runner_status.status_headers import BackOff
from sesamepoint.front.runner_status import RunnerStatuses
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.runner import Faults
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import configuration, new_prompt_request
from tests.front.limited_runners import Load, engines, send

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer
    from sesamepoint_standins.platform.runner import RunnerStandIn

    Heed = Callable[[RunnerStatuses, Incarnation, float, str], None]

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

disable_logging()


class Outcome(NamedTuple):
    """What one play showed."""

    on_time: float
    lost: int
    turned_away: int


def _heed_not(words: RunnerStatuses, start: Incarnation, for_s: float, source: str) -> None:
    """Heed nothing that another instance was asked for."""


def _rest_too(words: RunnerStatuses, start: Incarnation, for_s: float, source: str) -> None:
    """Take it as if it had been asked of this instance."""
    on_rest = words.on_back_off
    words.on_back_off = None
    words.take(BackOff(for_s), start, 0)
    words.on_back_off = on_rest


WAYS: Mapping[str, Heed] = MappingProxyType(
    {
        'own only': _heed_not,
        'others ask elsewhere (in use)': RunnerStatuses.note_peer_back_off,
        'others rest too': _rest_too,
    }
)


async def play(seed: int, fronts: int, of_one: bool) -> Outcome:
    """Have one of four engines turn requests away, all or those ``of_one`` instance."""
    runners = engines(0, 4)
    load = Load(partial(new_prompt_request, '/verdict/a'), RATE, LENGTH_S)
    seen: list[CallerAnswer] = []
    async with open_bench(configuration(), runners, fronts=fronts) as bed, trio.open_nursery() as nursery:
        nursery.start_soon(_send, bed, seed, load, seen)
        for times in TIMES:
            nursery.start_soon(_turn_away, bed, runners[0], times, of_one)
    on_time = sum(one.status == GOOD and one.first_byte_s <= TARGET_S for one in seen) / len(seen)
    return Outcome(
        on_time, sum(one.status != GOOD for one in seen), sum(one.back_off_s > 0 for one in runners[0].status_reports)
    )


async def _send(bed: PlatformBench, seed: int, load: Load, seen: list[CallerAnswer]) -> None:
    seen.extend(await send(bed, Random(seed), load))


async def _turn_away(bed: PlatformBench, runner: RunnerStandIn, times: tuple[float, float], of_one: bool) -> None:
    begin, end = times
    await trio.sleep(begin)
    runner.back_off_headers = (REST,)
    runner.rejected_host = _first_host(bed) if of_one else ALL_HOSTS
    runner.faults = Faults(rejects=True)
    await trio.sleep(end - begin)
    runner.faults = Faults()


def _first_host(bed: PlatformBench) -> str:
    return next(iter(bed.fronts.values())).cfg.host


def main() -> None:
    """Play all ways and print a table."""
    last_seed = int(sys.argv[1]) if len(sys.argv) > 1 else LAST_SEED
    seeds = range(1, last_seed + 1)
    for fronts, of_one in DEPLOYMENTS:
        whose = WHOSE[of_one]
        for name, way in WAYS.items():
            with patch.object(RunnerStatuses, 'note_peer_back_off', way):
                found = [run_virtual(play, seed, fronts, of_one, seed=seed) for seed in seeds]
            means = [sum(column) / len(found) for column in zip(*found, strict=True)]
            sys.stdout.write(f'| {fronts} | {whose} | {name} | {means[0]:.4f} | {means[1]:.1f} | {means[2]:.1f} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
