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

from sesamepoint_core.runner_status.status_headers import BackOff
from sesamepoint.front.runners.runner_status import RunnerStatuses
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.runner_state import Faults
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import configuration, new_prompt_request
from tests.front.limited_runners import Load, engines, send

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer
    from sesamepoint_standins.platform.runner import RunnerStandIn

    PeerBackOffRule = Callable[[RunnerStatuses, Incarnation, float, str], None]

LOAD_S = 10.0
BACK_OFF_HEADER = b'3'
LAST_SEED = 2
REQUESTS_PER_S = 90.0
STATUS_OK = 200
TARGET_S = 0.4
BACK_OFF_PERIODS = ((1.0, 4.5), (6.0, 7.0))
ALL_HOSTS = ''
SCOPES = ('all', 'of one instance')
DEPLOYMENTS = ((5, False), (5, True), (31, False))

disable_logging()


class Outcome(NamedTuple):
    """Share of answers on time, number of failed requests, and number of rejections by the runner."""

    on_time: float
    failed: int
    rejected: int


def _ignore(words: RunnerStatuses, start: Incarnation, for_s: float, source: str) -> None:
    """Ignore a back-off that a runner asked of another instance."""


def _back_off_too(words: RunnerStatuses, start: Incarnation, for_s: float, source: str) -> None:
    """Back off as if the runner had asked this instance."""
    on_rest = words.on_back_off
    words.on_back_off = None
    words.take(BackOff(for_s), start, 0)
    words.on_back_off = on_rest


STRATEGIES: Mapping[str, PeerBackOffRule] = MappingProxyType(
    {
        'own only': _ignore,
        'others ask elsewhere (in use)': RunnerStatuses.note_peer_back_off,
        'others rest too': _back_off_too,
    }
)


async def run_scenario(seed: int, fronts: int, one_instance: bool) -> Outcome:
    """Have one of four engines reject the requests of all instances, or only those of the first one."""
    runners = engines(0, 4)
    load = Load(partial(new_prompt_request, '/verdict/a'), REQUESTS_PER_S, LOAD_S)
    seen: list[CallerAnswer] = []
    async with open_bench(configuration(), runners, fronts=fronts) as bed, trio.open_nursery() as nursery:
        nursery.start_soon(_send, bed, seed, load, seen)
        for times in BACK_OFF_PERIODS:
            nursery.start_soon(_reject_requests, bed, runners[0], times, one_instance)
    on_time = sum(one.status == STATUS_OK and one.first_byte_s <= TARGET_S for one in seen) / len(seen)
    return Outcome(
        on_time,
        sum(one.status != STATUS_OK for one in seen),
        sum(one.back_off_s > 0 for one in runners[0].status_reports),
    )


async def _send(bed: PlatformBench, seed: int, load: Load, seen: list[CallerAnswer]) -> None:
    seen.extend(await send(bed, Random(seed), load))


async def _reject_requests(
    bed: PlatformBench, runner: RunnerStandIn, period: tuple[float, float], one_instance: bool
) -> None:
    begin, end = period
    await trio.sleep(begin)
    runner.back_off_headers = (BACK_OFF_HEADER,)
    runner.rejected_host = _first_host(bed) if one_instance else ALL_HOSTS
    runner.faults = Faults(rejects=True)
    await trio.sleep(end - begin)
    runner.faults = Faults()


def _first_host(bed: PlatformBench) -> str:
    return next(iter(bed.fronts.values())).cfg.host


def main() -> None:
    """Run all rules in all deployments and print a table."""
    last_seed = int(sys.argv[1]) if len(sys.argv) > 1 else LAST_SEED
    seeds = range(1, last_seed + 1)
    for fronts, of_one in DEPLOYMENTS:
        whose = SCOPES[of_one]
        for name, way in STRATEGIES.items():
            with patch.object(RunnerStatuses, 'note_peer_back_off', way):
                found = [run_virtual(run_scenario, seed, fronts, of_one, seed=seed) for seed in seeds]
            means = [sum(column) / len(found) for column in zip(*found, strict=True)]
            sys.stdout.write(f'| {fronts} | {whose} | {name} | {means[0]:.4f} | {means[1]:.1f} | {means[2]:.1f} |\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
