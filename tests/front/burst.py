"""A burst of long prompts at five instances, whose callers retry once.

The load is that of the busiest 1.4 s of the smaller of the present deployments: 94 long
prompts per second (13,300 tokens in one of 140 shared prefixes, 3,720 tokens of their own)
and 50 short ones, on two prefill and four decode engines that prefill 112,000 tokens per
second. With cached prefixes the load needs 4.2 engine seconds per second, of 4 available;
with uncached ones three times as much, so not all requests can be on time. The first event
is on time within 0.4 s for long prompts and 0.25 s for short ones; callers disconnect after
2 s without a first event.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import trio

from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, engine, new_prompt_request

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

BURST_S = 1.4
LONG_PER_S = 94
SHORT_PER_S = 50
SHARED_PREFIXES = 140
LONG_TARGET_S = 0.4
SHORT_TARGET_S = 0.25
FIRST_EVENT_TIMEOUT_S = 2.0
FRONTS = 5
STATUS_REFUSED = 503


class AnsweredRequest(NamedTuple):
    """A request, its last answer, and the refusals before or in place of it."""

    request: RequestSpec
    answer: CallerAnswer
    refusals: list[CallerAnswer]


async def send_burst(bench: PlatformBench, rng: Random) -> tuple[list[AnsweredRequest], list[AnsweredRequest]]:
    """Send the burst to ``bench`` and return the long and the short requests."""
    long: list[AnsweredRequest] = []
    short: list[AnsweredRequest] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_at_rate, bench, rng, long, LONG_PER_S)
        nursery.start_soon(_send_at_rate, bench, rng, short, SHORT_PER_S)
    return long, short


async def _send_at_rate(bench: PlatformBench, rng: Random, answered: list[AnsweredRequest], rate: float) -> None:
    async with trio.open_nursery() as nursery:
        started_at = trio.current_time()
        while trio.current_time() - started_at < BURST_S:
            await trio.sleep(rng.expovariate(rate))
            nursery.start_soon(_ask_with_retry, bench, rng.randint(1, FRONTS), _request(rng, rate), answered)


def _request(rng: Random, rate: float) -> RequestSpec:
    if rate == LONG_PER_S:
        return long_prompt(rng)
    return new_prompt_request(
        '/tag/a',
        tokens=290,
        shared_prefix=('common', 90),
        output=5,
        deadline_s=3.0,
        first_limit_s=FIRST_EVENT_TIMEOUT_S,
    )


def long_prompt(rng: Random, **changes: Any) -> RequestSpec:
    """Return a request with a long prompt that begins with a random one of the shared prefixes."""
    prefix = rng.randint(1, SHARED_PREFIXES)
    return new_prompt_request(
        '/verdict/a',
        tokens=3720,
        shared_prefix=(f'k{prefix}', 13_300),
        output=12,
        deadline_s=5.0,
        first_limit_s=FIRST_EVENT_TIMEOUT_S,
        **changes,
    )


async def _ask_with_retry(bench: PlatformBench, front: int, req: RequestSpec, answered: list[AnsweredRequest]) -> None:
    """Send ``req`` and retry once after a refusal, at the next instance and at the time that the refusal names.

    The time to the first event counts from the first attempt.
    """
    started_at = trio.current_time()
    answer = await bench.new_caller(f'front-{front}').send(req)
    refusals = [answer] if answer.status == STATUS_REFUSED else []
    if answer.status == STATUS_REFUSED:
        await trio.sleep(answer.retry_after_s or 0)
        retried_after_s = trio.current_time() - started_at
        req = req._replace(request_id=f'{req.request_id}b', deadline_s=req.deadline_s - retried_after_s)
        answer = await bench.new_caller(f'front-{front % FRONTS + 1}').send(req)
        answer = answer._replace(first_byte_s=retried_after_s + answer.first_byte_s)
    answered.append(AnsweredRequest(req, answer, refusals))


def served_share(answered: list[AnsweredRequest], within_s: float) -> float:
    """Return the share of requests that got a whole answer whose first event came within ``within_s`` seconds."""
    return sum(
        one.answer.complete and one.answer.status == 200 and one.answer.first_byte_s <= within_s for one in answered
    ) / len(answered)


async def run_burst(seed: int) -> tuple[list[AnsweredRequest], list[AnsweredRequest]]:
    """Run the burst on a new deployment and return the long and the short requests."""
    runners = [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 7)]
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
        return await send_burst(bench, Random(seed))


__all__ = (
    'FRONTS',
    'LONG_TARGET_S',
    'SHORT_TARGET_S',
    'STATUS_REFUSED',
    'AnsweredRequest',
    'long_prompt',
    'run_burst',
    'send_burst',
    'served_share',
)
