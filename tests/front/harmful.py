"""Requests that end the runners that run them, and those that happen to be beside them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.front.builders import asked, asked_prompt

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sesamepoint_standins.platform.bed import PlatformBed
    from sesamepoint_standins.platform.caller import Asked, Seen
    from sesamepoint_standins.platform.runner import Run, RunnerStandIn

HARMFUL = b'{"prompt": "ends its runner"}'
# Users count the ends of runners under a request; later than this after the
# third, in seconds, at most three further sends of it may reach a runner.
KNOWN_S = 3.0
ENDED_BY_THEN = 3
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


def _started(run: Run) -> float:
    return run.started


__all__ = (
    'ENDED_BY_THEN',
    'HARMFUL',
    'SENT_LATER',
    'all_end_on_it',
    'ask_again',
    'ask_all',
    'harmful_fetch',
    'harmful_prompt',
    'sends_of_it',
    'sent_later',
)
