"""Requests that end the runners that run them, and those that happen to be beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.front.builders import asked, asked_prompt, engine

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Asked, Seen
    from sesamepoint_standins.platform.runner import Run, RunnerStandIn

HARMFUL = b'{"prompt": "ends its runner"}'
# Users count the ends of runners under a request; later than this after the
# third, in seconds, at most three further sends of it may reach a runner.
KNOWN_S = 3.0
ENDED_BY_THEN = 3
FRONTS = 4
ENGINES = 6
# Engines are back when the caller comes again.
PAUSE_S = 4.0
SENT_LATER = 3
GOOD = 200
# Callers come back after this time if they are told nothing, and heed no more
# than that of what they are told, in seconds.
SOON_S = 0.1
LONGEST_WAIT_S = 1.0


def harmful_prompt() -> Asked:
    """Return the next attempt of the caller whose prompt ends engines."""
    return asked_prompt('/tag/a')._replace(parts=(('s1', 90), ('harmful', 300)), body=HARMFUL)


def harmful_fetch() -> Asked:
    """Return the next attempt of the caller whose request ends plain runners."""
    return asked('/thumb/harmful', body=HARMFUL)


def all_end_on_it(runners: Iterable[RunnerStandIn]) -> list[RunnerStandIn]:
    """Let each of ``runners`` end when it begins to run the harmful request."""
    found = list(runners)
    for runner in found:
        runner.ends_on = HARMFUL
    return found


def sends_of_it(bed: PlatformBed) -> list[Run]:
    """Return all sends of the harmful request that reached a runner, in order of time."""
    runs = [run for runner in bed.runners.values() for run in runner.runs if run.message.body == HARMFUL]
    return sorted(runs, key=_started)


def sent_later(bed: PlatformBed) -> int:
    """Return how many sends of it reached a runner when all had had the time to know of it."""
    if len(bed.ended) < ENDED_BY_THEN:
        return 0
    known_at = bed.ended[ENDED_BY_THEN - 1].at + KNOWN_S
    return sum(run.started > known_at for run in sends_of_it(bed))


def engines(count: int = ENGINES) -> list[RunnerStandIn]:
    """Return engines that end on the harmful request."""
    return all_end_on_it(engine(number, 'decode') for number in range(1, count + 1))


async def ask_again(bed: PlatformBed, fronts: Iterable[str], req: Asked, found: list[Seen]) -> None:
    """Send ``req`` to one of ``fronts`` after the other until it is answered whole, as its caller is told."""
    seen = None
    for number, front in enumerate(fronts):
        seen = await bed.caller(front).ask(req._replace(request_id=f'{req.request_id}-{number}'))
        if seen.status == GOOD and seen.whole:
            break
        await trio.sleep(min(seen.retry_after_s or SOON_S, LONGEST_WAIT_S))
    if seen is not None:
        found.append(seen)


async def ask_all(bed: PlatformBed, fronts: Iterable[str], req: Asked) -> list[Seen]:
    """Send ``req`` to each of ``fronts`` at the same moment, each time under another id."""
    seen: list[Seen] = []

    async def ask(front: str, number: int) -> None:
        again = req._replace(request_id=f'{req.request_id}-{number}')
        seen.append(await bed.caller(front).ask(again))

    async with trio.open_nursery() as nursery:
        for number, front in enumerate(fronts):
            nursery.start_soon(ask, front, number)
    return seen


async def ask_sound(bed: PlatformBed, rng: Random, found: list[Seen], nursery: trio.Nursery) -> None:
    """Send 300 sound requests, 40 a second."""
    for number in range(300):
        where = [f'front-{rng.randint(1, FRONTS)}' for _ in range(6)]
        req = asked_prompt('/tag/a', output=20)._replace(body=f'sound {number}'.encode())
        nursery.start_soon(ask_again, bed, where, req, found)
        await trio.sleep(rng.expovariate(40))


async def ask_beside(bed: PlatformBed, rng: Random, found: list[Seen], nursery: trio.Nursery) -> None:
    """Send sound requests, and a harmful one now and then."""
    nursery.start_soon(ask_sound, bed, rng, found, nursery)
    for _ in range(3):
        await trio.sleep(rng.uniform(0, 2))
        where = [f'front-{rng.randint(1, FRONTS)}' for _ in range(3)]
        nursery.start_soon(ask_again, bed, where, harmful_prompt(), [])


async def ask_often(bed: PlatformBed, found: list[Seen], nursery: trio.Nursery) -> None:
    """Have many callers ask for the same thing, 300 in 0.6 s."""
    for number in range(300):
        where = [f'front-{number % len(bed.fronts) + 1}' for _ in range(3)]
        nursery.start_soon(ask_again, bed, where, asked('/thumb/often'), found)
        await trio.sleep(0.002)


def _started(run: Run) -> float:
    return run.started


__all__ = (
    'ENDED_BY_THEN',
    'ENGINES',
    'FRONTS',
    'GOOD',
    'HARMFUL',
    'PAUSE_S',
    'SENT_LATER',
    'all_end_on_it',
    'ask_again',
    'ask_all',
    'ask_beside',
    'ask_often',
    'ask_sound',
    'engines',
    'harmful_fetch',
    'harmful_prompt',
    'sends_of_it',
    'sent_later',
)
