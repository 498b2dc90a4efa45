"""Engines that run requests and lose a part of the answers.

The pattern is that of the larger of today's deployments: for 4 s every fourth engine loses
four answers in ten, as a reset, while its health is good. Requests come to each entry at eight a
second, so that it sends one to each engine every two seconds, and would learn which
ones lose answers when that is over. Half of the requests may go on elsewhere, half must not.
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
    """Have long prompts read while half of the engines that read lose answers; return what callers saw."""
    found: list[tuple[str, Seen]] = []
    readers = [engine(number, 'prefill') for number in range(1, READERS + 1)]
    runners = [*readers, *(engine(number, 'decode') for number in range(READERS + 1, 2 * READERS + 1))]
    async with running_bed(configuration(), runners, fronts=3) as bench:
        await trio.sleep(2)
        rng = Random(seed)
        for runner in readers[: READERS // 2]:
            runner.faults.loses = LOSES
        async with trio.open_nursery() as nursery:
            for _ in range(LONG_PROMPTS):
                await trio.sleep(rng.expovariate(LONG_A_SECOND))
                req = asked_prompt('/verdict/a', tokens=LONG_TOKENS, output=20)
                nursery.start_soon(_ask, bench, rng.randint(1, 3), req, found)
    return [seen for _, seen in found]


def _no_room(*_: object) -> bool:
    return False


async def play_losses(seed: int) -> list[tuple[str, Seen]]:
    """Play the pattern; return what callers saw, by path."""
    found: list[tuple[str, Seen]] = []
    runners = [engine(number, 'decode') for number in range(1, ENGINES + 1)]
    async with running_bed(configuration(), runners, fronts=FRONTS) as bench:
        await trio.sleep(2)
        rng = Random(seed)
        async with trio.open_nursery() as nursery:
            for front in range(1, FRONTS + 1):
                nursery.start_soon(_send, bench, front, rng, found)
            await trio.sleep(CALM_S)
            for runner in runners[:BAD]:
                runner.faults.loses = LOSES
    return found


def unserved(found: list[tuple[str, Seen]], path: str) -> float:
    """Return the share of the requests of ``path`` that got no whole answer."""
    seen = [one for where, one in found if where == path]
    return sum(one.status != GOOD or not one.whole for one in seen) / len(seen)


class LostAnswersTest(TestCase):
    """What callers get while engines lose answers."""

    @virtual
    async def test_engines_that_lose_answers_are_avoided(self) -> None:
        """All entries hear of each answer that was lost, and send elsewhere within tenths of a second.

        Of the requests that may not run again a third or less of those are
        lost that are when nobody is told.
        """
        known = [seen for seed in (1, 2) for seen in await play_losses(seed)]
        with patch.object(LossMeter, 'share', _nothing_seen):
            unknown = [seen for seed in (1, 2) for seen in await play_losses(seed)]
        self.assertGreater(unserved(unknown, '/verdict/a'), 0.05)
        self.assertLess(unserved(known, '/verdict/a'), unserved(unknown, '/verdict/a') / 3)

    @virtual
    async def test_lost_answers_are_asked_for_again(self) -> None:
        """What may go on elsewhere does, at another engine, which may lose the answer too.

        With nobody told which engines lose answers, half as many of those
        requests stay without one as of those that may not go on.
        """
        with patch.object(LossMeter, 'share', _nothing_seen):
            found = await play_losses(3)
        self.assertLess(unserved(found, '/tag/a'), 0.6 * unserved(found, '/verdict/a'))

    @virtual
    async def test_lost_reads_are_done_again_apart(self) -> None:
        """Half of the engines that read lose four answers in ten; other such engines read those prompts.

        Run whole, at engines that decode at half the speed, they keep each
        other waiting: 16 of 120 came late, and 2 read apart again.
        """
        again = await play_failed_reads(1) + await play_failed_reads(2)
        with patch.object(WindowBudget, 'spend', _no_room):
            whole = await play_failed_reads(1) + await play_failed_reads(2)
        late = [sum(seen.first_s > LONG_TARGET_S for seen in found) for found in (again, whole)]
        self.assertTrue(all(seen.status == GOOD for seen in again))
        self.assertLess(late[0], late[1] / 2)


class LossMeterTest(TestCase):
    """What is expected of an engine by what was seen."""

    def test_one_loss_is_little(self) -> None:
        """One lost answer may be the fault of the entry that missed it."""
        meter = LossMeter()
        meter.note(0, lost=True)
        self.assertAlmostEqual(meter.share(0), 0.2)

    def test_many_losses(self) -> None:
        meter = LossMeter()
        for number in range(20):
            meter.note(0, lost=number % 2 == 0)
        self.assertAlmostEqual(meter.share(0), 10 / 24)

    def test_fades(self) -> None:
        """An engine that nobody sends to shows nothing new; it is tried again after some seconds."""
        meter = LossMeter()
        for _ in range(8):
            meter.note(0, lost=True)
        self.assertAlmostEqual(meter.share(4 * HALF_S), 0.5 / 4.5)
