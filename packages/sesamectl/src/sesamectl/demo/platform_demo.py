"""Demo on the users' platform: two front processes, one of them stopped under load."""

from __future__ import annotations

import signal
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.units import MS_PER_S
from sesamepoint_standins.platform.caller import RequestSpec
from sesamepoint_standins.platform.process_bench import ProcessBench, new_caller, open_process_bench

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import CallerAnswer

HOST = 'boats.example'
CALLERS = 4
LOAD_S = 3.0
PAUSE_S = 0.05
STOP_LIMIT_S = 30.0
# Tokens of the shared prefix block, and of the own block of a long and of a short
# prompt: about the mean of the smaller of today's deployments.
SHARED_BLOCK = ('survey', 13_000)
LONG_BLOCK_TOKENS = 3700
SHORT_BLOCK_TOKENS = 290
DEADLINE_S = 5.0
LIMITS = {  # noqa: WPS407
    'max_header_bytes': 16384,
    'max_body_bytes': 100000,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class PlatformDemoReport(NamedTuple):
    """Lines of the report, and whether all answers were whole and correct."""

    lines: tuple[str, ...]
    passed: bool


async def run_platform_demo() -> PlatformDemoReport:
    """Serve all kinds of request at two front processes, and stop one of them meanwhile."""
    found: defaultdict[str, list[CallerAnswer]] = defaultdict(list)
    wrong: list[str] = []
    with tempfile.TemporaryDirectory() as directory:
        async with open_process_bench(_configuration(), Path(directory), fronts=2) as bed:
            await _run_load(bed, found, wrong)
    return PlatformDemoReport((*_table(found), *wrong), not wrong)


def _table(answers_by_kind: dict[str, list[CallerAnswer]]) -> list[str]:
    rows = [
        f'{kind:10} sent {len(seen):4}   p50 {_median_ms(seen):4.0f} ms'
        for kind, seen in sorted(answers_by_kind.items())
    ]
    return [
        *rows,
        'one of two front processes was stopped under load; answers cut off or wrong follow, if any',
    ]


async def _run_load(
    bench: ProcessBench, answers_by_kind: defaultdict[str, list[CallerAnswer]], failures: list[str]
) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(_call, bench, number, answers_by_kind, failures)
        await trio.sleep(LOAD_S / 2)
        bench.fronts[0].process.send_signal(signal.SIGTERM)
        with trio.fail_after(STOP_LIMIT_S):
            await bench.fronts[0].process.wait()


async def _call(
    bench: ProcessBench, caller_index: int, answers_by_kind: defaultdict[str, list[CallerAnswer]], failures: list[str]
) -> None:
    started = trio.current_time()
    count = 0
    while trio.current_time() - started < LOAD_S:
        for kind in ('verdict', 'tag', 'card', 'thumb'):
            count += 1
            # Callers of the first front process switch to the second when it is stopped.
            front = bench.fronts[0 if caller_index % 2 and trio.current_time() - started < LOAD_S / 2 else 1]
            asked = _build_request(kind, f'{kind}-{caller_index}-{count}')
            seen = await new_caller(front).send(asked)
            answers_by_kind[kind].append(seen)
            if (seen.status, seen.body, seen.complete) != (200, asked.expected_body, True):
                failures.append(f'{asked.request_id}: status {seen.status}, whole {seen.complete}')
        await trio.sleep(PAUSE_S)


def _build_request(kind: str, request_id: str) -> RequestSpec:
    if kind in {'card', 'thumb'}:
        return RequestSpec(request_id, HOST, f'/{kind}/a', deadline_s=DEADLINE_S)
    own = LONG_BLOCK_TOKENS if kind == 'verdict' else SHORT_BLOCK_TOKENS
    return RequestSpec(
        request_id, HOST, f'/{kind}/a', deadline_s=DEADLINE_S, parts=(SHARED_BLOCK, (request_id, own)), output=8
    )


def _configuration() -> dict[str, object]:
    engine = {'slots': 24, 'kv_tokens': 548319, 'kv_bytes': 18432, 'link_mbps': 370000.0}
    return {
        'version': 1,
        'routes': [
            _route('verdict', 'llm', 'streaming'),
            _route('tag', 'llm', 'streaming'),
            _route('card', 'web', 'non_idempotent'),
            _route('thumb', 'web', 'idempotent'),
        ],
        'services': [{'name': 'llm', 'max_conns': 200, 'engine': engine}, {'name': 'web', 'max_conns': 100}],
        'limits': LIMITS,
    }


def _route(name: str, service: str, kind: str) -> dict[str, object]:
    base = {'name': name, 'host': HOST, 'path_prefix': f'/{name}/', 'service': service, 'kind': kind}
    return {**base, 'timeout_ms': 5000, 'target_latency_ms': 400, 'gap_aim_ms': 150, 'max_attempts': 1}


def _median_ms(answers: list[CallerAnswer]) -> float:
    return sorted(one.took_s for one in answers)[len(answers) // 2] * MS_PER_S


__all__ = ('PlatformDemoReport', 'run_platform_demo')
