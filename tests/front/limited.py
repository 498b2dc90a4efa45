"""Runners with a rate limit, a load of requests, and measures of what the runners got of it."""

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
    """Load of ``rate`` requests per second for a time in seconds, each at a random instance."""

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
    """Return ``limited`` decode engines with a rate limit, and ``free`` and two prefill engines without."""
    runners = [engine(number, 'decode') for number in range(1, limited + free + 1)]
    name(runners[:limited], LIMIT)
    return [*runners, engine(91, 'prefill'), engine(92, 'prefill')]


def plain_runners(limited: int, free: int = 0) -> list[RunnerStandIn]:
    """Return ``limited`` plain runners with a rate limit, and ``free`` without one."""
    runners = [plain_runner(number) for number in range(1, limited + free + 1)]
    name(runners[:limited], LIMIT)
    return runners


async def send(bed: PlatformBed, rng: Random, load: Load, fronts: Iterable[str] = ()) -> list[Seen]:
    """Send ``load`` to ``fronts``, or to all instances if there are none given; return the answers."""
    names = tuple(fronts) or tuple(bed.fronts)
    answers: list[Seen] = []

    async def ask(req: Asked) -> None:
        answers.append(await bed.caller(rng.choice(names)).ask(req))

    async with trio.open_nursery() as nursery:
        ends_at = trio.current_time() + load.length_s
        while trio.current_time() < ends_at:
            await trio.sleep(rng.expovariate(load.rate))
            nursery.start_soon(ask, load.request())
    return answers


def limited(bed: PlatformBed) -> list[RunnerStandIn]:
    """Return the runners that report a rate limit."""
    return [runner for runner in bed.runners.values() if runner.names_limit]


def most(bed: PlatformBed, since: float) -> int:
    """Return the highest request count of any limited runner in a span that ends at ``since`` or later."""
    return max(_most_at(runner, since) for runner in limited(bed))


def used(bed: PlatformBed, since: float, until: float) -> float:
    """Return the requests that the limited runners got from ``since`` until ``until``, as a share of their limits."""
    runners = limited(bed)
    request_count = sum(runner.arrived(since, until) for runner in runners)
    return request_count / (float(LIMIT) * len(runners) * (until - since))


def name(runners: Iterable[RunnerStandIn], limit: bytes) -> None:
    """Have ``runners`` report ``limit`` from now on."""
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
