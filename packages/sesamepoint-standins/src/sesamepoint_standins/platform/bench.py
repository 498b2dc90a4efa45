"""Test bench that runs store, runners and fronts in one process."""

from __future__ import annotations

from collections import deque
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.admit.reserve_share import ReserveShare
from sesamepoint_core.instance_room.limits import InstanceLimits
from sesamepoint_core.serving.address import Address
from sesamepoint.front.front import Front
from sesamepoint.front.settings import DutySettings, FrontSettings, StoreSettings
from sesamepoint.platform.wire_names import OPERATOR_KEY, OPERATOR_TOPIC, RUNNER_TOPIC
from sesamepoint.supervisor import Supervisor
from sesamepoint_standins.platform.caller import Caller
from sesamepoint_standins.platform.network import MemoryNetwork
from sesamepoint_standins.platform.runner import RunnerStandIn
from sesamepoint_standins.platform.store import PlatformStore
from sesamepoint_standins.platform.usage import UsageStandIn, VirtualClock

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Collection, Sequence

STORE_ADDRESS = Address('10.9.0.1', 8100)
USAGE_ADDRESS = Address('10.9.0.2', 8100)
DUTY_SETTINGS = DutySettings(USAGE_ADDRESS, window_s=5, report_delay_s=10, lease_s=3)
FRONT_PORT = 8000
READY_TIMEOUT_S = 5.0
# A crashed runner restarts after this time as a new incarnation. Its registration
# stays until then.
RESTART_DELAY_S = 3.0
HEARTBEAT_S = 1.2
# The store removes a registration that is not renewed for three heartbeat intervals. The time in
# which it is away does not count.
LAPSE_S = 3 * HEARTBEAT_S
LAPSE_STEP_S = 0.05
# Each part of an address is below this.
HOSTS_PER_NET = 256
# Time from the first token of a poison request to the crash of its runner.
CRASH_DELAY_S = 0.1


def front_settings(
    number: int, duty: DutySettings | None = None, limits: InstanceLimits | None = None
) -> FrontSettings:
    """Return the settings of the front with this number."""
    host = f'10.1.{number // HOSTS_PER_NET}.{number % HOSTS_PER_NET}'
    return FrontSettings(
        name=f'front-{number}',
        host=host,
        availability_zone='z1',
        listen=Address(host, FRONT_PORT),
        ready_listen=Address(host, FRONT_PORT + 1),
        peer_port=FRONT_PORT + 2,
        drain_s=2.0,
        stop_s=8.0,
        config_s=2.0,
        retry_ratio=0.2,
        retry_reserve=50.0,
        retry_window_s=10.0,
        link_bytes_s=125e6,
        store=StoreSettings(STORE_ADDRESS),
        duty=duty,
        limits=limits or InstanceLimits(),
    )


class HeldShare(ReserveShare):
    """Share in the reserve of retries of an instance that has been up for long when a test begins."""

    def update(self, members: Collection[str]) -> bool:
        """Apply a change of the list, as if this instance had been on it before."""
        changed = super().update(members)
        self._past = deque(view for view in self._past if view.rank is not None)
        return changed


class RunnerCrash(NamedTuple):
    """Crash of a runner, and when it happened on trio's clock."""

    runner: str
    at: float


