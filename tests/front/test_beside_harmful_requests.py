"""Sound requests that were at a runner when another request ended it.

A runner's end breaks off all that it runs, and for none of that it can be told at once which has caused it. What
callers see: their answer breaks off, perhaps a second time where the harmful request was sent next; then they are
answered. None but the harmful request may be refused for it, and ends that no request caused count against none.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front.trials import Trials
from sesamepoint_standins.platform.bed import running_bed
from tests.front.builders import asked, asked_prompt, configuration, engine, plain_runner
from tests.front.harmful import (
    ENDED_BY_THEN,
    FRONTS,
    GOOD,
    PAUSE_S,
    ask_again,
    ask_all,
    ask_beside,
    ask_often,
    engines,
)
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import Seen

SEEDS = (1, 2)
# A round trip and some.
AT_ONCE_S = 0.02
# Two answers of 0.4 s, a look, and the wait for what is ahead at one engine.
LATEST_S = 1.5


class BesideItTest(TestCase):
    """Sound requests that were at a runner when it ended."""

    @virtual
    async def test_sound_requests_keep_their_retry(self) -> None:
        """Four engines serve sound requests when the harmful one comes, again and again.

        Whatever ran beside it loses its answer, some requests more than once. All of them are asked for again, and none
        is taken for the harmful one: with engines up, all are answered in the end.
        """
        for seed in SEEDS:
            async with running_bed(configuration(), engines(4), fronts=FRONTS) as bed:
                found: list[Seen] = []
                async with trio.open_nursery() as nursery:
                    await ask_beside(bed, Random(seed), found, nursery)
                with self.subTest(seed=seed):
                    self.assertGreaterEqual(len(bed.ended), ENDED_BY_THEN)
                    self.assertEqual([seen for seen in found if seen.status != GOOD or not seen.whole], [])

    @virtual
    async def test_twin_tried_together(self) -> None:
        """Tried at one runner at the same time, a sound request is taken for the harmful one."""
        found: list[Seen] = []
        together = patch.object(Trials, 'won', return_value=True), patch.object(Trials, 'taken', return_value=False)
        with together[0], together[1]:
            async with running_bed(configuration(), engines(4), fronts=FRONTS) as bed, trio.open_nursery() as nursery:
                await ask_beside(bed, Random(1), found, nursery)
        self.assertNotEqual([seen for seen in found if seen.status != GOOD], [])

    @virtual
    async def test_asked_often_while_three_runners_end(self) -> None:
        """Many callers ask for one thing, and the three runners that serve it end at once, by a fault of their own.

        Ends that came together tell nothing: when runners are back it is tried alone, answered, and served to all.
        """
        runners = [plain_runner(number) for number in range(1, 4)]
        async with running_bed(configuration(), runners, fronts=2) as bed:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_often, bed, [], nursery)
                await trio.sleep(0.25)
                for runner in runners:
                    bed.end_runner(runner)
            await trio.sleep(PAUSE_S)
            seen = await ask_all(bed, [*bed.fronts, *bed.fronts], asked('/thumb/often'))
            self.assertEqual({one.status for one in seen}, {GOOD})

    @virtual
    async def test_answers_lost_at_runners_that_live(self) -> None:
        """A runner may lose answers, as a reset, and live: nobody is to blame for an end that there was not."""
        runners = [plain_runner(number) for number in range(1, 4)]
        async with running_bed(configuration(), runners, fronts=2) as bed:
            for runner in runners:
                runner.faults.breaks_before_answer = True
            for _ in range(4):
                await bed.caller('front-1').ask(asked('/thumb/unlucky'))
            for runner in runners:
                runner.faults.breaks_before_answer = False
            seen = await bed.caller('front-1').ask(asked('/thumb/unlucky'))
            self.assertEqual(seen.status, GOOD)
            self.assertAlmostEqual(seen.took_s, runners[0].work_s, delta=AT_ONCE_S)

    @virtual
    async def test_retry_while_no_connection_comes_about(self) -> None:
        """All connections of a runner break, and its network lets no new one through, nor refuses it.

        Whether it has ended can't be told. Its requests don't wait behind each other's looks: all get their
        retry after one.
        """
        runners = [engine(number, 'decode') for number in (1, 2)]
        async with running_bed(configuration(), runners, fronts=1) as bed:
            found: list[Seen] = []
            async with trio.open_nursery() as nursery:
                for number in range(24):
                    req = asked_prompt('/tag/a', output=10)._replace(body=f'sound {number}'.encode())
                    nursery.start_soon(ask_again, bed, ['front-1'], req, found)
                await trio.sleep(0.15)
                front = bed.fronts['front-1'].cfg.host
                bed.network.cut.add(frozenset((front, runners[0].address.host)))
                bed.network.reset_all(runners[0].address.host)
            self.assertEqual({seen.status for seen in found}, {GOOD})
            self.assertLess(max(seen.took_s for seen in found), LATEST_S)

    @virtual
    async def test_at_runners_that_leave(self) -> None:
        """Runners that have said that they leave end with requests on them; those are not to blame.

        The caller's first attempt loses two engines, the second one a third; the fourth engine answers it.
        """
        runners = [engine(number, 'decode') for number in range(1, 5)]
        async with running_bed(configuration(), runners, fronts=1) as bed:
            req = asked_prompt('/tag/a', output=60)._replace(body=b'long')
            found: list[Seen] = []
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask_again, bed, ['front-1', 'front-1'], req, found)
                for _ in runners[:3]:
                    await trio.sleep(0.3)
                    busy = next(one for one in runners if one.running)
                    bed.drain_runner(busy.key)
                    await trio.sleep(0.5)
                    bed.end_runner(busy)
            self.assertEqual((found[0].status, found[0].whole), (GOOD, True))
