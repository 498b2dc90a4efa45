"""All connections of a front are reset, at any moment of a request.

The caller may lose its connection, the front those to runners or to the store, or all of
them at once. Whatever was under way, a request that may run once runs once at the most,
no answer looks whole that isn't, "not run" is true, engines are at work for nobody
half a second later, and the next request is served.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple
from unittest import TestCase
from unittest.mock import patch

import trio

from sesamepoint.front import tries
from sesamepoint_standins.platform.bed import PlatformBed, running_bed
from tests.front.builders import asked, asked_prompt, configuration, fleet
from tests.virtual import virtual

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import Asked, Seen

FRONT = '10.1.0.1'
CALLERS = '10.2.'
RUNNERS = ('10.3.', '10.4.')
STORE = '10.9.'
GOOD = 200
PROMISES_NOT_RUN = frozenset((429, 503))
# From the first packet to past the last event of the longest answer here.
MOMENTS_S = tuple(0.0011 + 0.013 * number for number in range(24))
# Within this time nothing may be left at runners.
LEFT_S = 0.5


class Kind(NamedTuple):
    """A kind of request; ``again`` if it may run more than once."""

    path: str
    tokens: int
    again: bool

    def ask(self) -> Asked:
        """Return a new request of this kind."""
        if self.tokens:
            return asked_prompt(self.path, tokens=self.tokens, output=4)
        return asked(self.path)


KINDS = (
    Kind('/verdict/a', 9000, again=False),
    Kind('/verdict/a', 300, again=False),
    Kind('/tag/a', 300, again=True),
    Kind('/card/a', 0, again=False),
    Kind('/thumb/a', 0, again=True),
)


def two_attempts() -> dict[str, Any]:
    """Return a configuration whose routes all allow two attempts: only what may run once forbids the second."""
    base = configuration()
    return {**base, 'routes': [{**route, 'max_attempts': 2} for route in base['routes']]}


def _always(_: object) -> bool:
    return True


async def ask_through_resets(bed: PlatformBed, req: Asked, far: tuple[str, ...], pauses_s: tuple[float, ...]) -> Seen:
    """Ask, with connections to ``far`` reset after each of ``pauses_s``."""
    found: list[Seen] = []

    async def ask() -> None:
        found.append(await bed.caller('front-1').ask(req))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        for pause_s in pauses_s:
            await trio.sleep(pause_s)
            for prefix in far:
                bed.network.reset_all(FRONT, prefix)
    return found[0]


class ResetTest(TestCase):
    """Each kind of request, each far end, moments from the first packet to the last."""

    @virtual
    async def test_to_callers(self) -> None:
        """The caller sees its connection break, and may ask again by a new one."""
        await self._sweep((CALLERS,))

    @virtual
    async def test_to_runners(self) -> None:
        """The caller's connection holds: it gets an answer, and a good one if another runner may give it."""
        for kind, seen in await self._sweep(RUNNERS, again_s=()):
            self.assertTrue(seen.whole or seen.status == GOOD, kind)
            if kind.again:
                self.assertEqual((seen.status, seen.whole), (GOOD, True), kind)

    @virtual
    async def test_to_runners_twice(self) -> None:
        """The second runner's connection is reset too: there is no third try, but an answer."""
        for kind, seen in await self._sweep(RUNNERS):
            self.assertTrue(seen.whole or seen.status == GOOD, kind)

    @virtual
    async def test_to_the_store(self) -> None:
        """No caller notices."""
        for kind, seen in await self._sweep((STORE,)):
            self.assertEqual((seen.status, seen.whole), (GOOD, True), kind)

    @virtual
    async def test_all(self) -> None:
        """All connections at once, as when an instance's link flaps."""
        await self._sweep((CALLERS, *RUNNERS, STORE))

    @virtual
    async def test_twin_sends_all_again(self) -> None:
        """A front that sends again what may run once: the checks see it."""
        with patch.object(tries, 'repeatable', _always), self.assertRaises(ExceptionGroup):
            await self._sweep(RUNNERS, again_s=())

    async def _sweep(self, far: tuple[str, ...], again_s: tuple[float, ...] = (0.02,)) -> list[tuple[Kind, Seen]]:
        found = []
        async with running_bed(two_attempts(), fleet()) as bed:
            for kind in KINDS:
                for at_s in MOMENTS_S:
                    req = kind.ask()
                    seen = await ask_through_resets(bed, req, far, (at_s, *again_s))
                    await trio.sleep(LEFT_S)
                    self._check(bed, kind, req, seen)
                    found.append((kind, seen))
                    following = await bed.caller('front-1').ask(asked('/thumb/a'))
                    self.assertEqual(following.status, GOOD, (kind, at_s))
        return found

    def _check(self, bed: PlatformBed, kind: Kind, req: Asked, seen: Seen) -> None:
        runs = [run for runner in bed.runners.values() for run in runner.runs if run.request_id == req.request_id]
        ran = [run for run in runs if not run.prefill]
        self.assertEqual([run for run in runs if run.ended is None], [], kind)
        if not kind.again:
            self.assertLessEqual(len(ran), 1, kind)
        if seen.status in PROMISES_NOT_RUN:
            self.assertEqual(ran, [], kind)
        if seen.whole and seen.status == GOOD:
            self.assertEqual(seen.body, req.expected, kind)
