"""Comparison of ways to take answers that end with their connection and may or may not be whole.

Run: python -m benchmarks.unmarked_ends [SEEDS]

Runners frame all their answers by the end of the connection. Some crash, and the system closes their connections in
order; others leave as planned; others break single streams off between two events and live on.
"""

from __future__ import annotations

import sys
from contextlib import ExitStack
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import trio

from sesamepoint_core.body_end.body_facts import BodyKind, Framing, ReadEnd
from sesamepoint_core.body_end.decision import BreakCause, BrokenOff, Complete, settle
from sesamepoint.front.requests import attempt
from sesamepoint.front.runners.connection_pool import ConnectionPool
from sesamepoint.front.runners.fleet_member import Member
from sesamepoint_standins.platform.bench import open_bench
from sesamepoint_standins.platform.framed_answer import Cut
from sesamepoint_standins.platform.runner_answers import stream_event
from sesamepoint_standins.virtual_time import disable_logging, run_virtual
from tests.front.builders import configuration, engine, new_prompt_request, new_request, plain_runner, route

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from sesamepoint_core.body_end.decision import Unmarked
    from sesamepoint.http1.client import ClientConn
    from sesamepoint_standins.platform.bench import PlatformBench
    from sesamepoint_standins.platform.caller import CallerAnswer, RequestSpec
    from sesamepoint_standins.platform.runner import RunnerStandIn

    Settle = Callable[..., Complete | BrokenOff]

LAST_SEED = 4
LOAD_S = 30.0
INTERVAL_S = 0.02
RUNNERS = 6
CRASH_PERIOD_S = 1.5
LEAVE_PERIOD_S = 4.0
BREAK_PERIOD_S = 0.7
LEAVE_GRACE_S = 1.0
OK = 200
MS_PER_S = 1000
# All of one length, so that the events of all streams are.
REQUEST_ID = 'b{0:06d}'
PATHS = ('/resume/a', '/never/a', '/card/a', '/thumb/a')

disable_logging()


class Ends(NamedTuple):
    """Counts of answers of one load.

    Parameters
    ----------
    short
        Those that are framed as complete and are not whole.
    lost
        Those whose callers got no whole answer.
    connections
        Connections to runners that were opened, those to look at a runner included.
    """

    requests: int = 0
    short: int = 0
    lost: int = 0
    runs: int = 0
    connections: int = 0
    took_s: float = 0

    def plus(self, other: Ends) -> Ends:
        """Return the sums."""
        return Ends(*(mine + theirs for mine, theirs in zip(self, other, strict=True)))  # type: ignore[arg-type]


def _believe(end: Unmarked, *, sender_ended: bool) -> Complete | BrokenOff:
    return Complete(end.facts)


def _believe_events(end: Unmarked, *, sender_ended: bool) -> Complete | BrokenOff:
    return settle(end, sender_ended=False)


def _look_only(end: Unmarked, *, sender_ended: bool) -> Complete | BrokenOff:
    return BrokenOff(end.facts, BreakCause.sender_ended) if sender_ended else Complete(end.facts)


def _never(end: Unmarked, *, sender_ended: bool) -> Complete | BrokenOff:
    return BrokenOff(end.facts, BreakCause.connection)


def _doubt_streams(end: Unmarked, *, sender_ended: bool) -> Complete | BrokenOff:
    if end.facts.kind is BodyKind.events:
        return BrokenOff(end.facts, BreakCause.connection)
    return Complete(end.facts)


async def _not_looked(member: Member, since: float = 0) -> bool:
    return False


# The rule, and whether it looks at the runner.
WAYS: Mapping[str, tuple[Settle, bool]] = MappingProxyType(
    {
        'believe': (_believe, False),
        'believe a stream with an event': (_believe_events, False),
        'believe if the runner lives': (_look_only, True),
        'both (in use)': (settle, True),
        'no stream is believed': (_doubt_streams, False),
        'nothing is believed': (_never, False),
    }
)


