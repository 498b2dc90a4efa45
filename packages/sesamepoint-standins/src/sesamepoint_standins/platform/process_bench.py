"""Test bench with real front processes, and stand-ins on loopback addresses."""

from __future__ import annotations

import os
import signal
import sys
from contextlib import ExitStack, asynccontextmanager
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint import events
from sesamepoint.http1.client import ClientConn
from sesamepoint.http1.messages import ConnBrokenError, ConnectFailedError, RequestHead
from sesamepoint.http1.transport import SocketNetwork, SocketTransport
from sesamepoint.platform.wire_names import OPERATOR_KEY, OPERATOR_TOPIC, READY_PATH, RUNNER_TOPIC
from sesamepoint_standins.platform.caller import Caller
from sesamepoint_standins.platform.runner import RunnerStandIn
from sesamepoint_standins.platform.runner_state import EngineSpeed
from sesamepoint_standins.platform.store import PlatformStore
from sesamepoint_standins.platform.usage import UsageStandIn

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from pathlib import Path

    from sesamepoint.http1.messages import ReceivedBody, ResponseHead
    from sesamepoint.http1.transport import Transport

    Serve = Callable[[Transport], Awaitable[None]]

START_TIMEOUT_S = 30.0
STATUS_OK = 200
METRICS_PATH = '/metrics'
POLL_INTERVAL_S = 0.05
CONNECT_TIMEOUT_S = 1.0
# Networks of loopback addresses among which processes choose by their id.
NETS = 250
# Faster than any real engine, since these tests check the processes, not latency.
FAST_ENGINE = EngineSpeed(prefill_tokens_per_s=2_000_000, overhead_s=0.002, step_s=0.0002, step_s_per_slot=0)
SETTINGS_TEMPLATE = """node={name}
ip={host}
zone=z1
listen.front={listen}
listen.ready={ready}
port_range={first_port},{last_port}
heartbeat_ms=1200
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.retry_ratio={retry_ratio}
bounds.budget_slack={retry_slack}
bounds.budget_window_s={retry_window_s}
limits.link_mbps=1000.0
platform.address={store}
cloud.address={usage}
cloud.duties=usage
bounds.lease_ms=3000
bounds.usage_window_s=1
bounds.usage_late_s=6
"""


# Time for which a runner that starts again refuses connections, in seconds.
RUNNER_RESTART_S = 0.1


class BenchFront(NamedTuple):
    """Front process and its addresses.

    Parameters
    ----------
    log_offset
        Offset in the log, in characters, at which the output of this start begins.
    """

    process: trio.Process
    listen: Address
    ready: Address
    settings: Path
    log_offset: int = 0

    @property
    def log_path(self) -> Path:
        """Return the path of its log."""
        return log_path_of(self.settings)

    def has_started(self) -> bool:
        """Return whether this start has logged its start event; from then on it handles signals."""
        output = self.log_path.read_text(encoding='utf-8')[self.log_offset :]
        return f'"event": {events.PROCESS_STARTED.number}' in output


