"""Engines that run requests and lose a share of the answers.

The load is that of the larger of the two deployments: for 4 s every fourth engine loses four answers
in ten by a connection reset, while its health checks pass. Each instance gets eight requests a
second, so it sends one to each engine every two seconds, and alone would find out which ones lose
answers when the loss is over. Half of the requests may be resumed at another engine, half must not.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint_core.admit.window_budget import WindowBudget
from sesamepoint_core.serving.loss_meter import HALF_LIFE_S, LossMeter
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, engine, new_prompt_request
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

FRONTS = 8
ENGINES = 16
LOSSY_ENGINES = 4
LOSS_SHARE = 0.4
LOSSY_S = 4.0
RATE_PER_FRONT = 8
CALM_S = 1.0
PREFILL_ENGINES = 6
LONG_PROMPTS = 60
LONG_PER_S = 25
LONG_TOKENS = 20_000
LONG_TARGET_S = 0.4
STATUS_OK = 200


def _no_losses(*_: object) -> float:
    return 0


async def _ask(bench: PlatformBench, front: int, req: RequestSpec, answers: list[tuple[str, CallerAnswer]]) -> None:
    answers.append((req.path, await bench.new_caller(f'front-{front}').send(req)))


async def _send(bench: PlatformBench, front: int, rng: Random, answers: list[tuple[str, CallerAnswer]]) -> None:
    async with trio.open_nursery() as nursery:
        with trio.move_on_after(CALM_S + LOSSY_S):
            while True:
                await trio.sleep(rng.expovariate(RATE_PER_FRONT))
                path = rng.choice(('/verdict/a', '/tag/a'))
                nursery.start_soon(_ask, bench, front, new_prompt_request(path, tokens=300, output=5), answers)


async def run_failed_prefills(seed: int) -> list[CallerAnswer]:
    """Send long prompts while half of the prefill engines lose answers; return what callers saw."""
    answers: list[tuple[str, CallerAnswer]] = []
    prefill_engines = [engine(number, 'prefill') for number in range(1, PREFILL_ENGINES + 1)]
    runners = [
        *prefill_engines,
        *(engine(number, 'decode') for number in range(PREFILL_ENGINES + 1, 2 * PREFILL_ENGINES + 1)),
    ]
    async with open_bench(configuration(), runners, fronts=3) as bench:
        await trio.sleep(2)
        rng = Random(seed)
        for runner in prefill_engines[: PREFILL_ENGINES // 2]:
            runner.faults.loses = LOSS_SHARE
        async with trio.open_nursery() as nursery:
            for _ in range(LONG_PROMPTS):
                await trio.sleep(rng.expovariate(LONG_PER_S))
                req = new_prompt_request('/verdict/a', tokens=LONG_TOKENS, output=20)
                nursery.start_soon(_ask, bench, rng.randint(1, 3), req, answers)
    return [seen for _, seen in answers]


def _no_budget(*_: object) -> None:
    """Grant nothing."""


async def run_losses(seed: int) -> list[tuple[str, CallerAnswer]]:
    """Run the load with losses; return what callers saw, by path."""
    answers: list[tuple[str, CallerAnswer]] = []
    runners = [engine(number, 'decode') for number in range(1, ENGINES + 1)]
    async with open_bench(configuration(), runners, fronts=FRONTS) as bench:
        await trio.sleep(2)
        rng = Random(seed)
        async with trio.open_nursery() as nursery:
            for front in range(1, FRONTS + 1):
                nursery.start_soon(_send, bench, front, rng, answers)
            await trio.sleep(CALM_S)
            for runner in runners[:LOSSY_ENGINES]:
                runner.faults.loses = LOSS_SHARE
    return answers


def unserved_share(answers: list[tuple[str, CallerAnswer]], path: str) -> float:
    """Return the share of the requests of ``path`` that got no complete answer."""
    seen = [one for where, one in answers if where == path]
    return sum(one.status != STATUS_OK or not one.complete for one in seen) / len(seen)


class LostAnswersTest(TestCase):
    """What callers get while engines lose answers."""

    @in_virtual_time
    async def test_lossy_engines_avoided(self) -> None:
        """Guards against instances that keep sending to engines that lose answers.

        Each lost answer is announced to all instances, which send elsewhere
        within tenths of a second. Less than a third as many of the requests
        that must not run again are lost as without loss meters.
        """
        metered = [seen for seed in (1, 2) for seen in await run_losses(seed)]
        with patch.object(LossMeter, 'share', _no_losses):
            unmetered = [seen for seed in (1, 2) for seen in await run_losses(seed)]
        self.assertGreater(unserved_share(unmetered, '/verdict/a'), 0.05)
        self.assertLess(unserved_share(metered, '/verdict/a'), unserved_share(unmetered, '/verdict/a') / 3)

    @in_virtual_time
    async def test_lost_answers_retried(self) -> None:
        """Guards against resumable requests that are not retried at another engine.

        That engine may lose the answer too. Without loss meters, half as many
        of the resumable requests stay unanswered as of the others.
        """
        with patch.object(LossMeter, 'share', _no_losses):
            answers = await run_losses(3)
        self.assertLess(unserved_share(answers, '/tag/a'), 0.6 * unserved_share(answers, '/verdict/a'))

    @in_virtual_time
    async def test_failed_remote_prefills_retried(self) -> None:
        """Guards against late answers because failed remote prefills are not retried at prefill engines.

        Half of the prefill engines lose four answers in ten. Run whole at
        decode engines, at half the speed, the prompts delay each other: 16 of
        120 were late, and 2 when prefilled remotely again.
        """
        retried = await run_failed_prefills(1) + await run_failed_prefills(2)
        with patch.object(WindowBudget, 'spend', _no_budget):
            whole = await run_failed_prefills(1) + await run_failed_prefills(2)
        late = [sum(seen.first_byte_s > LONG_TARGET_S for seen in answers) for answers in (retried, whole)]
        self.assertTrue(all(seen.status == STATUS_OK for seen in retried))
        self.assertLess(late[0], late[1] / 2)


class LossMeterTest(TestCase):
    """The expected loss share of an engine, from the answers seen."""

    def test_one_loss_counts_little(self) -> None:
        """One lost answer may be the fault of the instance that missed it."""
        meter = LossMeter()
        meter.observe(0, lost=True)
        self.assertAlmostEqual(meter.share(0), 0.2)

    def test_many_losses(self) -> None:
        """With many answers the expected share approaches the observed one."""
        meter = LossMeter()
        for number in range(20):
            meter.observe(0, lost=number % 2 == 0)
        self.assertAlmostEqual(meter.share(0), 10 / 24)

    def test_decays(self) -> None:
        """Guards against an engine that is avoided forever: without new requests, its losses must decay."""
        meter = LossMeter()
        for _ in range(8):
            meter.observe(0, lost=True)
        self.assertAlmostEqual(meter.share(4 * HALF_LIFE_S), 0.5 / 4.5)
