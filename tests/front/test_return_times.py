"""Requests that arrive while no runner is known: how long they wait, and their Retry-After."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from unittest import TestCase

import trio

from sesamepoint_standins.platform.bed import PlatformBed
from tests.front.builders import asked, asked_prompt, configuration, fleet
from tests.virtual import virtual

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# How long the store shows the configuration but no runners, as after a loss of all
# instances while some answers of the store were lost.
AWAY_S = 2.0
START_S = 0.1


class RestartTest(TestCase):
    """All instances restart, and are up before the list of runners is available."""

    @virtual
    async def test_restart_without_runners(self) -> None:
        """A caller that retries once is served, although the front knows no runner at first.

        Guards against an immediate refusal with a Retry-After of 0.1 s: the retry came too
        early and was refused too. The request waits up to 1 s, and Retry-After is a third of its time.
        """
        async with restarted(AWAY_S) as bench:
            first = await bench.caller('front-1').ask(asked_prompt('/tag/a', deadline_s=8.0))
            self.assertEqual(first.status, 503)
            self.assertLess(first.took_s, 1.1)
            self.assertGreater(first.retry_after_s or 0, 2.0)
            await trio.sleep(first.retry_after_s or 0)
            second = await bench.caller('front-1').ask(asked_prompt('/tag/a', deadline_s=5.0))
            self.assertEqual((second.status, second.whole), (200, True))

    @virtual
    async def test_restart_with_little_time(self) -> None:
        """A request with a deadline of 1 s can't be served, and is refused after a third of that."""
        async with restarted(AWAY_S) as bench:
            answer = await bench.caller('front-1').ask(asked('/card/a', deadline_s=1.0))
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.took_s, 0.35)
            self.assertAlmostEqual(answer.retry_after_s or 0, 0.22, places=2)

    @virtual
    async def test_restart_soon_over(self) -> None:
        """The list of runners arrives while a request waits whose caller can't retry: it is served."""
        async with restarted(0.4) as bench:
            answer = await bench.caller('front-1').ask(asked_prompt('/tag/a', deadline_s=3.0))
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertLess(answer.first_s, 0.6)


@asynccontextmanager
async def restarted(away_s: float) -> AsyncIterator[PlatformBed]:
    """Start a front with a configuration, and add the runners ``away_s`` seconds later."""
    async with trio.open_nursery() as nursery:
        bench = PlatformBed(nursery)
        bench.publish(configuration())
        bench.add_front(1)
        await trio.sleep(START_S)
        nursery.start_soon(_register_later, bench, away_s)
        yield bench
        nursery.cancel_scope.cancel()


async def _register_later(bed: PlatformBed, away_s: float) -> None:
    await trio.sleep(away_s)
    for runner in fleet():
        bed.add_runner(runner)
