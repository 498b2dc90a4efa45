"""Long and short prompts beyond the capacity of the engines, in virtual time.

Engines, targets and sizes are of the kind of the larger of the first two deployments: 36,700 prompt tokens a second, a
shared prefix of 13,300 tokens and 3,720 tokens of their own in the mean, both with a long tail, so that the largest
prompts take an idle engine longer than their target.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import SLOW_ENGINE, configuration, engine, new_prompt_request, route
from tests.front.engines.size_oracle import ServedCaller

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

FRONTS = 3
PREFIXES = 60
PREFIX_TOKENS = 13_300
OWN_TOKENS = 3720
SIZE_SIGMA = 0.6
LONG_TARGET_S = 0.8
SHORT_TARGET_S = 0.4
LONG_DEADLINE_S = 6.0
SHORT_DEADLINE_S = 3.0
STATUS_OK = 200
STATUS_REFUSED = 503
# Callers heed a retry time up to this share of the time that they have left.
HEEDED_SHARE = 1 / 3


class OverloadPlan(NamedTuple):
    """Engines and load of one run.

    Parameters
    ----------
    prefill, decode
        Engines of each stage; ``lost`` of each stage crash at the start of the load.
    long_per_s, short_per_s
        Requests a second.
    load_s
        Length of the load, in seconds.
    """

    prefill: int = 3
    decode: int = 3
    lost: int = 0
    long_per_s: float = 7
    short_per_s: float = 20
    load_s: float = 16


class Callers(NamedTuple):
    """Callers of long and of short prompts."""

    long: list[ServedCaller]
    short: list[ServedCaller]


class Overload:
    """Callers that come back once after a refusal, at the time that it names."""

    def __init__(self, bench: PlatformBench, rng: Random) -> None:
        """Send to all instances of ``bench``."""
        self.callers = Callers([], [])
        self._bench = bench
        self._rng = rng
        self._prefixes = [int(_long_tail(rng, PREFIX_TOKENS)) for _ in range(PREFIXES)]

    async def run(self, plan: OverloadPlan) -> None:
        """Send the load of ``plan`` and wait for the last answer."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_long, nursery, plan)
            nursery.start_soon(self._send_short, nursery, plan)

    async def _send_long(self, nursery: trio.Nursery, plan: OverloadPlan) -> None:
        with trio.move_on_after(plan.load_s):
            while True:
                await trio.sleep(self._rng.expovariate(plan.long_per_s))
                nursery.start_soon(self._call, self._long_prompt(), self.callers.long)

    async def _send_short(self, nursery: trio.Nursery, plan: OverloadPlan) -> None:
        with trio.move_on_after(plan.load_s):
            while True:
                await trio.sleep(self._rng.expovariate(plan.short_per_s))
                req = new_prompt_request(
                    '/tag/a', 291, ('common', 92), output=6, deadline_s=SHORT_DEADLINE_S, first_limit_s=2.0
                )
                nursery.start_soon(self._call, req, self.callers.short)

    def _long_prompt(self) -> RequestSpec:
        number = self._rng.randrange(PREFIXES)
        own_tokens = int(_long_tail(self._rng, OWN_TOKENS))
        prefix = (f'k{number}', self._prefixes[number])
        return new_prompt_request(
            '/verdict/a', own_tokens, prefix, output=15, deadline_s=LONG_DEADLINE_S, first_limit_s=4 * LONG_TARGET_S
        )

    async def _call(self, req: RequestSpec, callers: list[ServedCaller]) -> None:
        started = trio.current_time()
        front = self._rng.randrange(FRONTS)
        answer = await self._send(front, req)
        if answer.status == STATUS_REFUSED:
            left_s = req.deadline_s - (trio.current_time() - started)
            await trio.sleep(min(answer.retry_after_s or 0, HEEDED_SHARE * left_s))
            left_s = req.deadline_s - (trio.current_time() - started)
            again = req._replace(request_id=f'{req.request_id}b', deadline_s=left_s)
            answer = await self._send(front + 1, again)
        served = answer.status == STATUS_OK and answer.complete
        first_s = trio.current_time() - started - (answer.took_s - answer.first_byte_s)
        size = sum(tokens for _, tokens in req.parts) + 10 * req.output
        callers.append(ServedCaller(size, served, first_s))

    async def _send(self, front: int, req: RequestSpec) -> CallerAnswer:
        return await self._bench.new_caller(f'front-{front % FRONTS + 1}').send(req)


def overload_configuration() -> dict[str, Any]:
    """Return a configuration with the targets of the larger deployment."""
    base = configuration()
    routes = [
        route(
            'verdict',
            '/verdict/',
            'llm',
            'streaming',
            resumable=True,
            priority=1,
            gap_aim_ms=250,
            target_latency_ms=LONG_TARGET_S * 1000,
            timeout_ms=6000,
        ),
        route('tag', '/tag/', 'llm', 'streaming', resumable=True, gap_aim_ms=250, target_latency_ms=400),
    ]
    published = {'slots': 48, 'kv_tokens': 402_357, 'kv_bytes': 18432, 'link_mbps': 370000.0, 'stride': 10}
    services = [{'name': 'llm', 'health_path': '/healthz', 'max_conns': 290, 'engine': published}]
    return {**base, 'routes': routes, 'services': services}


async def run_overload(seed: int, plan: OverloadPlan) -> Callers:
    """Run one load on a new deployment and return what became of its callers."""
    runners = [engine(number + 1, 'prefill', speed=SLOW_ENGINE) for number in range(plan.prefill)]
    runners += [engine(number + 50, 'decode', speed=SLOW_ENGINE) for number in range(plan.decode)]
    async with open_bench(overload_configuration(), runners, fronts=FRONTS) as bench:
        load = Overload(bench, Random(seed))
        for runner in (*runners[: plan.lost], *runners[plan.prefill : plan.prefill + plan.lost]):
            bench.network.close(runner.address)
            bench.drop_registration(runner.key)
        await load.run(plan)
        return load.callers


def _long_tail(rng: Random, mean: float) -> float:
    return rng.lognormvariate(0, SIZE_SIGMA) * mean / 1.2


__all__ = ('LONG_TARGET_S', 'SHORT_TARGET_S', 'Callers', 'OverloadPlan', 'overload_configuration', 'run_overload')