class ProcessBench:
    """Test bench with the store and the runners in this process, and one process for each front."""

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        """Write settings to ``folder``; listeners run in ``nursery``."""
        self.store = PlatformStore()
        self.runners: list[RunnerStandIn] = []
        self.fronts: list[BenchFront] = []
        # Each front process that was started, also one that was to replace another and was never ready.
        self.processes: list[trio.Process] = []
        self.crashed: list[str] = []
        self.nursery = nursery
        # Module that is run as the program of each front.
        self.program = 'sesamepoint.cli'
        # The bound on repeats that the settings of the fronts state.
        self.retry_ratio: float = 0.2
        self.retry_slack = 50
        self.retry_window_s: float = 10
        # The interpreter that runs the fronts: that of another tree, to compare versions.
        self.python = sys.executable
        # Further lines of these settings.
        self.more_settings = ''
        self._folder = folder
        self._listener_scopes: dict[Address, trio.CancelScope] = {}
        self.usage = UsageStandIn()
        # Address of the store that the settings of new instances name.
        self.store_address: Address | None = None
        self._usage_address: Address | None = None

    async def start(self, configuration: object) -> None:
        """Start the store with a configuration, the usage service, two plain runners and two engines."""
        self.store.put(OPERATOR_TOPIC, OPERATOR_KEY, configuration)
        self.store_address = await self.serve(self.store.serve)
        self._usage_address = await self.serve(self.usage.serve)
        for service, stage in (('web', None), ('web', None), ('llm', 'prefill'), ('llm', 'decode')):
            await self.add_runner(service, stage)

    async def move_store(self) -> None:
        """Serve the store at a new address, and leave calls to the old one without an answer."""
        self.store_address = await self.serve(self.store.serve_elsewhere())

    async def add_front(self) -> BenchFront:
        """Start a front process and wait until it is ready."""
        front = await self.start_front()
        await self.wait_until_ready(front)
        return front

    async def start_front(self) -> BenchFront:
        """Start a front process."""
        front = await self._start_front(f'front-{len(self.fronts) + 1}', _host(len(self.fronts) + 1))
        self.fronts.append(front)
        return front

    async def replace_front(self, index: int, number: int) -> None:
        """Start a front with a new name, and kill the one at index ``index`` for good once the new one is ready."""
        old = self.fronts[index]
        front = await self._start_front(f'front-{number}', _host(number))
        await self.wait_until_ready(front)
        self.fronts[index] = front
        old.process.send_signal(signal.SIGKILL)
        await old.process.wait()

    async def restart_front(self, index: int) -> BenchFront:
        """Restart the front at index ``index`` with its old settings."""
        front = self.fronts[index]
        log_from = len(front.log_path.read_text(encoding='utf-8'))
        front = front._replace(process=await self._start_process(front.settings), log_offset=log_from)
        self.fronts[index] = front
        return front

    async def wait_until_ready(self, front: BenchFront) -> None:
        """Wait until ``front`` reports that it is ready."""
        with trio.fail_after(START_TIMEOUT_S):
            while not await is_ready(front):
                await trio.sleep(POLL_INTERVAL_S)

    async def wait_until_all_show(self, metric: str) -> None:
        """Wait until the metrics page of each front has the line ``metric``."""
        with trio.fail_after(START_TIMEOUT_S):
            while not all([await has_metric_line(front, metric) for front in self.fronts]):
                await trio.sleep(POLL_INTERVAL_S)

    async def serve(self, connection_handler: Serve) -> Address:
        """Serve connections on a free loopback port; return its address."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        address = Address(*listeners[0].socket.getsockname()[:2])
        self._start_listening(connection_handler, listeners, address)
        return address

    async def add_runner(self, service: str, stage: str | None = None) -> RunnerStandIn:
        """Start a runner and register it."""
        key = f'i-{len(self.runners)}'
        # The address is set once the runner listens.
        runner = RunnerStandIn(key, service, Address('', 0), 'z1', stage=stage, speed=FAST_ENGINE, work_s=0.005)
        runner.address = await self.serve(runner.serve)
        runner.on_crash = self.crash_runner
        self.runners.append(runner)
        self.store.put(RUNNER_TOPIC, key, runner.registration)
        return runner

    def crash_runner(self, runner: RunnerStandIn) -> None:
        """Crash a runner: its connections break, and new ones are refused."""
        self.crashed.append(runner.key)
        self._listener_scopes[runner.address].cancel()

    async def restart_runner(self, runner: RunnerStandIn, born_ms: int, version: str) -> None:
        """Crash a runner, and start it again under its key and address; its registration stays as it is."""
        self._listener_scopes[runner.address].cancel()
        await trio.sleep(RUNNER_RESTART_S)
        runner.restart(born_ms, version)
        listeners = await trio.open_tcp_listeners(runner.address.port, host=runner.address.host)
        self._start_listening(runner.serve, listeners, runner.address)

    def log_paths(self) -> list[Path]:
        """Return the paths of the logs of all fronts."""
        return [front.log_path for front in self.fronts]

    def kill_fronts(self) -> None:
        """Kill the front processes that still run."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)

    async def _start_front(self, name: str, host: str) -> BenchFront:
        listen, ready_listen, settings = await self._new_settings(name, host)
        path = self._folder / f'{name}.conf'
        path.write_text(settings, encoding='utf-8')
        return BenchFront(await self._start_process(path), listen, ready_listen, path)

    async def _start_process(self, settings: Path) -> trio.Process:
        command = [self.python, '-m', self.program, 'front', '--settings', str(settings)]
        process = await trio.lowlevel.open_process(command, stdout=log_path_of(settings).open('ab'))
        self.processes.append(process)
        return process

    async def _new_settings(self, name: str, host: str) -> tuple[Address, Address, str]:
        ports = await _free_ports(host)
        listen = Address(host, ports.listen)
        ready_listen = Address(host, ports.ready)
        settings = SETTINGS_TEMPLATE.format(
            name=name,
            host=host,
            listen=listen,
            ready=ready_listen,
            first_port=ports.first,
            last_port=ports.last,
            store=self.store_address,
            usage=self._usage_address,
            retry_ratio=self.retry_ratio,
            retry_slack=self.retry_slack,
            retry_window_s=self.retry_window_s,
        )
        return listen, ready_listen, f'{settings}{self.more_settings}'

    def _start_listening(self, serve: Serve, listeners: list[trio.SocketListener], address: Address) -> None:
        # Known before its task runs: a runner may be crashed just after its start.
        scope = trio.CancelScope()
        self._listener_scopes[address] = scope
        self.nursery.start_soon(self._listen, serve, listeners, scope)

    async def _listen(self, serve: Serve, listeners: list[trio.SocketListener], scope: trio.CancelScope) -> None:
        with scope:
            await trio.serve_listeners(partial(_serve_stream, serve), listeners)


