"""Simulation of a heartbeat that the store carries out late, around the moment at which its runner leaves.

Run by hand, over all delays and moments: python -m tests.front.registrations.late_heartbeats
"""

from __future__ import annotations

import sys
from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint.platform.wire_names import RUNNER_TOPIC
from sesamepoint_standins.platform.bench import STORE_ADDRESS, open_bench
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import configuration, engine, plain_runner
from tests.front.registrations.load import send_load

if TYPE_CHECKING:
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.runner import RunnerStandIn

HEARTBEAT_S = 1.2
# Users' bound on requests to a runner after the store has taken its notice, in seconds.
DRAIN_S = 2.0
# The runner serves for so long after the notice, in seconds; the pages name no bound.
SERVES_ON_S = 8.0
WARM_UP_S = 1.5
# Delays of the heartbeat, and times between it and the notice, in seconds.
DELAYS_S = (1.0, 2.0, 3.0, 4.0, 5.0, 6.0)
LEAD_STEP_S = 0.4
# Fronts that don't reach each other.
APART = ('front-1', 'front-3')
# Instances have read a record after this time, in seconds.
TAKE_IN_S = 0.3


class Notice(Enum):
    """How the store learns that a runner leaves: by the state of its registration, or by its removal."""

    draining = 'draining'
    removal = 'removal'


class LateHeartbeat(NamedTuple):
    """One run.

    Parameters
    ----------
    delay_s
        The store carries the heartbeat out so many seconds after it was sent.
    lead_s
        The notice comes so many seconds after the heartbeat was sent.
    key
        Key of the runner.
    counts_heartbeats
        Whether registrations have growing numbers.
    front_starts_s
        A front starts so many seconds after the notice; None if none does.
    restarts_s
        Fronts are killed and start again at their addresses, so many seconds after the notice; None if none is.
    restarting
        Numbers of these fronts.
    rolled_back_s
        The store is restored to a copy from before the notice, so many seconds after it; None if it is not.
    restored_before_s
        The store is restored so many seconds before the notice, and two of three fronts don't reach each other, so that
        one may learn of the notice by neither the list nor the other; None if it is not, with two fronts.
    cut_off
        The second front reaches neither the store nor the other from before the notice until after the late heartbeat,
        and the log is compacted meanwhile. What it sends in that time counts too.
    away_s
        The store is away for so many seconds just after the late heartbeat; None if it is not.
    """

    notice: Notice
    delay_s: float
    lead_s: float
    key: str = 'i-web1'
    counts_heartbeats: bool = False
    front_starts_s: float | None = None
    restarts_s: float | None = None
    restarting: tuple[int, ...] = (1,)
    rolled_back_s: float | None = None
    away_s: float | None = None
    restored_before_s: float | None = None
    cut_off: bool = False


async def requests_after_drain_time(run: LateHeartbeat) -> int:
    """Return how many requests of callers reached the runner later than the drain time after its notice."""
    runners = [plain_runner(1), plain_runner(2), plain_runner(3)]
    runners += [engine(1, 'prefill'), engine(2, 'prefill'), engine(3, 'decode'), engine(4, 'decode')]
    for runner in runners:
        runner.counts_heartbeats = run.counts_heartbeats
    apart = run.restored_before_s is not None
    async with open_bench(configuration(), runners, fronts=3 if apart else 2) as bench:
        leaving = bench.runners[run.key]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_load, bench, nursery)
            for runner in runners:
                nursery.start_soon(_renew, bench, runner)
            await trio.sleep(WARM_UP_S)
            bench.write_late(run.key, run.delay_s)
            await trio.sleep(run.lead_s)
            if run.restored_before_s is not None:
                bench.network.cut_pairs.add(frozenset(bench.fronts[name].cfg.host for name in APART))
                bench.store.roll_back(0)
                await trio.sleep(run.restored_before_s)
            if run.cut_off:
                nursery.start_soon(_cut_off, bench, run)
            noticed_at = trio.current_time()
            _announce(bench, run)
            if run.rolled_back_s is not None:
                nursery.start_soon(_roll_back, bench, run)
            if run.away_s is not None:
                nursery.start_soon(_go_away, bench, run)
            if run.front_starts_s is not None:
                await trio.sleep(run.front_starts_s)
                bench.add_front(3)
            if run.restarts_s is not None:
                await trio.sleep(run.restarts_s)
                _restart(bench, run.restarting)
            await trio.sleep_until(noticed_at + SERVES_ON_S)
            nursery.cancel_scope.cancel()
    return sum(bool(name) and at > noticed_at + DRAIN_S for at, name in _arrivals(leaving))


def _arrivals(runner: RunnerStandIn) -> list[tuple[float, str]]:
    return list(zip(runner.arrivals, runner.request_ids, strict=True))


def _restart(bench: PlatformBench, numbers: tuple[int, ...]) -> None:
    for number in numbers:
        bench.kill_front(f'front-{number}')
    for number in numbers:
        bench.add_front(number)


def _announce(bench: PlatformBench, run: LateHeartbeat) -> None:
    if run.notice is Notice.draining:
        bench.drain_runner(run.key)
    else:
        bench.leave_unannounced(run.key)


async def _roll_back(bench: PlatformBench, run: LateHeartbeat) -> None:
    await trio.sleep(run.rolled_back_s or 0)
    bench.store.roll_back((run.rolled_back_s or 0) + LEAD_STEP_S)


async def _cut_off(bench: PlatformBench, run: LateHeartbeat) -> None:
    own = bench.fronts['front-2'].cfg.host
    bench.network.cut_pairs |= {
        frozenset((own, bench.fronts['front-1'].cfg.host)),
        frozenset((own, STORE_ADDRESS.host)),
    }
    await trio.sleep(run.delay_s - run.lead_s + TAKE_IN_S)
    bench.store.compact(RUNNER_TOPIC)
    bench.network.cut_pairs.clear()


async def _go_away(bench: PlatformBench, run: LateHeartbeat) -> None:
    await trio.sleep(run.delay_s - run.lead_s + TAKE_IN_S)
    bench.store.unavailable = True
    await trio.sleep(run.away_s or 0)
    bench.store.unavailable = False


async def _renew(bench: PlatformBench, runner: RunnerStandIn) -> None:
    """Write a heartbeat at each interval, unless the runner has left unannounced."""
    while not runner.leaving:
        await trio.sleep(HEARTBEAT_S)
        if not runner.leaving:
            bench.renew_registration(runner.key)


def all_runs() -> list[LateHeartbeat]:
    """Return runs with each delay, at each moment before and after the notice."""
    runs = []
    for notice in Notice:
        for key in ('i-web1', 'i-llm1', 'i-llm3'):
            for delay_s in DELAYS_S:
                leads = [LEAD_STEP_S * step for step in range(1 + int(delay_s / LEAD_STEP_S))]
                runs += [LateHeartbeat(notice, delay_s, lead_s, key, step % 2 > 0) for step, lead_s in enumerate(leads)]
    return runs


def main() -> None:
    """Play all runs, and print those in which requests were late."""
    disable_logging()
    runs = all_runs()
    late = [(run, count) for run in runs if (count := run_virtual(requests_after_drain_time, run, seed=1))]
    for run, count in late:
        sys.stdout.write(f'{count} late: {run}\n')
    sys.stdout.write(f'{len(late)} of {len(runs)} runs with late requests\n')


if __name__ == '__main__':
    main()
