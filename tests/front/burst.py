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

from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import asked_prompt, configuration, engine

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import Asked, Seen

BURST_S = 1.4
LONG_A_SECOND = 94
SHORT_A_SECOND = 50
KINDS = 140
LONG_TARGET_S = 0.4
SHORT_TARGET_S = 0.25
FIRST_LIMIT_S = 2.0
FRONTS = 5
REFUSED = 503


class Answered(NamedTuple):
    """A request, its last answer, and the refusals before or in place of it."""

    asked: Asked
    seen: Seen
    refusals: list[Seen]


async def play(bed: PlatformBed, rng: Random) -> tuple[list[Answered], list[Answered]]:
    """Send the burst to ``bed`` and return the long and the short requests."""
    long: list[Answered] = []
    short: list[Answered] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, bed, rng, long, LONG_A_SECOND)
        nursery.start_soon(_send, bed, rng, short, SHORT_A_SECOND)
    return long, short


async def _send(bed: PlatformBed, rng: Random, found: list[Answered], rate: float) -> None:
    async with trio.open_nursery() as nursery:
        started_at = trio.current_time()
        while trio.current_time() - started_at < BURST_S:
            await trio.sleep(rng.expovariate(rate))
            nursery.start_soon(_ask, bed, rng.randint(1, FRONTS), _request(rng, rate), found)


def _request(rng: Random, rate: float) -> Asked:
    if rate == LONG_A_SECOND:
        return long_prompt(rng)
    return asked_prompt(
        '/tag/a', tokens=290, shared=('common', 90), output=5, deadline_s=3.0, first_limit_s=FIRST_LIMIT_S
    )


def long_prompt(rng: Random, **changes: Any) -> Asked:
    """Return a request with a long prompt that begins with a random one of the shared prefixes."""
    prefix = rng.randint(1, KINDS)
    return asked_prompt(
        '/verdict/a',
        tokens=3720,
        shared=(f'k{prefix}', 13_300),
        output=12,
        deadline_s=5.0,
        first_limit_s=FIRST_LIMIT_S,
        **changes,
    )


async def _ask(bed: PlatformBed, front: int, req: Asked, found: list[Answered]) -> None:
    """Send ``req`` and retry once after a refusal, at the next instance and at the time that the refusal names.

    The time to the first event counts from the first attempt.
    """
    started_at = trio.current_time()
    answer = await bed.caller(f'front-{front}').ask(req)
    refusals = [answer] if answer.status == REFUSED else []
    if answer.status == REFUSED:
        await trio.sleep(answer.retry_after_s or 0)
        retried_after_s = trio.current_time() - started_at
        req = req._replace(request_id=f'{req.request_id}b', deadline_s=req.deadline_s - retried_after_s)
        answer = await bed.caller(f'front-{front % FRONTS + 1}').ask(req)
        answer = answer._replace(first_s=retried_after_s + answer.first_s)
    found.append(Answered(req, answer, refusals))


def served(found: list[Answered], within_s: float) -> float:
    """Return the share of requests that got a whole answer whose first event came within ``within_s`` seconds."""
    return sum(one.seen.whole and one.seen.status == 200 and one.seen.first_s <= within_s for one in found) / len(found)


async def play_burst(seed: int) -> tuple[list[Answered], list[Answered]]:
    """Run the burst on a new deployment and return the long and the short requests."""
    runners = [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 7)]
    async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
        return await play(bench, Random(seed))


__all__ = (
    'FRONTS',
    'LONG_TARGET_S',
    'REFUSED',
    'SHORT_TARGET_S',
    'Answered',
    'long_prompt',
    'play',
    'play_burst',
    'served',
)
