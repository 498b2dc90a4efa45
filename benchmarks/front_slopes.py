"""CPU time of the front by size: choice of an engine, peer updates, registrations, configurations.

Run: python -m benchmarks.front_slopes
"""

from __future__ import annotations

import sys
import time
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.serving.address import Address
from sesamepoint_core.serving.placement import EngineView, Speeds, best_placement
from sesamepoint_core.serving.prompt import Part
from sesamepoint_core.serving.speed_meters import PrefillSpeed
from sesamepoint_core.crash_attribution.crash_suspects import CrashSuspects
from sesamepoint_core.serving.runner import Runner, Stage
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.front.runners.send_check import SendCheck
from sesamepoint.front.runners.runner_limits import RunnerLimits
from sesamepoint.front.engines.engine_sends import Send, SendEnd, SendTracker, SendUpdate
from sesamepoint.http1.transport import SocketNetwork
from sesamepoint.platform.configuration import decode_configuration
from sesamepoint.platform.runner_registration import decode_runner

if TYPE_CHECKING:
    from collections.abc import Callable

SPEEDS = Speeds(PrefillSpeed(0.036, 1 / 112_000, 0), 2_500_000, 0.15, 0.04, 0.4, 0.4)
CALLS_PER_ROUND = 200
US_PER_S = 1e6


def main() -> None:
    """Print the time of each operation at several sizes."""
    for count in (10, 60, 600):
        views = tuple(EngineView(f'i{number}', _stage(number), 0.01 * number, 3000 + number) for number in range(count))
        _print_line(
            f'choice among {count} engines: {_best_time_us(partial(best_placement, views, SPEEDS, 17_000)):.0f} us'
        )
    for count in (16, 400, 3100):
        text = _configuration(count)
        _print_line(
            f'configuration of {count} routes: {len(text)} bytes, '
            f'{_best_time_us(partial(decode_configuration, text)):.0f} us'
        )
    record = msgspec.json.encode(_registration())
    _print_line(f'registration: {len(record)} bytes, {_best_time_us(partial(decode_runner, "i", record)):.1f} us')
    trio.run(_measure_peer_updates)


async def _measure_peer_updates() -> None:
    fleet = Fleet(
        2.0,
        SocketNetwork(),
        trio.current_time,
        SendCheck.from_limits(RunnerLimits('front-1', Random(1)), CrashSuspects()),
    )
    fleet.update(_runner())
    notes = SendTracker('front-1', fleet, _ZeroRandom())  # type: ignore[arg-type]
    parts = (Part('8f3e21ab', 55), Part('17aa90cc', 13_300), Part('c0ffee12', 3720))
    for count in (1, 10):
        sends = tuple(Send(number, 'i-0', 0.03, 17_000, parts) for number in range(count))
        ends = tuple(SendEnd(number, 'i-0', finished=True) for number in range(count))
        datagram = msgspec.msgpack.encode(SendUpdate('front-2', sends, ends))
        taken = _best_time_us(partial(_apply_update, notes, datagram))
        _print_line(f'update with {count} sends and ends: {len(datagram)} bytes, {taken:.0f} us to apply')


def _apply_update(notes: SendTracker, datagram: bytes) -> None:
    notes.on_peer_update(msgspec.msgpack.decode(datagram, type=SendUpdate))


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')


def _best_time_us(call: Callable[[], object]) -> float:
    best = float('inf')
    for _ in range(5):
        started = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            call()
        best = min(best, (time.perf_counter() - started) / CALLS_PER_ROUND)
    return best * US_PER_S


def _stage(number: int) -> Stage:
    return Stage.prefill if number % 3 == 0 else Stage.decode


def _runner() -> Runner:
    return Runner('i-0', 'llm', Address('10.0.0.1', 80), 'z1', 24, draining=False, stage=Stage.decode)


def _registration() -> dict[str, object]:
    return {
        'service': 'huvo11a',
        'address': '10.128.0.9:8080',
        'zone': 'hall-thamel',
        'version': 'v1',
        'slots': 24,
        'state': 'ready',
        'cold_remaining_ms': 0,
        'stage': 'decode',
        'sequence': 4,
        'models': [{'name': 'm', 'version': 1, 'adapters': []}],
    }


def _configuration(count: int) -> bytes:
    route = {
        'name': 'r-3d3zji9',
        'host': 'ficu95.example',
        'path_prefix': '/lohu930/',
        'kind': 'streaming',
        'timeout_ms': 5000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': 'huvo11a',
        'max_attempts': 1,
    }
    limits = {'max_header_bytes': 1, 'max_body_bytes': 1, 'header_timeout_ms': 1, 'idle_timeout_ms': 1}
    document = {'version': 1, 'routes': [route for _ in range(count)], 'services': [], 'limits': limits}
    return msgspec.json.encode(document)


class _ZeroRandom:
    def getrandbits(self, bits: int) -> int:
        return 0


if __name__ == '__main__':
    main()
