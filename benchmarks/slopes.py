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

from benchmarks.fit import Line, fit_line, processor_s
from sesamepoint_core.fold.apply import apply
from sesamepoint_core.fold.records import ClaimLease, Order, RenewLease, encode
from sesamepoint_core.fold.snapshot import Snapshot, encode_snapshot
from sesamepoint_core.keys.fold import Batch, Claim, KeyFold, encode_batch
from sesamepoint_core.plan.demand import Offered
from sesamepoint_core.route.candidate import Candidate, Need
from sesamepoint_core.route.choose import CHOOSERS
from sesamepoint_core.route.load import NO_LOAD
from sesamepoint.agent.agent import Agent
from sesamepoint.agent.offered import OfferedTable
from sesamepoint.entry.fleets import Fleets
from sesamepoint.keys.homes import KeyHomes
from sesamepoint.link.grpc_client import GrpcLink
from sesamepoint.link.grpc_server import serve_agent
from sesamepoint.link.messages import BeatRequest, LoadReport
from sesamepoint.control.follower import Follower
from sesamepoint.platform.http import HttpCaller
from sesamepoint.platform.http_log import HttpLog
from sesamepoint.process.web import serve_web
from sesamepoint_standins.engine import Engine
from sesamepoint_standins.memory_engine import MemoryEngine
from sesamepoint_standins.log import MemoryInstances, MemoryLog
from sesamepoint_standins.web import PlatformApp
from tests.builders import FoldBuilder, publish

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sesamepoint_core.fold.state import State

RUNNERS = (50, 150, 300, 600)
ENTRIES = (50, 100, 200, 350)
KEYS = (5_000, 10_000, 20_000, 40_000)
CANDIDATES = (6, 16, 60, 120)
FOLLOWERS = (50, 100, 200, 400)
BEATS = (200, 400, 800, 1600)
BENCH_PORT = 6890
RECORDS = 400
VIRTUAL_S = 60.0
CHOICES = 500
MICRO = 1_000_000
KILO = 1000


def main() -> int:
    """Print all fitted lines."""
    for line in slopes():
        sys.stdout.write(f'{line}\n')
    return 0


def slopes() -> Iterator[Line]:
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
    return LoadReport(name, f'{name}-0123456789ab', ready=True, leaving=False, folded=-1, offered=Offered(), load=load)


def fold_of(runners: int) -> State:
    """Return a state with a configuration and an order per runner."""
    fold = FoldBuilder()
    fold.add(publish(0, size=runners))
    fence = fold.add(ClaimLease('verdict-llm', 'leader', -1)).state.offset
    for number in range(runners):
        fold.add(Order('verdict-llm', f'verdict-{number + 1}', 'mixed', fence, 1, 'measured'))
    return fold.state


async def _beat_for(runners: int, seconds: float) -> None:
    follower = Follower(MemoryLog(), 'boat-bazaar', 'entry-1', Random(1))
    follower.state = fold_of(runners)
    fleets = Fleets(follower, MemoryInstances(), InstantLink, Random(1))  # type: ignore[arg-type]
    fleets.led.add('verdict-llm')
    with trio.move_on_after(seconds):
        await fleets.keep()


def _virtual(call: Callable[..., object], *args: object) -> object:
    return trio.run(call, *args, clock=MockClock(autojump_threshold=0))  # type: ignore[arg-type]


def entry_processor_us(runners: int) -> float:
    """Return the CPU microseconds per second of an instance that knows ``runners`` runners.

    The network is left out. The heartbeat budget keeps the number of heartbeats constant.
    """
    idle_s = processor_s(partial(_virtual, _beat_for, runners, 0))
    return (processor_s(partial(_virtual, _beat_for, runners, VIRTUAL_S)) - idle_s) / VIRTUAL_S * MICRO


def entry_memory_kb(runners: int) -> float:
    """Return the peak memory, in kB, of the state and the views of ``runners`` runners."""
    tracemalloc.start()
    _virtual(_beat_for, runners, 1)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak / KILO


def choose_us(candidates: int) -> float:
    """Return the CPU microseconds of one routing choice."""
    load = report('r').load
    found = [Candidate(f'r{number}', same_zone=True, load=load) for number in range(candidates)]
    need = Need(8000, 40, 20, urgent=True)
    choose = CHOOSERS.get('least-delay')
    rng = Random(1)
    return processor_s(lambda: [choose(found, need, rng) for _ in range(CHOICES)]) / CHOICES * MICRO


def agent_processor_us(entries: int) -> float:
    """Return the CPU microseconds per second of an agent with heartbeats from that many instances."""

    async def receive() -> None:
        table = OfferedTable()
        for second in range(10):
            for entry in range(entries):
                table.hear(BeatRequest(f'entry-{entry}', second, Offered()))
                table.total()
            await trio.sleep(1)

    return processor_s(partial(_virtual, receive)) / 10 * MICRO


def fold_us(runners: int) -> float:
    """Return the CPU microseconds of folding one lease renewal."""
    state = fold_of(runners)
    fence = state.leases['verdict-llm'].fence
    payloads = [encode('leader', 10_000 + number, RenewLease('verdict-llm', fence)) for number in range(RECORDS)]

    def fold() -> None:
        current = state
        for payload in payloads:
            current = apply(current, current.offset + 1, payload).state

    return processor_s(fold) / RECORDS * MICRO


