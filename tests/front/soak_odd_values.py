"""Odd values in a soak: entries, requests and datagrams that no reader expects, beside the other faults."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

import msgspec
import trio

from sesamepoint_core.serving.address import Address
from sesamepoint import events
from sesamepoint.platform.wire_names import INSTANCE_TOPIC, QUARANTINE_TOPIC, RUNNER_TOPIC
from sesamepoint_standins.platform.process_bench import POLL_INTERVAL_S
from sesamepoint_standins.platform.runner import RunnerStandIn
from tests.front.builders import HOST, plain_runner
from tests.front.odd_values.odd_documents import huge, nested, with_value

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sesamepoint_standins.platform.process_bench import BenchFront, ProcessBench

    Step = Callable[[], Awaitable[None]]

MEAN_PAUSE_S = 0.4
ODD_KEY = 'i-odd'
LAST_KEY = 'i-last'
# Time in which each instance must follow a runner that registers at the end, in seconds.
FOLLOW_S = 10.0
# Lines that only an error which nobody expected writes.
UNEXPECTED = (
    events.COMPONENT_RESTARTED,
    events.COMPONENT_GAVE_UP,
    events.CONNECTION_BROKE,
    events.RECORD_NOT_APPLIED,
    events.MESSAGE_NOT_HANDLED,
)
_SOUND = plain_runner(9).registration
# None of them can be used, so that nothing is sent to a runner that doesn't exist.
ENTRIES = (
    with_value(_SOUND, 'x', nested(100_000)),
    with_value(_SOUND, 'x', nested(2000, '{')),
    with_value(_SOUND, 'slots', huge(400)),
    with_value(_SOUND, 'slots', huge(5000)),
    with_value(_SOUND, 'sequence', huge(30)),
    with_value(_SOUND, 'address', '"127.0.0.1:99999"'),
    with_value(_SOUND, 'born', huge(400)),
    b'\xff\x00{',
    b'null',
)
TOPICS = (RUNNER_TOPIC, RUNNER_TOPIC, RUNNER_TOPIC, INSTANCE_TOPIC, QUARANTINE_TOPIC)
DATAGRAMS = (
    b'\x93\xa7version\xa7front-1%b\xc0' % (b'\x91' * 50_000),
    b'\x81\xa1a' * 10_000,
    msgspec.msgpack.encode(['version', 'front-1', 2**64 - 1]),
    b'\xc1',
    b'',
)
HEADERS = (
    'Sesamepoint-Deadline-Ms: nan',
    f'Sesamepoint-Deadline-Ms: {huge(400)}',
    'Sesamepoint-Token-Count: 0,1',
    f'Sesamepoint-Token-Count: {huge(400)},1',
    f'Sesamepoint-Prompt-Prefix: aa:{huge(400)}',
    f'Content-Length: {huge(5000)}',
)
CONNECT_S = 1.0


class SoakOddValues:
    """Writes and sends odd values, and checks that what comes after them takes effect."""

    def __init__(self, bench: ProcessBench, rng: Random) -> None:
        """Draw all from ``rng``."""
        self._bench = bench
        self._rng = rng
        self._unfollowed: list[str] = []
        self._steps: tuple[Step, ...] = (
            self._write_entry,
            self._write_entry,
            self._send_datagram,
            self._send_request,
        )

    async def run(self, duration_s: float) -> None:
        """Write and send odd values for a time."""
        with trio.move_on_after(duration_s):
            while True:
                await trio.sleep(self._rng.expovariate(1 / MEAN_PAUSE_S))
                await self._rng.choice(self._steps)()

    async def finish(self) -> None:
        """Register a runner while the last odd entry stands, and wait until each instance follows it."""
        self._bench.store.put_raw(RUNNER_TOPIC, ODD_KEY, ENTRIES[0])
        runner = RunnerStandIn(LAST_KEY, 'web', Address('', 0), 'z1', work_s=0.005)
        runner.address = await self._bench.serve(runner.serve)
        self._bench.store.put(RUNNER_TOPIC, runner.key, runner.registration)
        with trio.move_on_after(FOLLOW_S):
            while not all(map(_follows, self._bench.fronts)):
                await trio.sleep(POLL_INTERVAL_S)
        self._unfollowed = [str(front.listen) for front in self._bench.fronts if not _follows(front)]

    def violations(self) -> list[str]:
        """Return a message for each instance that stopped following the list, and each unexpected error in a log."""
        messages = [f'odd: {front} does not follow the list of runners' for front in self._unfollowed]
        marks = tuple(f'"event": {event.number}' for event in UNEXPECTED)
        for log in self._bench.log_paths():
            lines = log.read_text(encoding='utf-8').splitlines()
            messages += [f'odd: {line[:300]}' for line in lines if any(mark in line for mark in marks)]
        return messages

    async def _write_entry(self) -> None:
        self._bench.store.put_raw(self._rng.choice(TOPICS), ODD_KEY, self._rng.choice(ENTRIES))

    async def _send_datagram(self) -> None:
        front = self._rng.choice(self._bench.fronts)
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
            await sock.sendto(self._rng.choice(DATAGRAMS), (front.listen.host, _peer_port(front)))

    async def _send_request(self) -> None:
        front, line = self._rng.choice(self._bench.fronts), self._rng.choice(HEADERS)
        # A path that no route has: nothing of it reaches a runner.
        head = f'GET /odd/a HTTP/1.1\r\nHost: {HOST}\r\nSesamepoint-Request-Id: odd\r\n{line}\r\n\r\n'
        with suppress(OSError, trio.BrokenResourceError), trio.move_on_after(CONNECT_S):
            stream = await trio.open_tcp_stream(front.listen.host, front.listen.port)
            async with stream:
                await stream.send_all(head.encode())
                await stream.receive_some()


def _follows(front: BenchFront) -> bool:
    """Tell whether an instance has logged that it knows the last runner, since its last start."""
    output = front.log_path.read_text(encoding='utf-8')[front.log_offset :]
    mark = f'"event": {events.RUNNER_JOINED.number}'
    return any(mark in line and f'"runner": "{LAST_KEY}"' in line for line in output.splitlines())


def _peer_port(front: BenchFront) -> int:
    """Return the port on which an instance listens for its peers."""
    lines = dict(line.split('=', 1) for line in front.settings.read_text(encoding='utf-8').splitlines())
    return int(lines['port_range'].partition(',')[0])


__all__ = ('SoakOddValues',)
