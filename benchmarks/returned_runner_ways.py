"""Ways to treat a registration that is back after its removal, compared on the same seeds.

Run: python -m benchmarks.returned_runner_ways SEEDS
"""

from __future__ import annotations

import sys
from contextlib import ExitStack, contextmanager
from random import Random
from statistics import mean
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint_core.runner_status.presence import Presence
from sesamepoint.front.fleet_health import returned_runners
from sesamepoint.front.fleet_health.health_pages import PageAnswer, PageResult
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import configuration, plain_runner
from tests.front.registrations.late_heartbeats import HEARTBEAT_S, LateHeartbeat, Notice, requests_after_drain_time
from tests.front.registrations.load import send_load
from tests.front.registrations.variants import take_at_once

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

FRONTS = 3
DELAYS_S = (1.0, 6.0)
AWAY_S = 5.0
OBSERVED_S = 8.0
KEYS = ('i-web1', 'i-llm1', 'i-llm3')


class Outcome(NamedTuple):
    """Late requests at a runner that left, seconds until returned ones are used, and health calls for each of them."""

    late: float
    used_after_outage_s: float
    used_after_cut_s: float
    calls: float


async def _not_called(*_: object) -> PageAnswer:
    return PageAnswer(PageResult.unknown)


@contextmanager
def _at_once() -> Iterator[None]:
    with patch.object(Presence, 'note_back', take_at_once):
        yield


@contextmanager
def _stands() -> Iterator[None]:
    with patch.object(returned_runners, 'ask_health_page', _not_called):
        yield


@contextmanager
def _asked() -> Iterator[None]:
    yield


WAYS = MappingProxyType({'taken at once': _at_once, 'registration stands': _stands, 'asked (in use)': _asked})


async def _until_used(*, outage: bool) -> tuple[float, float]:
    """Return after how many seconds returned runners get requests of an instance, and health calls for each."""
    runners = [plain_runner(1), plain_runner(2)]
    async with open_bench(configuration(), runners, FRONTS) as bench, trio.open_nursery() as nursery:
        nursery.start_soon(send_load, bench, nursery)
        await trio.sleep(2)
        bench.store.unavailable = outage
        for registered in runners:
            bench.drop_registration(registered.key)
        await trio.sleep(AWAY_S)
        bench.store.unavailable = False
        back_at = trio.current_time()
        for returning in runners:
            nursery.start_soon(_renew, bench, returning)
        await trio.sleep(OBSERVED_S)
        first = [_first_use(runner, back_at) for runner in runners]
        calls = mean(len(runner.health_calls) for runner in runners)
        nursery.cancel_scope.cancel()
    return mean(first), calls / FRONTS


def _first_use(runner: RunnerStandIn, back_at: float) -> float:
    pairs = zip(runner.arrivals, runner.request_ids, strict=True)
    return min((at - back_at for at, name in pairs if name and at > back_at), default=OBSERVED_S)


async def _renew(bench: PlatformBench, runner: RunnerStandIn) -> None:
    while True:
        bench.renew_registration(runner.key)
        await trio.sleep(HEARTBEAT_S)


def _play(seed: int) -> Outcome:
    rng = Random(seed)
    delay_s = rng.uniform(*DELAYS_S)
    run = LateHeartbeat(Notice.removal, delay_s, rng.uniform(0, delay_s), rng.choice(KEYS))
    late = run_virtual(requests_after_drain_time, run, seed=seed)
    after_outage, calls = run_virtual(_until_used_after_outage, seed=seed)
    after_cut, _ = run_virtual(_until_used_after_cut, seed=seed)
    return Outcome(late, after_outage, after_cut, calls)


async def _until_used_after_outage() -> tuple[float, float]:
    return await _until_used(outage=True)


async def _until_used_after_cut() -> tuple[float, float]:
    return await _until_used(outage=False)


def main() -> None:
    """Play each way on the same seeds, and print the means."""
    disable_logging()
    seeds = range(1, int(sys.argv[1]) + 1)
    for name, way in WAYS.items():
        with ExitStack() as stack:
            stack.enter_context(way())
            outcomes = [_play(seed) for seed in seeds]
        means = Outcome(*(mean(column) for column in zip(*outcomes, strict=True)))
        seen = sum(one.late > 0 for one in outcomes)
        sys.stdout.write(f'{name}: {seen} of {len(outcomes)} runs with late requests; means {means}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