def snapshot_bytes(runners: int) -> float:
    """Return the size of a snapshot, in bytes."""
    return len(encode_snapshot(Snapshot(1, fold_of(runners))))


def _key_batches(keys: int) -> list[bytes]:
    claims = [Claim(f'{number:024x}', f'{number:032x}', f'{number:024x}') for number in range(keys)]
    return [
        encode_batch(Batch('home', number + 1, 1.0, tuple(claims[start : start + 10]), ()))
        for number, start in enumerate(range(0, keys, 10))
    ]


def _fold_keys(batches: list[bytes]) -> KeyFold:
    fold = KeyFold()
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
    return held / KILO if len(fold) == keys else 0


def key_fold_us(keys: int) -> float:
    """Return the CPU microseconds of folding a shard's whole stream of ``keys`` keys, ten per batch."""
    return processor_s(partial(_fold_keys, _key_batches(keys))) * MICRO


async def _beat_over_grpc(beats: int) -> None:
    log = MemoryLog()
    follower = Follower(log, 'boat-bazaar', 'agent-1', Random(1))
    upstream = MemoryEngine(Engine('mixed', checks_fencing=True))
    agent = Agent('verdict-1', upstream, follower, KeyHomes(log, 'boat-bazaar', 'agent-1', trio.current_time))
    async with trio.open_nursery() as nursery, trio_asyncio.open_loop():
        await nursery.start(serve_agent, agent, '127.0.0.1', BENCH_PORT)
        link = GrpcLink(f'127.0.0.1:{BENCH_PORT}')
        for number in range(beats):
            await link.beat(BeatRequest('entry-1', number, Offered()))
        link.renew(link.generation)
        nursery.cancel_scope.cancel()


def grpc_beat_us(beats: int) -> float:
    """Return the CPU microseconds of that many heartbeats over loopback, client and server together."""
    return processor_s(partial(trio.run, _beat_over_grpc, beats)) * MICRO


def beat_bytes(_size: int) -> float:
    """Return the encoded size, in bytes, of a heartbeat and its reply, without HTTP/2 framing."""
    req = BeatRequest('entry-1-0123456789ab', 100_000, Offered())
    return len(msgspec.msgpack.encode(req)) + len(msgspec.msgpack.encode(report('verdict-1')))


def publish_us(runners: int) -> float:
    """Return the CPU microseconds of folding one new configuration."""
    fold = FoldBuilder()
    fold.add(publish(0, size=runners))
    payload = encode('operator', 1, publish(1, size=runners))
    return processor_s(lambda: apply(fold.state, 1, payload)) * MICRO


def publish_bytes(runners: int) -> float:
    """Return the size, in bytes, of a record with a new configuration."""
    return len(encode('operator', 1, publish(1, size=runners)))


async def _in_force_everywhere(followers: int) -> float:
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


def in_force_s(followers: int) -> float:
    """Return the virtual seconds from a publication until the last follower has folded it."""
    took_s: float = trio.run(_in_force_everywhere, followers, clock=MockClock(autojump_threshold=0))
    return took_s


async def _read_over_http(reads: int) -> None:
    log = MemoryLog()
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_web, PlatformApp(log, MemoryInstances()), f'127.0.0.1:{BENCH_PORT}')
        client = HttpLog(HttpCaller('log', f'http://127.0.0.1:{BENCH_PORT}'))
        for _ in range(reads):
            await client.read('control.boat-bazaar', 0, 0)
        nursery.cancel_scope.cancel()


def http_read_us(reads: int) -> float:
    """Return the CPU microseconds of ``reads`` reads of the log over HTTP, client and server together."""
    return processor_s(partial(trio.run, _read_over_http, reads)) * MICRO


MEASURES: Final = (
    ('entry: processor per runner known', 'us/s', RUNNERS, entry_processor_us),
    ('entry: memory per runner configured', 'kB', RUNNERS, entry_memory_kb),
    ('entry: choosing among candidates', 'us', CANDIDATES, choose_us),
    ('agent: processor per entry that beats', 'us/s', ENTRIES, agent_processor_us),
    ('beats over gRPC, both ends, by beats', 'us', BEATS, grpc_beat_us),
    ('log reads over HTTP, both ends, by reads', 'us', BEATS, http_read_us),
    ('fold: one renewal, by runners with orders', 'us', RUNNERS, fold_us),
    ('fold: snapshot bytes, by runners', 'B', RUNNERS, snapshot_bytes),
    ('fold: one new configuration, by runners', 'us', RUNNERS, publish_us),
    ('fold: record of a configuration, by runners', 'B', RUNNERS, publish_bytes),
    ('in force everywhere, by followers', 's', FOLLOWERS, in_force_s),
    ('keys: memory per key kept', 'kB', KEYS, key_memory_kb),
    ('keys: folding a stream, by keys', 'us', KEYS, key_fold_us),
    ('beat: request and reply, encoded', 'B', ENTRIES, beat_bytes),
)


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('main', 'slopes')
