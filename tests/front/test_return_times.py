"""Callers that come while no runner is known: kept for a while, told when to come back."""

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

# The store shows the configuration, and no runners for so long: measured
# after a loss of all entries while a part of the store's answers went missing.
AWAY_S = 2.0
START_S = 0.1


class RestartTest(TestCase):
    """All entries are lost; they are back before the list of runners is."""

    @virtual
    async def test_restart_without_runners(self) -> None:
        """Callers come to a front that knows no runner, and may come back once.

        Refused at once and told to come back after 0.1 s, they found it as
        before and were never served. Kept for a second and told to come back
        after a third of their time, they are.
        """
        async with restarted(AWAY_S) as bed:
            first = await bed.caller('front-1').ask(asked_prompt('/tag/a', deadline_s=8.0))
            self.assertEqual(first.status, 503)
            self.assertLess(first.took_s, 1.1)
            self.assertGreater(first.retry_after_s or 0, 2.0)
            await trio.sleep(first.retry_after_s or 0)
            again = await bed.caller('front-1').ask(asked_prompt('/tag/a', deadline_s=5.0))
            self.assertEqual((again.status, again.whole), (200, True))

    @virtual
    async def test_restart_with_little_time(self) -> None:
        """A caller with a second left can't be served; it is told so after a third of that."""
        async with restarted(AWAY_S) as bed:
            seen = await bed.caller('front-1').ask(asked('/card/a', deadline_s=1.0))
            self.assertEqual(seen.status, 503)
            self.assertLess(seen.took_s, 0.35)
            self.assertAlmostEqual(seen.retry_after_s or 0, 0.22, places=2)

    @virtual
    async def test_restart_soon_over(self) -> None:
        """The list comes while a caller waits, whose return is spent: it is served."""
        async with restarted(0.4) as bed:
            seen = await bed.caller('front-1').ask(asked_prompt('/tag/a', deadline_s=3.0))
            self.assertEqual((seen.status, seen.whole), (200, True))
            self.assertLess(seen.first_s, 0.6)


@asynccontextmanager
async def restarted(away_s: float) -> AsyncIterator[PlatformBed]:
    """Start a front with a configuration, and the runners ``away_s`` later."""
    async with trio.open_nursery() as nursery:
        bed = PlatformBed(nursery)
        bed.publish(configuration())
        bed.add_front(1)
        await trio.sleep(START_S)
        nursery.start_soon(_register_later, bed, away_s)
        yield bed
        nursery.cancel_scope.cancel()


async def _register_later(bed: PlatformBed, away_s: float) -> None:
    await trio.sleep(away_s)
    for runner in fleet():
        bed.add_runner(runner)
