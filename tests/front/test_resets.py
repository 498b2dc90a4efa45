"""Connection resets at every stage of a request.

The connections to callers, to runners, to the store, or all of them are reset at once. In each
case, a request that may run only once runs at most once, no incomplete answer looks complete,
"not run" is true, no runner still works on the request 0.5 s later, and the next request is served.
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
# These reach from the first packet to past the last event of the longest answer in this test.
MOMENTS_S = tuple(0.0011 + 0.013 * number for number in range(24))
# Runners must have ended all runs of the request within this time.
LEFT_S = 0.5


class Kind(NamedTuple):
    """A kind of request; ``again`` tells whether it may run more than once."""

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
    """Return a configuration with two attempts for all routes, so that only the rule to run once forbids a second."""
    base = configuration()
    return {**base, 'routes': [{**route, 'max_attempts': 2} for route in base['routes']]}


def _always(_: object) -> bool:
    return True


async def ask_through_resets(bed: PlatformBed, req: Asked, far: tuple[str, ...], pauses_s: tuple[float, ...]) -> Seen:
    """Send ``req``, and reset connections to hosts that begin with one of ``far`` after each of ``pauses_s``."""
    answers: list[Seen] = []

    async def ask() -> None:
        answers.append(await bed.caller('front-1').ask(req))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        for pause_s in pauses_s:
            await trio.sleep(pause_s)
            for prefix in far:
                bed.network.reset_all(FRONT, prefix)
    return answers[0]


class ResetTest(TestCase):
    """Resets of each kind of connection, for each kind of request, at all stages."""

    @virtual
    async def test_to_callers(self) -> None:
        """The caller's connection breaks, and the caller may retry over a new one."""
        await self._sweep((CALLERS,))

    @virtual
    async def test_to_runners(self) -> None:
        """The caller gets an answer, and a successful one if another runner may run the request."""
        for kind, answer in await self._sweep(RUNNERS, again_s=()):
            self.assertTrue(answer.whole or answer.status == GOOD, kind)
            if kind.again:
                self.assertEqual((answer.status, answer.whole), (GOOD, True), kind)

    @virtual
    async def test_to_runners_twice(self) -> None:
        """The connection of the second attempt is reset too; there is no third attempt, but an answer."""
        for kind, answer in await self._sweep(RUNNERS):
            self.assertTrue(answer.whole or answer.status == GOOD, kind)

    @virtual
    async def test_to_the_store(self) -> None:
        """Callers are not affected."""
        for kind, answer in await self._sweep((STORE,)):
            self.assertEqual((answer.status, answer.whole), (GOOD, True), kind)

    @virtual
    async def test_all(self) -> None:
        """All connections are reset at once, as when the link of an instance flaps."""
        await self._sweep((CALLERS, *RUNNERS, STORE))

    @virtual
    async def test_twin_sends_all_again(self) -> None:
        """The checks fail if a front retries a request that may run only once."""
        with patch.object(tries, 'repeatable', _always), self.assertRaises(ExceptionGroup):
            await self._sweep(RUNNERS, again_s=())

    async def _sweep(self, far: tuple[str, ...], again_s: tuple[float, ...] = (0.02,)) -> list[tuple[Kind, Seen]]:
        answers = []
        async with running_bed(two_attempts(), fleet()) as bench:
            for kind in KINDS:
                for at_s in MOMENTS_S:
                    req = kind.ask()
                    answer = await ask_through_resets(bench, req, far, (at_s, *again_s))
                    await trio.sleep(LEFT_S)
                    self._check(bench, kind, req, answer)
                    answers.append((kind, answer))
                    next_answer = await bench.caller('front-1').ask(asked('/thumb/a'))
                    self.assertEqual(next_answer.status, GOOD, (kind, at_s))
        return answers

    def _check(self, bed: PlatformBed, kind: Kind, req: Asked, seen: Seen) -> None:
        runs = [run for runner in bed.runners.values() for run in runner.runs if run.request_id == req.request_id]
        final_runs = [run for run in runs if not run.prefill]
        self.assertEqual([run for run in runs if run.ended is None], [], kind)
        if not kind.again:
            self.assertLessEqual(len(final_runs), 1, kind)
        if seen.status in PROMISES_NOT_RUN:
            self.assertEqual(final_runs, [], kind)
        if seen.whole and seen.status == GOOD:
            self.assertEqual(seen.body, req.expected, kind)