class Load:
    """Requests of all kinds while runners crash, leave and break streams off."""

    def __init__(self, bench: PlatformBench, seed: int) -> None:
        """Draw all faults from ``seed``."""
        self.ends = Ends()
        self._bench = bench
        self._rng = Random(seed)

    async def run(self) -> Ends:
        """Run the load."""
        async with trio.open_nursery() as nursery:
            for period_s, fault in (
                (CRASH_PERIOD_S, self._crash),
                (LEAVE_PERIOD_S, self._leave),
                (BREAK_PERIOD_S, self._break_stream),
            ):
                nursery.start_soon(self._repeat, period_s, fault)
            async with trio.open_nursery() as requests:
                for number in range(int(LOAD_S / INTERVAL_S)):
                    requests.start_soon(self._request, PATHS[number % len(PATHS)], REQUEST_ID.format(number))
                    await trio.sleep(INTERVAL_S)
            nursery.cancel_scope.cancel()
        return self.ends

    async def _request(self, path: str, request_id: str) -> None:
        streamed = path in PATHS[:2]
        spec = new_prompt_request(path) if streamed else new_request(path, deadline_s=1.0)
        spec = spec._replace(request_id=request_id)
        answer = await self._bench.new_caller('front-1').send(spec)
        self.ends = self.ends.plus(_count(spec, answer))

    async def _repeat(self, period_s: float, fault: Callable[[], Awaitable[None]]) -> None:
        while True:
            await trio.sleep(self._rng.uniform(0, 2 * period_s))
            await fault()

    def _pick(self) -> RunnerStandIn:
        sound = [
            runner for runner in self._bench.runners.values() if not runner.draining and not runner.key.endswith('+')
        ]
        return self._rng.choice(sound or list(self._bench.runners.values()))

    async def _crash(self) -> None:
        await trio.sleep(0)
        runner = self._pick()
        self._bench.network.close(runner.address)
        self._bench.network.close_all(runner.address.host)
        await trio.sleep(0.3)
        self._bench.network.listen(runner.address, runner.serve)

    async def _leave(self) -> None:
        runner = self._pick()
        self._bench.drain_runner(runner.key)
        await trio.sleep(LEAVE_GRACE_S)
        while runner.running:
            await trio.sleep(0.001)
        # It ends as soon as its last answer has.
        self._bench.network.close(runner.address)
        self._bench.network.close_all(runner.address.host)
        await trio.sleep(1)
        runner.draining = False
        self._bench.add_runner(runner)

    async def _break_stream(self) -> None:
        await trio.sleep(0)
        runner = self._pick()
        if runner.stage and not runner.habits.cuts:
            size = len(stream_event(REQUEST_ID.format(0), 1))
            runner.habits.cuts.append(Cut(size * self._rng.randrange(3), ReadEnd.closed))


def _count(spec: RequestSpec, answer: CallerAnswer) -> Ends:
    whole = answer.body == spec.expected_body
    complete = answer.status == OK and answer.complete
    return Ends(
        requests=1,
        short=int(complete and not whole),
        lost=int(not (complete and whole)),
        took_s=answer.took_s,
    )


def _configuration() -> dict[str, object]:
    base = configuration()
    streams = [
        route(name, f'/{name}/', 'llm', 'streaming', resumable=name == 'resume', gap_aim_ms=150)
        for name in ('resume', 'never')
    ]
    return {**base, 'routes': [*streams, *base['routes'][2:]]}


async def run_way(way: str, seed: int) -> Ends:
    """Run one load with one way."""
    rule, looks = WAYS[way]
    opened: list[float] = []
    connect = ConnectionPool._connect  # noqa: SLF001

    async def counted(pool: ConnectionPool, allowed_s: float) -> ClientConn:
        opened.append(allowed_s)
        return await connect(pool, allowed_s)

    runners = [
        *(engine(number, 'decode', framing=Framing.until_close) for number in range(1, RUNNERS + 1)),
        *(plain_runner(number, framing=Framing.until_close) for number in range(1, RUNNERS + 1)),
    ]
    with ExitStack() as patches:
        patches.enter_context(patch.object(attempt, 'settle', rule))
        patches.enter_context(patch.object(ConnectionPool, '_connect', counted))
        if not looks:
            patches.enter_context(patch.object(Member, 'has_ended', _not_looked))
        async with open_bench(_configuration(), runners) as bench:
            ends = await Load(bench, seed).run()
            runs = sum(len(runner.runs) for runner in runners)
    return ends._replace(runs=runs, connections=len(opened))


def main() -> None:
    """Print one line for each way."""
    last_seed = int(sys.argv[1]) if len(sys.argv) > 1 else LAST_SEED
    for way in WAYS:
        total = Ends()
        for seed in range(1, last_seed + 1):
            total = total.plus(run_virtual(run_way, way, seed))
        mean_ms = MS_PER_S * total.took_s / total.requests
        sys.stdout.write(
            f'{way}: {total.requests} requests, {total.short} short and framed as complete, '
            f'{total.lost} without a whole answer, {total.runs} runs, {total.connections} connections, '
            f'{mean_ms:.1f} ms each\n'
        )


if __name__ == '__main__':
    main()
