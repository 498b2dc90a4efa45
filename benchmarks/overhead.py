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
from sesamepoint.process.web import serve_web
from sesamepoint_standins.log import MemoryInstances, MemoryLog
from sesamepoint_standins.web import PlatformApp
from sesamectl.demo.deployment import PLATFORM, DemoDeployment
from tests.builders import configuration

ENTRY_PORT = 6980
ENGINE_URL = 'http://127.0.0.1:7500'
READY_S = 4.0
UNARY_CALLS = 600
STREAM_CALLS = 24
STREAM_TOKENS = 400
AT_ONCE = 4
MICRO = 1_000_000
INSTANT = 0.000001
STATUS_OK = 200


class Work(NamedTuple):
    """A kind of call: the number of calls and the tokens of each."""

    name: str
    calls: int
    tokens: int
    stream: bool


class Cost(NamedTuple):
    """Wall and CPU seconds of all calls of one kind, client and servers together."""

    wall_s: float
    processor_s: float


WORKS = (
    Work('whole answers of 1 token', UNARY_CALLS, 1, stream=False),
    Work('streams', STREAM_CALLS, STREAM_TOKENS, stream=True),
)


async def measure() -> None:
    """Measure direct and proxied calls, one after the other, and print the ratios."""
    log = MemoryLog()
    instances = MemoryInstances()
    cfg = parse_configuration(msgspec.json.encode(configuration(size=1)))
    deployment = DemoDeployment(cfg, ENTRY_PORT, instances)
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_web, PlatformApp(log, instances), PLATFORM)
        nursery.start_soon(deployment.run)
        operator = Follower(log, cfg['deployment'], 'bench', SystemRandom())
        nursery.start_soon(operator.follow)
        await operator.recovered.wait()
        await operator.submit(Publish(0, 'bench', msgspec.Raw(msgspec.json.encode(cfg))))
        await trio.sleep(READY_S)
        deployment.engines['verdict-1'].slowdown = INSTANT
        for work in WORKS:
            straight = await run(work, ENGINE_URL)
            through = await run(work, f'http://{deployment.entries[0]}')
            report(work, straight, through)
        nursery.cancel_scope.cancel()


async def run(work: Work, url: str) -> Cost:
    """Make the calls, a few of them concurrently, and time them."""
    pool = httpcore.AsyncConnectionPool(max_connections=AT_ONCE)
    limiter = trio.CapacityLimiter(AT_ONCE)
    wall, processor = time.perf_counter(), time.process_time()
    async with trio.open_nursery() as nursery:
        for number in range(work.calls):
            nursery.start_soon(partial(_call, pool, limiter, url, work, number))
    return Cost(time.perf_counter() - wall, time.process_time() - processor)


async def _call(
    pool: httpcore.AsyncConnectionPool,
    limiter: trio.CapacityLimiter,
    url: str,
    work: Work,
    number: int,
) -> None:
    own = {'prompt_tokens': 1, 'request_id': f'bench-{work.name}-{number}'}
    body = {'model': 'verdict', 'prompt': 'x', 'max_tokens': work.tokens, 'stream': work.stream, **own}
    async with limiter:
        reply = await pool.request('POST', f'{url}/v1/completions', content=msgspec.json.encode(body))
    if reply.status != STATUS_OK:
        raise RuntimeError(reply.content)


def report(work: Work, straight: Cost, through: Cost) -> None:
    """Print rates and CPU times of direct and proxied calls."""
    units = work.calls * work.tokens
    unit = 'token' if work.stream else 'request'
    lines = (
        f'{work.name}: straight {units / straight.wall_s:.0f} {unit}s/s, through {units / through.wall_s:.0f}',
        f'  rate through over straight: {straight.wall_s / through.wall_s:.2f}',
        f'  processor per {unit}, all ends: straight {straight.processor_s / units * MICRO:.0f} us, '
        f'through {through.processor_s / units * MICRO:.0f} us',
        f'  processor through over straight: {through.processor_s / straight.processor_s:.1f}',
    )
    sys.stdout.write('\n'.join((*lines, '')))


if __name__ == '__main__':
    trio.run(measure)
