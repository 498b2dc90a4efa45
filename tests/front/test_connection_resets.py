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

from sesamepoint.front.requests import retries
from sesamepoint_standins.platform.bench import PlatformBench, open_bench
from tests.front.builders import configuration, fleet, new_prompt_request, new_request
from tests.virtual_time import in_virtual_time

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec

FRONT_HOST = '10.1.0.1'
CALLER_PREFIX = '10.2.'
RUNNER_PREFIXES = ('10.3.', '10.4.')
STORE_PREFIX = '10.9.'
STATUS_OK = 200
NOT_RUN_STATUSES = frozenset((429, 503))
# These reach from the first packet to past the last event of the longest answer in this test.
RESET_TIMES_S = tuple(0.0011 + 0.013 * number for number in range(24))
# Runners must have ended all runs of the request within this time.
MAX_CLEANUP_S = 0.5


class RequestKind(NamedTuple):
    """A kind of request; ``repeatable`` tells whether it may run more than once."""

    path: str
    tokens: int
    repeatable: bool

    def build_request(self) -> RequestSpec:
        """Return a new request of this kind."""
        if self.tokens:
            return new_prompt_request(self.path, tokens=self.tokens, output=4)
        return new_request(self.path)


REQUEST_KINDS = (
    RequestKind('/verdict/a', 9000, repeatable=False),
    RequestKind('/verdict/a', 300, repeatable=False),
    RequestKind('/tag/a', 300, repeatable=True),
    RequestKind('/card/a', 0, repeatable=False),
    RequestKind('/thumb/a', 0, repeatable=True),
)


def two_attempt_configuration() -> dict[str, Any]:
    """Return a configuration with two attempts for all routes, so that only the rule to run once forbids a second."""
    base = configuration()
    return {**base, 'routes': [{**route, 'max_attempts': 2} for route in base['routes']]}


def _always_true(_: object) -> bool:
    return True


async def send_during_resets(
    bench: PlatformBench, req: RequestSpec, host_prefixes: tuple[str, ...], pauses_s: tuple[float, ...]
) -> CallerAnswer:
    """Send ``req``, and reset connections to hosts with one of ``host_prefixes`` after each of ``pauses_s``."""
    answers: list[CallerAnswer] = []

    async def ask() -> None:
        answers.append(await bench.new_caller('front-1').send(req))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        for pause_s in pauses_s:
            await trio.sleep(pause_s)
            for prefix in host_prefixes:
                bench.network.reset_all(FRONT_HOST, prefix)
    return answers[0]


class ConnectionResetTest(TestCase):
    """Resets of each kind of connection, for each kind of request, at all stages."""

    @in_virtual_time
    async def test_caller_connections(self) -> None:
        """The caller's connection breaks, and the caller may retry over a new one."""
        await self._reset_at_all_times((CALLER_PREFIX,))

    @in_virtual_time
    async def test_runner_connections(self) -> None:
        """The caller gets an answer, and a successful one if another runner may run the request."""
        for kind, answer in await self._reset_at_all_times(RUNNER_PREFIXES, further_pauses_s=()):
            self.assertTrue(answer.complete or answer.status == STATUS_OK, kind)
            if kind.repeatable:
                self.assertEqual((answer.status, answer.complete), (STATUS_OK, True), kind)

    @in_virtual_time
    async def test_runner_connections_twice(self) -> None:
        """The connection of the second attempt is reset too; there is no third attempt, but an answer."""
        for kind, answer in await self._reset_at_all_times(RUNNER_PREFIXES):
            self.assertTrue(answer.complete or answer.status == STATUS_OK, kind)

    @in_virtual_time
    async def test_store_connections(self) -> None:
        """Callers are not affected."""
        for kind, answer in await self._reset_at_all_times((STORE_PREFIX,)):
            self.assertEqual((answer.status, answer.complete), (STATUS_OK, True), kind)

    @in_virtual_time
    async def test_all_connections(self) -> None:
        """All connections are reset at once, as when the link of an instance flaps."""
        await self._reset_at_all_times((CALLER_PREFIX, *RUNNER_PREFIXES, STORE_PREFIX))

    @in_virtual_time
    async def test_faulty_variant_repeats_all(self) -> None:
        """The checks fail if a front retries a request that may run only once."""
        with patch.object(retries, 'repeatable', _always_true), self.assertRaises(ExceptionGroup):
            await self._reset_at_all_times(RUNNER_PREFIXES, further_pauses_s=())

    async def _reset_at_all_times(
        self, host_prefixes: tuple[str, ...], further_pauses_s: tuple[float, ...] = (0.02,)
    ) -> list[tuple[RequestKind, CallerAnswer]]:
        answers = []
        async with open_bench(two_attempt_configuration(), fleet()) as bench:
            for kind in REQUEST_KINDS:
                for at_s in RESET_TIMES_S:
                    req = kind.build_request()
                    answer = await send_during_resets(bench, req, host_prefixes, (at_s, *further_pauses_s))
                    await trio.sleep(MAX_CLEANUP_S)
                    self._check(bench, kind, req, answer)
                    answers.append((kind, answer))
                    next_answer = await bench.new_caller('front-1').send(new_request('/thumb/a'))
                    self.assertEqual(next_answer.status, STATUS_OK, (kind, at_s))
        return answers

    def _check(self, bench: PlatformBench, kind: RequestKind, req: RequestSpec, answer: CallerAnswer) -> None:
        runs = [run for runner in bench.runners.values() for run in runner.runs if run.request_id == req.request_id]
        final_runs = [run for run in runs if not run.prefill]
        self.assertEqual([run for run in runs if run.ended_at is None], [], kind)
        if not kind.repeatable:
            self.assertLessEqual(len(final_runs), 1, kind)
        if answer.status in NOT_RUN_STATUSES:
            self.assertEqual(final_runs, [], kind)
        if answer.complete and answer.status == STATUS_OK:
            self.assertEqual(answer.body, req.expected_body, kind)
