"""Overhead of the instance and the agent over a direct call of the engine. Run: ``make bench``."""

from __future__ import annotations

import sys
import time
from functools import partial
from random import SystemRandom
from typing import NamedTuple

import httpcore
import msgspec
import trio

from sesamepoint_core.config.check import parse_configuration
from sesamepoint_core.fold.records import Publish
from sesamepoint.control.follower import Follower
from sesamepoint.process.asgi_server import serve_asgi
from sesamepoint_standins.asgi_apps import PlatformApp
from sesamepoint_standins.memory_platform import MemoryInstances, MemoryLog
from sesamectl.demo.deployment import PLATFORM_ADDRESS, DemoDeployment
from tests.builders import configuration

ENTRY_PORT = 6980
ENGINE_URL = 'http://127.0.0.1:7500'
STARTUP_WAIT_S = 4.0
UNARY_CALLS = 600
STREAM_CALLS = 24
STREAM_TOKENS = 400
CONCURRENCY = 4
US_PER_S = 1_000_000
NEAR_ZERO_SLOWDOWN = 0.000001
STATUS_OK = 200


class Workload(NamedTuple):
    """A kind of call: the number of calls and the tokens of each."""

    name: str
    calls: int
    tokens: int
    stream: bool


class Timing(NamedTuple):
    """Wall and CPU seconds of all calls of one kind, client and servers together."""

    wall_s: float
    cpu_s: float


WORKLOADS = (
    Workload('whole answers of 1 token', UNARY_CALLS, 1, stream=False),
    Workload('streams', STREAM_CALLS, STREAM_TOKENS, stream=True),
)


async def measure() -> None:
    """Measure direct and proxied calls, one after the other, and print the ratios."""
    log = MemoryLog()
    instances = MemoryInstances()
    cfg = parse_configuration(msgspec.json.encode(configuration(size=1)))
    deployment = DemoDeployment(cfg, ENTRY_PORT, instances)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_asgi, PlatformApp(log, instances), PLATFORM_ADDRESS)
        nursery.start_soon(deployment.run)
        operator = Follower(log, cfg['deployment'], 'bench', SystemRandom())
        nursery.start_soon(operator.follow)
        await operator.recovered.wait()
        await operator.submit(Publish(0, 'bench', msgspec.Raw(msgspec.json.encode(cfg))))
        await trio.sleep(STARTUP_WAIT_S)
        deployment.engines['verdict-1'].slowdown = NEAR_ZERO_SLOWDOWN
        for work in WORKLOADS:
            straight = await run(work, ENGINE_URL)
            through = await run(work, f'http://{deployment.entries[0]}')
            print_report(work, straight, through)
        nursery.cancel_scope.cancel()


async def run(workload: Workload, url: str) -> Timing:
    """Make the calls, a few of them concurrently, and time them."""
    pool = httpcore.AsyncConnectionPool(max_connections=CONCURRENCY)
    limiter = trio.CapacityLimiter(CONCURRENCY)
    wall, processor = time.perf_counter(), time.process_time()
    async with trio.open_nursery() as nursery:
        for number in range(workload.calls):
            nursery.start_soon(partial(_call, pool, limiter, url, workload, number))
    return Timing(time.perf_counter() - wall, time.process_time() - processor)


async def _call(
    pool: httpcore.AsyncConnectionPool,
    limiter: trio.CapacityLimiter,
    url: str,
    workload: Workload,
    number: int,
) -> None:
    own = {'prompt_tokens': 1, 'request_id': f'bench-{workload.name}-{number}'}
    body = {'model': 'verdict', 'prompt': 'x', 'max_tokens': workload.tokens, 'stream': workload.stream, **own}
    async with limiter:
        reply = await pool.request('POST', f'{url}/v1/completions', content=msgspec.json.encode(body))
    if reply.status != STATUS_OK:
        raise RuntimeError(reply.content)


def print_report(workload: Workload, direct: Timing, proxied: Timing) -> None:
    """Print rates and CPU times of direct and proxied calls."""
    units = workload.calls * workload.tokens
    unit = 'token' if workload.stream else 'request'
    lines = (
        f'{workload.name}: straight {units / direct.wall_s:.0f} {unit}s/s, through {units / proxied.wall_s:.0f}',
        f'  rate through over straight: {direct.wall_s / proxied.wall_s:.2f}',
        f'  processor per {unit}, all ends: straight {direct.cpu_s / units * US_PER_S:.0f} us, '
        f'through {proxied.cpu_s / units * US_PER_S:.0f} us',
        f'  processor through over straight: {proxied.cpu_s / direct.cpu_s:.1f}',
    )
    sys.stdout.write('\n'.join((*lines, '')))


if __name__ == '__main__':
    trio.run(measure)
