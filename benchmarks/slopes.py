"""Cost by size, for docs/CAPACITY.md. Run: ``make slopes``."""

from __future__ import annotations

import sys
import tracemalloc
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Final

import msgspec
import trio
import trio_asyncio
from trio.testing import MockClock

from benchmarks.fit import LineFit, cpu_time_s, fit_line
from sesamepoint_core.fold.apply import apply
from sesamepoint_core.fold.records import ClaimLease, Order, RenewLease, encode
from sesamepoint_core.fold.snapshot import Snapshot, encode_snapshot
from sesamepoint_core.keys.claims import Batch, Claim, KeyClaims, encode_batch
from sesamepoint_core.plan.demand import OfferedDemand
from sesamepoint_core.route.candidate import Candidate, RequestSpec
from sesamepoint_core.route.choose import CHOOSERS
from sesamepoint_core.route.load import NO_LOAD
from sesamepoint.agent.agent import Agent
from sesamepoint.agent.offered_demand import OfferedDemandTable
from sesamepoint.entry.fleets import Fleets
from sesamepoint.keys.shard_coordinators import ShardCoordinators
from sesamepoint.link.grpc_client import GrpcLink
from sesamepoint.link.grpc_server import serve_agent
from sesamepoint.link.messages import BeatRequest, LoadReport
from sesamepoint.control.follower import Follower
from sesamepoint.platform.http_client import HttpClient
from sesamepoint.platform.http_log import HttpLog
from sesamepoint.process.asgi_server import serve_asgi
from sesamepoint_standins.engine import Engine
from sesamepoint_standins.memory_engine import MemoryEngine
from sesamepoint_standins.memory_platform import MemoryInstances, MemoryLog
from sesamepoint_standins.asgi_apps import PlatformApp
from tests.builders import StateBuilder, publish

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sesamepoint_core.fold.state import State

RUNNERS = (50, 150, 300, 600)
ENTRIES = (50, 100, 200, 350)
KEYS = (5_000, 10_000, 20_000, 40_000)
CANDIDATES = (6, 16, 60, 120)
FOLLOWERS = (50, 100, 200, 400)
HEARTBEATS = (200, 400, 800, 1600)
BENCH_PORT = 6890
RECORDS_PER_RUN = 400
SIMULATED_S = 60.0
CHOICES_PER_RUN = 500
US_PER_S = 1_000_000
BYTES_PER_KB = 1000


def main() -> int:
    """Print all fitted lines."""
    for line in measure_all():
        sys.stdout.write(f'{line}\n')
    return 0


def measure_all() -> Iterator[LineFit]:
    """Measure each cost at its sizes and yield the fitted lines."""
    for name, unit, sizes, measure in MEASURES:
        yield fit_line(name, unit, sizes, measure)


class InstantLink:
    """A link whose agent answers at once, so that only the cost of the instance is measured."""

    generation = 0

    def __init__(self, name: str) -> None:
        """Answer with the load report of the runner ``name``."""
        self._report = report(name)

    async def beat(self, req: BeatRequest) -> LoadReport:
        """Return the load report, without a network."""
        await trio.lowlevel.checkpoint()
        return self._report


def report(name: str) -> LoadReport:
    """Return a typical load report."""
    load = NO_LOAD._replace(role='mixed', waiting_tokens=8000, prefill_rate=4600, token_s=0.05, running=12, slots=32)
    return LoadReport(
        name,
        f'{name}-0123456789ab',
        ready=True,
        draining=False,
        folded_offset=-1,
        offered_demand=OfferedDemand(),
        load=load,
    )


def state_with_orders(runners: int) -> State:
    """Return a state with a configuration and an order per runner."""
    fold = StateBuilder()
    fold.add(publish(0, size=runners))
    fence = fold.add(ClaimLease('verdict-llm', 'leader', -1)).state.offset
    for number in range(runners):
        fold.add(Order('verdict-llm', f'verdict-{number + 1}', 'mixed', fence, 1, 'measured'))
    return fold.state


async def _send_heartbeats(runners: int, seconds: float) -> None:
    follower = Follower(MemoryLog(), 'boat-bazaar', 'entry-1', Random(1))
    follower.state = state_with_orders(runners)
    fleets = Fleets(follower, MemoryInstances(), InstantLink, Random(1))  # type: ignore[arg-type]
    fleets.led_fleets.add('verdict-llm')
    with trio.move_on_after(seconds):
        await fleets.follow_configuration()


