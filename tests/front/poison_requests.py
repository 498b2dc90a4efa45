"""Poison requests, which end the runners that run them, and ordinary requests sent at the same time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from tests.front.builders import engine, new_prompt_request, new_request

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec
    from sesamepoint_standins.platform.runner import RunnerStandIn
    from sesamepoint_standins.platform.runner_state import Run

POISON_BODY = b'{"prompt": "ends its runner"}'
# The users' bound: from this many seconds after the third runner that ended under a
# request, at most three further sends of it may reach a runner.
DETECTION_S = 3.0
ENDS_UNTIL_DETECTION = 3
FRONTS = 4
ENGINES = 6
# Engines that ended have started again after this time.
RESTART_WAIT_S = 4.0
MAX_SENDS_AFTER_DETECTION = 3
STATUS_OK = 200
# Pause of a caller before a retry if the answer names none, and the longest pause that
# it keeps if the answer names one, in seconds.
DEFAULT_RETRY_S = 0.1
MAX_RETRY_S = 1.0


def poison_prompt() -> RequestSpec:
    """Return a new attempt of the prompt that ends engines."""
    return new_prompt_request('/tag/a')._replace(parts=(('s1', 90), ('harmful', 300)), body=POISON_BODY)


def poison_plain_request() -> RequestSpec:
    """Return a new attempt of the request that ends plain runners."""
    return new_request('/thumb/harmful', body=POISON_BODY)


def end_on_poison(runners: Iterable[RunnerStandIn]) -> list[RunnerStandIn]:
    """Have each of ``runners`` end when it begins to run a poison request; return them."""
    listed = list(runners)
    for runner in listed:
        runner.crash_marker = POISON_BODY
    return listed


def poison_sends(bench: PlatformBench) -> list[Run]:
    """Return the sends of poison requests that reached a runner, in order of time."""
    runs = [run for runner in bench.runners.values() for run in runner.runs if run.message.body == POISON_BODY]
    return sorted(runs, key=_start_time)


def sends_after_detection(bench: PlatformBench) -> int:
    """Return how many sends of poison requests reached a runner after the time allowed for detection."""
    if len(bench.crashes) < ENDS_UNTIL_DETECTION:
        return 0
    detected_at = bench.crashes[ENDS_UNTIL_DETECTION - 1].at + DETECTION_S
    return sum(run.started_at > detected_at for run in poison_sends(bench))


def engines_ending_on_poison(count: int = ENGINES) -> list[RunnerStandIn]:
    """Return decode engines that end when they run a poison request."""
    return end_on_poison(engine(number, 'decode') for number in range(1, count + 1))


async def ask_until_answered(
    bench: PlatformBench, fronts: Iterable[str], req: RequestSpec, answers: list[CallerAnswer]
) -> None:
    """Send ``req`` to ``fronts`` in turn until it gets a whole answer, and add the last answer to ``answers``.

    Between attempts it pauses for the time that the answer names.
    """
    answer = None
    for number, front in enumerate(fronts):
        answer = await bench.new_caller(front).send(req._replace(request_id=f'{req.request_id}-{number}'))
        if answer.status == STATUS_OK and answer.complete:
            break
        await trio.sleep(min(answer.retry_after_s or DEFAULT_RETRY_S, MAX_RETRY_S))
    if answer is not None:
        answers.append(answer)


async def ask_concurrently(bench: PlatformBench, fronts: Iterable[str], req: RequestSpec) -> list[CallerAnswer]:
    """Send ``req`` to all ``fronts`` at the same moment, each time under another id; return the answers."""
    answers: list[CallerAnswer] = []

    async def ask(front: str, number: int) -> None:
        attempt = req._replace(request_id=f'{req.request_id}-{number}')
        answers.append(await bench.new_caller(front).send(attempt))

    async with trio.open_nursery() as nursery:
        for number, front in enumerate(fronts):
            nursery.start_soon(ask, front, number)
    return answers


async def ask_ordinary(bench: PlatformBench, rng: Random, answers: list[CallerAnswer], nursery: trio.Nursery) -> None:
    """Send 300 ordinary requests, 40 per second."""
    for number in range(300):
        fronts = [f'front-{rng.randint(1, FRONTS)}' for _ in range(6)]
        req = new_prompt_request('/tag/a', output=20)._replace(body=f'sound {number}'.encode())
        nursery.start_soon(ask_until_answered, bench, fronts, req, answers)
        await trio.sleep(rng.expovariate(40))


async def ask_mixed(bench: PlatformBench, rng: Random, answers: list[CallerAnswer], nursery: trio.Nursery) -> None:
    """Send ordinary requests, and three poison requests at random times among them."""
    nursery.start_soon(ask_ordinary, bench, rng, answers, nursery)
    for _ in range(3):
        await trio.sleep(rng.uniform(0, 2))
        fronts = [f'front-{rng.randint(1, FRONTS)}' for _ in range(3)]
        nursery.start_soon(ask_until_answered, bench, fronts, poison_prompt(), [])


async def ask_same_request(bench: PlatformBench, answers: list[CallerAnswer], nursery: trio.Nursery) -> None:
    """Send the same ordinary request from 300 callers in 0.6 s."""
    for number in range(300):
        fronts = [f'front-{number % len(bench.fronts) + 1}' for _ in range(3)]
        nursery.start_soon(ask_until_answered, bench, fronts, new_request('/thumb/often'), answers)
        await trio.sleep(0.002)


def _start_time(run: Run) -> float:
    return run.started_at


__all__ = (
    'ENDS_UNTIL_DETECTION',
    'ENGINES',
    'FRONTS',
    'MAX_SENDS_AFTER_DETECTION',
    'POISON_BODY',
    'RESTART_WAIT_S',
    'STATUS_OK',
    'ask_concurrently',
    'ask_mixed',
    'ask_ordinary',
    'ask_same_request',
    'ask_until_answered',
    'end_on_poison',
    'engines_ending_on_poison',
    'poison_plain_request',
    'poison_prompt',
    'poison_sends',
    'sends_after_detection',
)
