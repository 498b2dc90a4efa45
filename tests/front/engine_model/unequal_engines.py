"""A load of long and short prompts on engines of unequal speed, and on equal ones of the same total speed.

Three prefill and three decode engines run at 0.6, 1.0 and 1.6 times the speed of the
stand-in's defaults. Long prompts of 17,020 uncached tokens take 0.152 s at speed 1 and
70% of the speed of the prefill engines; they are on time by their first event
within 563 ms. Short prompts are on time within 273 ms. Pauses of up to 150 ms are on time.
Five instances share the engines. These are the limits of the second of the deployments of
docs/design/2026-hard-load-parts.md.
"""

from __future__ import annotations

from contextlib import ExitStack, contextmanager
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint.front.engine_model.engine_models import EngineModels
from sesamepoint.front.engine_model.model_exchange import ModelExchange
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from sesamepoint_standins.platform.runner import RunnerStandIn
from sesamepoint_standins.platform.runner_state import EngineSpeed
from tests.front.builders import configuration, engine, new_prompt_request, route

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

SPEEDS = (0.6, 1.0, 1.6)
EQUAL_SPEEDS = (sum(SPEEDS) / len(SPEEDS),) * len(SPEEDS)
FRONTS = 5
LONG_TOKENS = 16_930
SHORT_TOKENS = 293
LONG_TARGET_MS = 563
SHORT_TARGET_MS = 273
PAUSE_MS = 150
LOAD_SHARE = 0.7
SHORT_PER_S = 40.0
MS = 0.001


class Method(Enum):
    """How the speeds of engines are learned; ``existing`` is the correction that decays in 30 s alone."""

    existing = 'existing'
    unshared = 'unshared'
    shared = 'shared'


class Outcome(NamedTuple):
    """Shares of answers on time."""

    long: float
    short: float
    overall: float


def unequal_engines(speeds: Sequence[float]) -> list[RunnerStandIn]:
    """Return a prefill and a decode engine of each speed."""
    stages = [(speed, stage) for stage in ('prefill', 'decode') for speed in speeds]
    return [
        engine(number, stage, speed=EngineSpeed().scaled(speed))
        for number, (speed, stage) in enumerate(stages, start=1)
    ]


def two_routes() -> dict[str, Any]:
    """Return a configuration with a route of long prompts and one of short ones."""
    return configuration(
        routes=[
            route(
                'long',
                '/long/',
                'llm',
                'streaming',
                target_latency_ms=LONG_TARGET_MS,
                gap_aim_ms=PAUSE_MS,
                timeout_ms=5634,
            ),
            route(
                'short',
                '/short/',
                'llm',
                'streaming',
                target_latency_ms=SHORT_TARGET_MS,
                gap_aim_ms=PAUSE_MS,
                timeout_ms=3282,
            ),
        ]
    )


def long_request() -> RequestSpec:
    """Return a long prompt without a shared prefix of its length."""
    return new_prompt_request('/long/a', tokens=LONG_TOKENS, output=9, deadline_s=5.634)


def short_request() -> RequestSpec:
    """Return a short prompt."""
    return new_prompt_request('/short/a', tokens=SHORT_TOKENS, output=3, deadline_s=3.282)


def long_rate(speeds: Sequence[float]) -> float:
    """Return the long prompts a second that take the load share of the prefill engines."""
    return LOAD_SHARE * sum(speeds) * EngineSpeed().prefill_tokens_per_s / (LONG_TOKENS + 90)


class Load:
    """Sends requests to the instances of a bench in turn and records the answers."""

    def __init__(self, bench: PlatformBench, rng: Random) -> None:
        """Send to ``bench`` at times from ``rng``."""
        self.long: list[CallerAnswer] = []
        self.short: list[CallerAnswer] = []
        self._bench = bench
        self._rng = rng

    async def run(self, seconds: float, long_per_s: float) -> None:
        """Send for some seconds and wait for the answers."""
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_until, until, long_per_s, True)
            nursery.start_soon(self._send_until, until, SHORT_PER_S, False)

    @property
    def outcome(self) -> Outcome:
        """Return the shares of answers on time."""
        long = [_on_time(one, LONG_TARGET_MS) for one in self.long]
        short = [_on_time(one, SHORT_TARGET_MS) for one in self.short]
        both = [*long, *short]
        return Outcome(sum(long) / len(long), sum(short) / len(short), sum(both) / len(both))

    async def _send_until(self, until: float, rate: float, long: bool) -> None:
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await trio.sleep(self._rng.expovariate(rate))
                front = f'front-{self._rng.randint(1, len(self._bench.fronts))}'
                nursery.start_soon(self._send, front, long)

    async def _send(self, front: str, long: bool) -> None:
        answer = await self._bench.new_caller(front).send(long_request() if long else short_request())
        (self.long if long else self.short).append(answer)


async def run_load(
    speeds: Sequence[float], seed: int, method: Method = Method.shared, *, warm_up_s: float = 10, seconds: float = 20
) -> Outcome:
    """Run the load on a new deployment after a time to learn, and return what was on time."""
    with learned_by(method):
        async with open_bench(two_routes(), unequal_engines(speeds), fronts=FRONTS) as bench:
            rng = Random(seed)
            await Load(bench, rng).run(warm_up_s, long_rate(speeds))
            load = Load(bench, rng)
            await load.run(seconds, long_rate(speeds))
    return load.outcome


@contextmanager
def learned_by(method: Method) -> Iterator[None]:
    """Let ``method`` learn the speeds within the context."""
    with ExitStack() as stack:
        if method is Method.unshared:
            stack.enter_context(patch.object(ModelExchange, 'send_round', _send_nothing))
        elif method is Method.existing:
            stack.enter_context(patch.object(EngineModels, 'refresh', _keep))
        yield


async def _send_nothing(_: ModelExchange) -> None:
    await trio.lowlevel.checkpoint()


def _keep(_: EngineModels) -> None:
    """Keep the initial models: all engines as their service."""


def _on_time(answer: CallerAnswer, target_ms: int) -> bool:
    if not answer.complete or answer.status != 200:
        return False
    return answer.first_byte_s <= target_ms * MS and answer.max_gap_s <= PAUSE_MS * MS


__all__ = (
    'EQUAL_SPEEDS',
    'FRONTS',
    'SPEEDS',
    'Load',
    'Method',
    'Outcome',
    'learned_by',
    'long_rate',
    'run_load',
    'two_routes',
    'unequal_engines',
)