def _run_virtual(call: Callable[..., object], *args: object) -> object:
    return trio.run(call, *args, clock=MockClock(autojump_threshold=0))  # type: ignore[arg-type]


def instance_cpu_us(runners: int) -> float:
    """Return the CPU microseconds per second of an instance that knows ``runners`` runners.

    The network is left out. The heartbeat budget keeps the number of heartbeats constant.
    """
    idle_s = cpu_time_s(partial(_run_virtual, _send_heartbeats, runners, 0))
    return (cpu_time_s(partial(_run_virtual, _send_heartbeats, runners, SIMULATED_S)) - idle_s) / SIMULATED_S * US_PER_S


def instance_memory_kb(runners: int) -> float:
    """Return the peak memory, in kB, of the state and the views of ``runners`` runners."""
    tracemalloc.start()
    _run_virtual(_send_heartbeats, runners, 1)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / BYTES_PER_KB


def choose_us(candidates: int) -> float:
    """Return the CPU microseconds of one routing choice."""
    load = report('r').load
    found = [Candidate(f'r{number}', same_zone=True, load=load) for number in range(candidates)]
    need = RequestSpec(8000, 40, 20, urgent=True)
    choose = CHOOSERS.get('least-delay')
    rng = Random(1)
    return cpu_time_s(lambda: [choose(found, need, rng) for _ in range(CHOICES_PER_RUN)]) / CHOICES_PER_RUN * US_PER_S


def agent_cpu_us(instances: int) -> float:
    """Return the CPU microseconds per second of an agent with heartbeats from that many instances."""

    async def receive() -> None:
        table = OfferedDemandTable()
        for second in range(10):
            for entry in range(instances):
                table.on_heartbeat(BeatRequest(f'entry-{entry}', second, OfferedDemand()))
                table.total()
            await trio.sleep(1)

    return cpu_time_s(partial(_run_virtual, receive)) / 10 * US_PER_S


def fold_us(runners: int) -> float:
    """Return the CPU microseconds of folding one lease renewal."""
    state = state_with_orders(runners)
    fence = state.leases['verdict-llm'].fence
    payloads = [
        encode('leader', 10_000 + number, RenewLease('verdict-llm', fence)) for number in range(RECORDS_PER_RUN)
    ]

    def fold() -> None:
        current = state
        for payload in payloads:
            current = apply(current, current.offset + 1, payload).state

    return cpu_time_s(fold) / RECORDS_PER_RUN * US_PER_S


def snapshot_bytes(runners: int) -> float:
    """Return the size of a snapshot, in bytes."""
    return len(encode_snapshot(Snapshot(1, state_with_orders(runners))))


def _key_batches(keys: int) -> list[bytes]:
    claims = [Claim(f'{number:024x}', f'{number:032x}', f'{number:024x}') for number in range(keys)]
    return [
        encode_batch(Batch('home', number + 1, 1.0, tuple(claims[start : start + 10]), ()))
        for number, start in enumerate(range(0, keys, 10))
    ]


def _fold_keys(batches: list[bytes]) -> KeyClaims:
    fold = KeyClaims()
    for offset, payload in enumerate(batches):
        fold.apply(offset, payload)
    return fold


def key_memory_kb(keys: int) -> float:
    """Return the memory, in kB, of a shard's folded claims of ``keys`` keys."""
    batches = _key_batches(keys)
    tracemalloc.start()
    fold = _fold_keys(batches)
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held / BYTES_PER_KB if len(fold) == keys else 0


def key_fold_us(keys: int) -> float:
    """Return the CPU microseconds of folding a shard's whole stream of ``keys`` keys, ten per batch."""
    return cpu_time_s(partial(_fold_keys, _key_batches(keys))) * US_PER_S


async def _heartbeat_over_grpc(heartbeats: int) -> None:
    log = MemoryLog()
    follower = Follower(log, 'boat-bazaar', 'agent-1', Random(1))
    upstream = MemoryEngine(Engine('mixed', checks_fencing=True))
    agent = Agent('verdict-1', upstream, follower, ShardCoordinators(log, 'boat-bazaar', 'agent-1', trio.current_time))
    async with trio.open_nursery() as nursery, trio_asyncio.open_loop():
        await nursery.start(serve_agent, agent, '127.0.0.1', BENCH_PORT)
        link = GrpcLink(f'127.0.0.1:{BENCH_PORT}')
        for number in range(heartbeats):
            await link.beat(BeatRequest('entry-1', number, OfferedDemand()))
        link.renew(link.generation)
        nursery.cancel_scope.cancel()