async def is_ready(front: BenchFront) -> bool:
    """Return whether a front is ready, by its readiness page, as the platform does."""
    reply = await _fetch_page(front, READY_PATH)
    return reply is not None and reply[0].status == STATUS_OK


async def has_metric_line(front: BenchFront, metric: str) -> bool:
    """Return whether a front's metrics page has the line ``metric``."""
    reply = await _fetch_page(front, METRICS_PATH)
    return reply is not None and metric in reply[1].payload.decode().splitlines()


async def _fetch_page(front: BenchFront, path: str) -> tuple[ResponseHead, ReceivedBody] | None:
    try:
        conn = ClientConn(await SocketNetwork().connect(front.ready, CONNECT_TIMEOUT_S))
    except ConnectFailedError:
        return None
    try:
        return await conn.exchange(RequestHead(b'GET', path.encode(), ((b'host', b'x'),)))
    except ConnBrokenError:
        return None
    finally:
        conn.close()


def new_caller(front: BenchFront) -> Caller:
    """Return a new caller of a front, over real sockets."""
    return Caller(SocketNetwork(), front.listen)


@asynccontextmanager
async def open_process_bench(configuration: object, folder: Path, fronts: int) -> AsyncIterator[ProcessBench]:
    """Run a bench with ``fronts`` front processes, which are killed at the end."""
    async with trio.open_nursery() as nursery:
        bed = ProcessBench(nursery, folder)
        try:
            await bed.start(configuration)
            for _ in range(fronts):
                await bed.add_front()
            yield bed
        finally:
            bed.kill_fronts()
            nursery.cancel_scope.cancel()


def log_path_of(settings: Path) -> Path:
    """Return the path of the log of the front with these settings."""
    return settings.with_suffix('.log')


class _Ports(NamedTuple):
    listen: int
    ready: int
    first: int
    last: int


def _host(number: int) -> str:
    """Return the loopback address of an instance, which no other process that runs a bench uses."""
    return f'127.{1 + os.getpid() // NETS % NETS}.{os.getpid() % NETS}.{number + 1}'


async def _free_ports(host: str) -> _Ports:
    """Return free ports; all are held until the last is chosen, so that none is chosen twice."""
    with ExitStack() as held:
        sockets = [held.enter_context(trio.socket.socket()) for _ in _Ports._fields]
        for sock in sockets:
            await sock.bind((host, 0))
        return _Ports(*(int(held_port.getsockname()[1]) for held_port in sockets))


async def _serve_stream(serve: Serve, stream: trio.SocketStream) -> None:
    await serve(SocketTransport(stream))


__all__ = ('BenchFront', 'ProcessBench', 'is_ready', 'new_caller', 'open_process_bench')
