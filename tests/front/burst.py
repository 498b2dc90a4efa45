"""A burst of long prompts before five fronts, and callers that come back once.

The pattern is the busiest 1.4 s of the smaller of today's deployments: 94 long
prompts a second (13,300 shared tokens of 140 kinds, 3,720 of their own) beside 50
short ones, on two prefill and four decode engines that read 112,000 tokens a
second. Known parts need 4.2 engine seconds a second of 4; unknown ones three times
as much, so not all can be on time. Long answers are on time within 0.4 s, short ones
within 0.25 s; callers leave after 2 s without a first event.
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
    """A request and what came of it."""

    asked: Asked
    seen: Seen
    refusals: list[Seen]


async def play(bed: PlatformBed, rng: Random) -> tuple[list[Answered], list[Answered]]:
    """Play the burst and return the long and the short requests."""
    long: list[Answered] = []
    short: list[Answered] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, bed, rng, long, LONG_A_SECOND)
        nursery.start_soon(_send, bed, rng, short, SHORT_A_SECOND)
    return long, short


async def _send(bed: PlatformBed, rng: Random, found: list[Answered], rate: float) -> None:
    async with trio.open_nursery() as nursery:
        started = trio.current_time()
        while trio.current_time() - started < BURST_S:
            await trio.sleep(rng.expovariate(rate))
            nursery.start_soon(_ask, bed, rng.randint(1, FRONTS), _request(rng, rate), found)


def _request(rng: Random, rate: float) -> Asked:
    if rate == LONG_A_SECOND:
        return long_prompt(rng)
    return asked_prompt(
        '/tag/a', tokens=290, shared=('common', 90), output=5, deadline_s=3.0, first_limit_s=FIRST_LIMIT_S
    )


def long_prompt(rng: Random, **changes: Any) -> Asked:
    """Return a long request, whose shared part is of one of the kinds."""
    kind = rng.randint(1, KINDS)
    return asked_prompt(
        '/verdict/a',
        tokens=3720,
        shared=(f'k{kind}', 13_300),
        output=12,
        deadline_s=5.0,
        first_limit_s=FIRST_LIMIT_S,
        **changes,
    )


async def _ask(bed: PlatformBed, front: int, req: Asked, found: list[Answered]) -> None:
    """Ask, and come back once when told so; the first event counts from the first try."""
    started = trio.current_time()
    seen = await bed.caller(f'front-{front}').ask(req)
    refusals = [seen] if seen.status == REFUSED else []
    if seen.status == REFUSED:
        await trio.sleep(seen.retry_after_s or 0)
        came_back_s = trio.current_time() - started
        req = req._replace(request_id=f'{req.request_id}b', deadline_s=req.deadline_s - came_back_s)
        seen = await bed.caller(f'front-{front % FRONTS + 1}').ask(req)
        seen = seen._replace(first_s=came_back_s + seen.first_s)
    found.append(Answered(req, seen, refusals))


def served(found: list[Answered], within_s: float) -> float:
    """Return the share whose first event came in time."""
    return sum(one.seen.whole and one.seen.status == 200 and one.seen.first_s <= within_s for one in found) / len(found)


async def play_burst(seed: int) -> tuple[list[Answered], list[Answered]]:
    """Play the burst on a new deployment and return the long and the short requests."""
    runners = [engine(number, 'prefill' if number < 3 else 'decode') for number in range(1, 7)]
    async with running_bed(configuration(), runners, fronts=FRONTS) as bed:
        return await play(bed, Random(seed))


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