def grpc_heartbeats_us(heartbeats: int) -> float:
    """Return the CPU microseconds of that many heartbeats over loopback, client and server together."""
    return cpu_time_s(partial(trio.run, _heartbeat_over_grpc, heartbeats)) * US_PER_S


def heartbeat_bytes(_size: int) -> float:
    """Return the encoded size, in bytes, of a heartbeat and its reply, without HTTP/2 framing."""
    req = BeatRequest('entry-1-0123456789ab', 100_000, OfferedDemand())
    return len(msgspec.msgpack.encode(req)) + len(msgspec.msgpack.encode(report('verdict-1')))


def publish_us(runners: int) -> float:
    """Return the CPU microseconds of folding one new configuration."""
    fold = StateBuilder()
    fold.add(publish(0, size=runners))
    payload = encode('operator', 1, publish(1, size=runners))
    return cpu_time_s(lambda: apply(fold.state, 1, payload)) * US_PER_S


def publish_bytes(runners: int) -> float:
    """Return the size, in bytes, of a record with a new configuration."""
    return len(encode('operator', 1, publish(1, size=runners)))


async def _publish_and_wait(followers: int) -> float:
    log = MemoryLog()
    members = [Follower(log, 'boat-bazaar', f'process-{number}', Random(number)) for number in range(followers)]
    async with trio.open_nursery() as nursery:
        for follower in members:
            nursery.start_soon(follower.follow)
        await trio.sleep(10)
        # The followers have just read a record, so each waits a second to gather more.
        await members[1].submit(ClaimLease('system/snapshots', 'process-1', -1))
        await trio.sleep(0.1)
        await members[0].submit(publish(0))
        published = trio.current_time()
        while any(not member.state.version for member in members):
            await trio.sleep(0.01)
        took_s = trio.current_time() - published
        nursery.cancel_scope.cancel()
    return took_s


def propagation_s(followers: int) -> float:
    """Return the virtual seconds from a publication until the last follower has folded it."""
    took_s: float = trio.run(_publish_and_wait, followers, clock=MockClock(autojump_threshold=0))
    return took_s


async def _read_over_http(reads: int) -> None:
    log = MemoryLog()
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_asgi, PlatformApp(log, MemoryInstances()), f'127.0.0.1:{BENCH_PORT}')
        client = HttpLog(HttpClient('log', f'http://127.0.0.1:{BENCH_PORT}'))
        for _ in range(reads):
            await client.read('control.boat-bazaar', 0, 0)
        nursery.cancel_scope.cancel()


def http_read_us(reads: int) -> float:
    """Return the CPU microseconds of ``reads`` reads of the log over HTTP, client and server together."""
    return cpu_time_s(partial(trio.run, _read_over_http, reads)) * US_PER_S


MEASURES: Final = (
    ('entry: processor per runner known', 'us/s', RUNNERS, instance_cpu_us),
    ('entry: memory per runner configured', 'kB', RUNNERS, instance_memory_kb),
    ('entry: choosing among candidates', 'us', CANDIDATES, choose_us),
    ('agent: processor per entry that beats', 'us/s', ENTRIES, agent_cpu_us),
    ('beats over gRPC, both ends, by beats', 'us', HEARTBEATS, grpc_heartbeats_us),
    ('log reads over HTTP, both ends, by reads', 'us', HEARTBEATS, http_read_us),
    ('fold: one renewal, by runners with orders', 'us', RUNNERS, fold_us),
    ('fold: snapshot bytes, by runners', 'B', RUNNERS, snapshot_bytes),
    ('fold: one new configuration, by runners', 'us', RUNNERS, publish_us),
    ('fold: record of a configuration, by runners', 'B', RUNNERS, publish_bytes),
    ('in force everywhere, by followers', 's', FOLLOWERS, propagation_s),
    ('keys: memory per key kept', 'kB', KEYS, key_memory_kb),
    ('keys: folding a stream, by keys', 'us', KEYS, key_fold_us),
    ('beat: request and reply, encoded', 'B', ENTRIES, heartbeat_bytes),
)


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main', 'measure_all')
