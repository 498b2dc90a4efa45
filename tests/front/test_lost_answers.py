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
from sesamepoint_core.serving.losses import HALF_S, LossMeter
from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import asked_prompt, configuration, engine
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import Asked, Seen

FRONTS = 8
ENGINES = 16
BAD = 4
LOSES = 0.4
BAD_S = 4.0
PER_FRONT = 8
CALM_S = 1.0
READERS = 6
LONG_PROMPTS = 60
LONG_A_SECOND = 25
LONG_TOKENS = 20_000
LONG_TARGET_S = 0.4
GOOD = 200


def _nothing_seen(*_: object) -> float:
    return 0


async def _ask(bed: PlatformBed, front: int, req: Asked, found: list[tuple[str, Seen]]) -> None:
    found.append((req.path, await bed.caller(f'front-{front}').ask(req)))


async def _send(bed: PlatformBed, front: int, rng: Random, found: list[tuple[str, Seen]]) -> None:
    async with trio.open_nursery() as nursery:
        with trio.move_on_after(CALM_S + BAD_S):
            while True:
                await trio.sleep(rng.expovariate(PER_FRONT))
                path = rng.choice(('/verdict/a', '/tag/a'))
                nursery.start_soon(_ask, bed, front, asked_prompt(path, tokens=300, output=5), found)


async def play_failed_reads(seed: int) -> list[Seen]:
    """Send long prompts while half of the prefill engines lose answers; return what callers saw."""
    answers: list[tuple[str, Seen]] = []
    prefill_engines = [engine(number, 'prefill') for number in range(1, READERS + 1)]
    runners = [*prefill_engines, *(engine(number, 'decode') for number in range(READERS + 1, 2 * READERS + 1))]
    async with running_bed(configuration(), runners, fronts=3) as bench:
        await trio.sleep(2)
        rng = Random(seed)
        for runner in prefill_engines[: READERS // 2]:
            runner.faults.loses = LOSES
        async with trio.open_nursery() as nursery:
            for _ in range(LONG_PROMPTS):
                await trio.sleep(rng.expovariate(LONG_A_SECOND))
                req = asked_prompt('/verdict/a', tokens=LONG_TOKENS, output=20)
                nursery.start_soon(_ask, bench, rng.randint(1, 3), req, answers)
    return [seen for _, seen in answers]


def _no_room(*_: object) -> bool:
    return False


async def play_losses(seed: int) -> list[tuple[str, Seen]]:
    """Run the load with losses; return what callers saw, by path."""
    answers: list[tuple[str, Seen]] = []
    runners = [engine(number, 'decode') for number in range(1, ENGINES + 1)]
    async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
        await trio.sleep(2)
        rng = Random(seed)
        async with trio.open_nursery() as nursery:
            for front in range(1, FRONTS + 1):
                nursery.start_soon(_send, bench, front, rng, answers)
            await trio.sleep(CALM_S)
            for runner in runners[:BAD]:
                runner.faults.loses = LOSES
    return answers


def unserved(found: list[tuple[str, Seen]], path: str) -> float:
    """Return the share of the requests of ``path`` that got no complete answer."""
    seen = [one for where, one in found if where == path]
    return sum(one.status != GOOD or not one.whole for one in seen) / len(seen)


class LostAnswersTest(TestCase):
    """What callers get while engines lose answers."""

    @virtual
    async def test_engines_that_lose_answers_are_avoided(self) -> None:
        """Guards against instances that keep sending to engines that lose answers.

        Each lost answer is announced to all instances, which send elsewhere
        within tenths of a second. Less than a third as many of the requests
        that must not run again are lost as without loss meters.
        """
        metered = [seen for seed in (1, 2) for seen in await play_losses(seed)]
        with patch.object(LossMeter, 'share', _nothing_seen):
            unmetered = [seen for seed in (1, 2) for seen in await play_losses(seed)]
        self.assertGreater(unserved(unmetered, '/verdict/a'), 0.05)
        self.assertLess(unserved(metered, '/verdict/a'), unserved(unmetered, '/verdict/a') / 3)

    @virtual
    async def test_lost_answers_are_asked_for_again(self) -> None:
        """Guards against resumable requests that are not retried at another engine.

        That engine may lose the answer too. Without loss meters, half as many
        of the resumable requests stay unanswered as of the others.
        """
        with patch.object(LossMeter, 'share', _nothing_seen):
            answers = await play_losses(3)
        self.assertLess(unserved(answers, '/tag/a'), 0.6 * unserved(answers, '/verdict/a'))

    @virtual
    async def test_lost_reads_are_done_again_apart(self) -> None:
        """Guards against late answers because failed remote prefills are not retried at prefill engines.

        Half of the prefill engines lose four answers in ten. Run whole at
        decode engines, at half the speed, the prompts delay each other: 16 of
        120 were late, and 2 when prefilled remotely again.
        """
        retried = await play_failed_reads(1) + await play_failed_reads(2)
        with patch.object(WindowBudget, 'spend', _no_room):
            whole = await play_failed_reads(1) + await play_failed_reads(2)
        late = [sum(seen.first_s > LONG_TARGET_S for seen in answers) for answers in (retried, whole)]
        self.assertTrue(all(seen.status == GOOD for seen in retried))
        self.assertLess(late[0], late[1] / 2)


class LossMeterTest(TestCase):
    """The expected loss share of an engine, from the answers seen."""

    def test_one_loss_is_little(self) -> None:
        """One lost answer may be the fault of the instance that missed it."""
        meter = LossMeter()
        meter.note(0, lost=True)
        self.assertAlmostEqual(meter.share(0), 0.2)

    def test_many_losses(self) -> None:
        """With many answers the expected share approaches the observed one."""
        meter = LossMeter()
        for number in range(20):
            meter.note(0, lost=number % 2 == 0)
        self.assertAlmostEqual(meter.share(0), 10 / 24)

    def test_fades(self) -> None:
        """Guards against an engine that is avoided forever: without new requests, its losses must decay."""
        meter = LossMeter()
        for _ in range(8):
            meter.note(0, lost=True)
        self.assertAlmostEqual(meter.share(4 * HALF_S), 0.5 / 4.5)
