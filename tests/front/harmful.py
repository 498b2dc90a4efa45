"""Poison requests, which end the runners that run them, and ordinary requests sent at the same time."""

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
# The users' bound: from this many seconds after the third runner that ended under a
# request, at most three further sends of it may reach a runner.
KNOWN_S = 3.0
ENDED_BY_THEN = 3
FRONTS = 4
ENGINES = 6
# Engines that ended have started again after this time.
PAUSE_S = 4.0
SENT_LATER = 3
GOOD = 200
# Pause of a caller before a retry if the answer names none, and the longest pause that
# it keeps if the answer names one, in seconds.
SOON_S = 0.1
LONGEST_WAIT_S = 1.0


def harmful_prompt() -> Asked:
    """Return a new attempt of the prompt that ends engines."""
    return asked_prompt('/tag/a')._replace(parts=(('s1', 90), ('harmful', 300)), body=HARMFUL)


def harmful_fetch() -> Asked:
    """Return a new attempt of the request that ends plain runners."""
    return asked('/thumb/harmful', body=HARMFUL)


def all_end_on_it(runners: Iterable[RunnerStandIn]) -> list[RunnerStandIn]:
    """Have each of ``runners`` end when it begins to run a poison request; return them."""
    listed = list(runners)
    for runner in listed:
        runner.ends_on = HARMFUL
    return listed


def sends_of_it(bed: PlatformBed) -> list[Run]:
    """Return the sends of poison requests that reached a runner, in order of time."""
    runs = [run for runner in bed.runners.values() for run in runner.runs if run.message.body == HARMFUL]
    return sorted(runs, key=_started)


def sent_later(bed: PlatformBed) -> int:
    """Return how many sends of poison requests reached a runner after the time allowed for detection."""
    if len(bed.ended) < ENDED_BY_THEN:
        return 0
    detected_at = bed.ended[ENDED_BY_THEN - 1].at + KNOWN_S
    return sum(run.started > detected_at for run in sends_of_it(bed))


def engines(count: int = ENGINES) -> list[RunnerStandIn]:
    """Return decode engines that end when they run a poison request."""
    return all_end_on_it(engine(number, 'decode') for number in range(1, count + 1))


async def ask_again(bed: PlatformBed, fronts: Iterable[str], req: Asked, found: list[Seen]) -> None:
    """Send ``req`` to ``fronts`` in turn until it gets a whole answer, and add the last answer to ``found``.

    Between attempts it pauses for the time that the answer names.
    """
    answer = None
    for number, front in enumerate(fronts):
        answer = await bed.caller(front).ask(req._replace(request_id=f'{req.request_id}-{number}'))
        if answer.status == GOOD and answer.whole:
            break
        await trio.sleep(min(answer.retry_after_s or SOON_S, LONGEST_WAIT_S))
    if answer is not None:
        found.append(answer)


async def ask_all(bed: PlatformBed, fronts: Iterable[str], req: Asked) -> list[Seen]:
    """Send ``req`` to all ``fronts`` at the same moment, each time under another id; return the answers."""
    answers: list[Seen] = []

    async def ask(front: str, number: int) -> None:
        attempt = req._replace(request_id=f'{req.request_id}-{number}')
        answers.append(await bed.caller(front).ask(attempt))

    async with trio.open_nursery() as nursery:
        for number, front in enumerate(fronts):
            nursery.start_soon(ask, front, number)
    return answers


async def ask_sound(bed: PlatformBed, rng: Random, found: list[Seen], nursery: trio.Nursery) -> None:
    """Send 300 ordinary requests, 40 per second."""
    for number in range(300):
        fronts = [f'front-{rng.randint(1, FRONTS)}' for _ in range(6)]
        req = asked_prompt('/tag/a', output=20)._replace(body=f'sound {number}'.encode())
        nursery.start_soon(ask_again, bed, fronts, req, found)
        await trio.sleep(rng.expovariate(40))


async def ask_beside(bed: PlatformBed, rng: Random, found: list[Seen], nursery: trio.Nursery) -> None:
    """Send ordinary requests, and three poison requests at random times among them."""
    nursery.start_soon(ask_sound, bed, rng, found, nursery)
    for _ in range(3):
        await trio.sleep(rng.uniform(0, 2))
        fronts = [f'front-{rng.randint(1, FRONTS)}' for _ in range(3)]
        nursery.start_soon(ask_again, bed, fronts, harmful_prompt(), [])


async def ask_often(bed: PlatformBed, found: list[Seen], nursery: trio.Nursery) -> None:
    """Send the same ordinary request from 300 callers in 0.6 s."""
    for number in range(300):
        fronts = [f'front-{number % len(bed.fronts) + 1}' for _ in range(3)]
        nursery.start_soon(ask_again, bed, fronts, asked('/thumb/often'), found)
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