class PlatformBench:
    """Processes and stand-ins of one deployment, with methods that cause faults."""

    def __init__(self, nursery: trio.Nursery, seed: int = 1, duty: DutySettings | None = None) -> None:
        """Run all processes in ``nursery``."""
        self.usage = UsageStandIn()
        self.clocks: dict[str, VirtualClock] = {}
        self._duty = duty
        # Limits of the fronts that are added from now on.
        self.limits = InstanceLimits()
        self.network = MemoryNetwork(nursery)
        self.store = PlatformStore()
        self.runners: dict[str, RunnerStandIn] = {}
        self.fronts: dict[str, Front] = {}
        self.crashes: list[RunnerCrash] = []
        self._runners_by_address: dict[str, RunnerStandIn] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._nursery = nursery
        self._rng = Random(seed)
        self.network.listen(STORE_ADDRESS, self.store.serve)
        self.network.listen(USAGE_ADDRESS, self.usage.serve)

    def publish(self, document: object) -> None:
        """Write a configuration to the store, as the operator does."""
        self.store.put(OPERATOR_TOPIC, OPERATOR_KEY, document)

    def add_runner(self, runner: RunnerStandIn) -> None:
        """Start a runner and register it."""
        self.runners[runner.key] = runner
        self._runners_by_address[str(runner.address)] = runner
        runner.engines_by_address = self._runners_by_address
        runner.on_crash = self._schedule_crash
        self.network.listen(runner.address, runner.serve)
        self.store.put(RUNNER_TOPIC, runner.key, runner.registration)

    def crash_runner(self, runner: RunnerStandIn, *, orderly: bool = False) -> None:
        """Crash a runner with all its requests; it restarts as a new incarnation.

        The flag has the system close its connections in order, which it does if all that it received was read.
        """
        if any(end.runner == runner.key for end in self.crashes):
            return
        self.crashes.append(RunnerCrash(runner.key, trio.current_time()))
        self.network.close(runner.address)
        if orderly:
            self.network.close_all(runner.address.host)
        else:
            self.network.reset_all(runner.address.host)
        self._nursery.start_soon(self._restart_runner, runner)

    def drain_runner(self, key: str) -> None:
        """Register a runner as draining; it continues to serve."""
        self.runners[key].draining = True
        self.store.put(RUNNER_TOPIC, key, _next_registration(self.runners[key]))

    def renew_registration(self, key: str) -> None:
        """Have a runner write a heartbeat."""
        self.store.put(RUNNER_TOPIC, key, _next_registration(self.runners[key]))

    def write_late(self, key: str, delay_s: float) -> None:
        """Have the store carry out a heartbeat of a runner, as it is now, only after ``delay_s`` seconds."""
        runner = self.runners[key]
        self._nursery.start_soon(self._put_after, delay_s, runner, _next_registration(runner))

    def leave_unannounced(self, key: str) -> None:
        """Remove a runner's registration for good; it continues to serve for some time, and its health page says so."""
        self.runners[key].leaving = True
        self.drop_registration(key)

    def drop_registration(self, key: str) -> None:
        """Remove a runner's registration; it continues to serve."""
        self.store.put(RUNNER_TOPIC, key, None)

    def add_front(self, number: int, *, just_started: bool = True) -> Front:
        """Start a front; unless it has just started, it has its share in the reserve of retries."""
        cfg = front_settings(number, self._duty, self.limits)
        network = self.network.for_host(cfg.host)
        clock = self.clocks.setdefault(cfg.name, VirtualClock())
        front = Front(cfg, network, network, Random(self._rng.random()), clock)
        if not just_started:
            held = HeldShare(cfg.name, cfg.retry_window_s, clock.steady)
            front.dispatcher.budgets.reserve_share = held
        self.fronts[cfg.name] = front
        self.network.listen(cfg.listen, front.http_handler.serve)
        self.network.listen(cfg.peer_listen, front.peer_pages.serve)
        self._nursery.start_soon(self._run_front, front)
        return front

    def kill_front(self, name: str) -> None:
        """Kill a front and close its listeners."""
        self._scopes[name].cancel()
        self.network.close(self.fronts[name].cfg.listen)
        self.network.close(self.fronts[name].cfg.peer_listen)

    def new_caller(self, front: str, host: str = '10.2.0.1') -> Caller:
        """Return a new caller of the front with this name."""
        return Caller(self.network.for_host(host), self.fronts[front].cfg.listen)

    async def wait_until_ready(self) -> None:
        """Wait until all fronts are ready."""
        with trio.fail_after(READY_TIMEOUT_S):
            while not all(front.ready() for front in self.fronts.values()):
                await trio.sleep(0.01)

    async def _put_after(self, delay_s: float, runner: RunnerStandIn, registration: dict[str, object]) -> None:
        await trio.sleep(delay_s)
        self.store.put(RUNNER_TOPIC, runner.key, registration)
        if runner.leaving or runner.key not in self.runners:
            # Nobody renews it.
            await self._sleep_until_lapsed()
            self.drop_registration(runner.key)
        elif runner.draining:
            await trio.sleep(HEARTBEAT_S)
            self.store.put(RUNNER_TOPIC, runner.key, runner.registration)

    async def _sleep_until_lapsed(self) -> None:
        left_s = LAPSE_S
        while left_s > 0:
            await trio.sleep(LAPSE_STEP_S)
            left_s -= 0 if self.store.unavailable else LAPSE_STEP_S

    def _schedule_crash(self, runner: RunnerStandIn) -> None:
        self._nursery.start_soon(self._crash_after_delay, runner)

    async def _crash_after_delay(self, runner: RunnerStandIn) -> None:
        await trio.sleep(CRASH_DELAY_S)
        self.crash_runner(runner)

    async def _restart_runner(self, runner: RunnerStandIn) -> None:
        await trio.sleep(RESTART_DELAY_S)
        self.drop_registration(runner.key)
        self.add_runner(replace(runner, key=f'{runner.key}+', runs=[]))

    async def _run_front(self, front: Front) -> None:
        with trio.CancelScope() as scope:
            self._scopes[front.cfg.name] = scope
            await Supervisor('front').run(front.children())


def _next_registration(runner: RunnerStandIn) -> dict[str, object]:
    runner.heartbeats += runner.counts_heartbeats
    return runner.registration


@asynccontextmanager
async def open_bench(
    configuration: object,
    runners: Sequence[RunnerStandIn],
    fronts: int = 1,
    duty: DutySettings | None = None,
    limits: InstanceLimits | None = None,
) -> AsyncIterator[PlatformBench]:
    """Run a bench with a deployment whose fronts have been up for long, and wait until all are ready."""
    async with trio.open_nursery() as nursery:
        bed = PlatformBench(nursery, duty=duty)
        bed.limits = limits or InstanceLimits()
        bed.publish(configuration)
        for runner in runners:
            bed.add_runner(runner)
        for number in range(1, fronts + 1):
            bed.add_front(number, just_started=False)
        await bed.wait_until_ready()
        yield bed
        nursery.cancel_scope.cancel()


__all__ = ('DUTY_SETTINGS', 'PlatformBench', 'front_settings', 'open_bench')
