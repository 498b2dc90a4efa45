"""Demo on the users' platform: two front processes, one of them stopped under load."""

from __future__ import annotations

import signal
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.units import MS_PER_S
from sesamepoint_standins.platform.caller import Asked
from sesamepoint_standins.platform.processes import ProcessBed, caller_of, running_processes

if TYPE_CHECKING:
    from sesamepoint_standins.platform.caller import Seen

HOST = 'boats.example'
CALLERS = 4
LOAD_S = 3.0
PAUSE_S = 0.05
STOP_LIMIT_S = 30.0
# Tokens of the shared prefix block, and of the own block of a long and of a short
# prompt: about the mean of the smaller of today's deployments.
SHARED = ('survey', 13_000)
LONG_TOKENS = 3700
SHORT_TOKENS = 290
DEADLINE_S = 5.0
LIMITS = {  # noqa: WPS407
    'max_header_bytes': 16384,
    'max_body_bytes': 100000,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


class PlatformEnd(NamedTuple):
    """Lines of the report, and whether all answers were whole and correct."""

    lines: tuple[str, ...]
    kept: bool


async def run_platform_demo() -> PlatformEnd:
    """Serve all kinds of request at two front processes, and stop one of them meanwhile."""
    found: defaultdict[str, list[Seen]] = defaultdict(list)
    wrong: list[str] = []
    with tempfile.TemporaryDirectory() as directory:
        async with running_processes(_configuration(), Path(directory), fronts=2) as bed:
            await _play(bed, found, wrong)
    return PlatformEnd((*_table(found), *wrong), not wrong)


def _table(found: dict[str, list[Seen]]) -> list[str]:
    rows = [f'{kind:10} sent {len(seen):4}   p50 {_middle_ms(seen):4.0f} ms' for kind, seen in sorted(found.items())]
    return [
        *rows,
        'one of two front processes was stopped under load; answers cut off or wrong follow, if any',
    ]


async def _play(bed: ProcessBed, found: defaultdict[str, list[Seen]], wrong: list[str]) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(_call, bed, number, found, wrong)
        await trio.sleep(LOAD_S / 2)
        bed.fronts[0].process.send_signal(signal.SIGTERM)
        with trio.fail_after(STOP_LIMIT_S):
            await bed.fronts[0].process.wait()


async def _call(bed: ProcessBed, number: int, found: defaultdict[str, list[Seen]], wrong: list[str]) -> None:
    started = trio.current_time()
    count = 0
    while trio.current_time() - started < LOAD_S:
        for kind in ('verdict', 'tag', 'card', 'thumb'):
            count += 1
            # Callers of the first front process switch to the second when it is stopped.
            front = bed.fronts[0 if number % 2 and trio.current_time() - started < LOAD_S / 2 else 1]
            asked = _asked(kind, f'{kind}-{number}-{count}')
            seen = await caller_of(front).ask(asked)
            found[kind].append(seen)
            if (seen.status, seen.body, seen.whole) != (200, asked.expected, True):
                wrong.append(f'{asked.request_id}: status {seen.status}, whole {seen.whole}')
        await trio.sleep(PAUSE_S)


def _asked(kind: str, request_id: str) -> Asked:
    if kind in {'card', 'thumb'}:
        return Asked(request_id, HOST, f'/{kind}/a', deadline_s=DEADLINE_S)
    own = LONG_TOKENS if kind == 'verdict' else SHORT_TOKENS
    return Asked(request_id, HOST, f'/{kind}/a', deadline_s=DEADLINE_S, parts=(SHARED, (request_id, own)), output=8)


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


def _middle_ms(seen: list[Seen]) -> float:
    return sorted(one.took_s for one in seen)[len(seen) // 2] * MS_PER_S


__all__ = ('PlatformEnd', 'run_platform_demo')
