"""Runners that name a limit, the load before them, and the bound that users count by."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.limit_bound import spans
from tests.front.builders import asked, asked_prompt, engine, plain_runner

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Asked, Seen
    from sesamepoint_standins.platform.runner import RunnerStandIn

LIMIT = b'6.8'
FRONTS = 5


class Load(NamedTuple):
    """Requests at random instances, ``rate`` a second for ``length_s``."""

    request: Callable[[], Asked]
    rate: float
    length_s: float


def short_prompt() -> Asked:
    """Return a request that any engine may run."""
    return asked_prompt('/tag/a')


def fetch() -> Asked:
    """Return a request that any plain runner may run."""
    return asked('/thumb/a')


def engines(limited: int, free: int = 0) -> list[RunnerStandIn]:
    """Return engines that decode, and two that only read prompts, all but ``free`` with a limit."""
    found = [engine(number, 'decode') for number in range(1, limited + free + 1)]
    name(found[:limited], LIMIT)
    return [*found, engine(91, 'prefill'), engine(92, 'prefill')]


def plain_runners(limited: int, free: int = 0) -> list[RunnerStandIn]:
    """Return runners of a plain service, all but ``free`` with a limit."""
    found = [plain_runner(number) for number in range(1, limited + free + 1)]
    name(found[:limited], LIMIT)
    return found


async def send(bed: PlatformBed, rng: Random, load: Load, fronts: Iterable[str] = ()) -> list[Seen]:
    """Send ``load`` to ``fronts``, all if none are named; return what callers saw."""
    names = tuple(fronts) or tuple(bed.fronts)
    seen: list[Seen] = []

    async def ask(req: Asked) -> None:
        seen.append(await bed.caller(rng.choice(names)).ask(req))

    async with trio.open_nursery() as nursery:
        until = trio.current_time() + load.length_s
        while trio.current_time() < until:
            await trio.sleep(rng.expovariate(load.rate))
            nursery.start_soon(ask, load.request())
    return seen


def limited(bed: PlatformBed) -> list[RunnerStandIn]:
    """Return the runners that name a limit."""
    return [runner for runner in bed.runners.values() if runner.names_limit]


def most(bed: PlatformBed, since: float) -> int:
    """Return the most that any runner with a limit got in a span that ends after ``since``."""
    return max(_most_at(runner, since) for runner in limited(bed))


def used(bed: PlatformBed, since: float, until: float) -> float:
    """Return the share of their limits that the runners with one got."""
    runners = limited(bed)
    came = sum(runner.arrived(since, until) for runner in runners)
    return came / (float(LIMIT) * len(runners) * (until - since))


def name(runners: Iterable[RunnerStandIn], limit: bytes) -> None:
    """Have ``runners`` name ``limit`` from now on."""
    for runner in runners:
        runner.names_limit = (limit,)


def _most_at(runner: RunnerStandIn, since: float) -> int:
    return max((span.requests for span in spans(runner.arrivals) if span.until >= since), default=0)


__all__ = (
    'FRONTS',
    'LIMIT',
    'Load',
    'engines',
    'fetch',
    'limited',
    'most',
    'name',
    'plain_runners',
    'send',
    'short_prompt',
    'used',
)
