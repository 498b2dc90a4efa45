"""Runners with a rate limit, a load of requests, and measures of what the runners got of it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_standins.platform.limit_bound import request_windows
from tests.front.builders import engine, new_prompt_request, new_request, plain_runner

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec
    from sesamepoint_standins.platform.runner import RunnerStandIn

LIMIT = b'6.8'
FRONTS = 5


class Load(NamedTuple):
    """Load of ``rate`` requests per second for a time in seconds, each at a random instance."""

    request: Callable[[], RequestSpec]
    rate: float
    duration_s: float


def short_prompt() -> RequestSpec:
    """Return a request that any engine may run."""
    return new_prompt_request('/tag/a')


def plain_request() -> RequestSpec:
    """Return a request that any plain runner may run."""
    return new_request('/thumb/a')


def engines(limited_count: int, unlimited_count: int = 0) -> list[RunnerStandIn]:
    """Return ``limited_count`` decode engines with a limit, and ``unlimited_count`` and two prefill engines without."""
    runners = [engine(number, 'decode') for number in range(1, limited_count + unlimited_count + 1)]
    change_limit(runners[:limited_count], LIMIT)
    return [*runners, engine(91, 'prefill'), engine(92, 'prefill')]


def plain_runners(limited_count: int, unlimited_count: int = 0) -> list[RunnerStandIn]:
    """Return ``limited_count`` plain runners with a rate limit, and ``unlimited_count`` without one."""
    runners = [plain_runner(number) for number in range(1, limited_count + unlimited_count + 1)]
    change_limit(runners[:limited_count], LIMIT)
    return runners


async def send(bench: PlatformBench, rng: Random, load: Load, fronts: Iterable[str] = ()) -> list[CallerAnswer]:
    """Send ``load`` to ``fronts``, or to all instances if there are none given; return the answers."""
    names = tuple(fronts) or tuple(bench.fronts)
    answers: list[CallerAnswer] = []

    async def ask(req: RequestSpec) -> None:
        answers.append(await bench.new_caller(rng.choice(names)).send(req))

    async with trio.open_nursery() as nursery:
        ends_at = trio.current_time() + load.duration_s
        while trio.current_time() < ends_at:
            await trio.sleep(rng.expovariate(load.rate))
            nursery.start_soon(ask, load.request())
    return answers


def runners_with_limit(bench: PlatformBench) -> list[RunnerStandIn]:
    """Return the runners that report a rate limit."""
    return [runner for runner in bench.runners.values() if runner.limit_headers]


def max_in_span(bench: PlatformBench, since: float) -> int:
    """Return the highest request count of any limited runner in a span that ends at ``since`` or later."""
    return max(_max_in_span_at(runner, since) for runner in runners_with_limit(bench))


def used_share(bench: PlatformBench, since: float, until: float) -> float:
    """Return the requests that the limited runners got from ``since`` until ``until``, as a share of their limits."""
    runners = runners_with_limit(bench)
    request_count = sum(runner.count_arrivals(since, until) for runner in runners)
    return request_count / (float(LIMIT) * len(runners) * (until - since))


def change_limit(runners: Iterable[RunnerStandIn], limit: bytes) -> None:
    """Have ``runners`` report ``limit`` from now on."""
    for runner in runners:
        runner.limit_headers = (limit,)


def _max_in_span_at(runner: RunnerStandIn, since: float) -> int:
    return max((span.requests for span in request_windows(runner.arrivals) if span.window_end >= since), default=0)


__all__ = (
    'FRONTS',
    'LIMIT',
    'Load',
    'change_limit',
    'engines',
    'max_in_span',
    'plain_request',
    'plain_runners',
    'runners_with_limit',
    'send',
    'short_prompt',
    'used_share',
)
