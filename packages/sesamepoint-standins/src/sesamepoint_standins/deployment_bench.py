"""Test bench that runs a whole deployment in one process.

The entries and agents are the real ones. The links, the log, the list of
instances and the engines are the stand-ins of this package.
"""

from __future__ import annotations

from contextlib import asynccontextmanager
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from sesamepoint_core.config.check import parse_configuration
from sesamepoint_core.fold.records import Publish
from sesamepoint.agent.agent import Agent
from sesamepoint.agent.children import agent_children
from sesamepoint.control.follower import Follower
from sesamepoint.entry.request_server import RequestServer
from sesamepoint.entry.fleets import Fleets
from sesamepoint.entry.children import instance_children
from sesamepoint.keys.shard_coordinators import ShardCoordinators
from sesamepoint.unique_ids import new_incarnation
from sesamepoint.supervisor import Supervisor
from sesamepoint_standins.engine import Engine
from sesamepoint_standins.process_faults import PausableInstances, PausableLog, PausableUpstream, ProcessFaults
from sesamepoint_standins.memory_platform import MemoryInstances, MemoryLog
from sesamepoint_standins.memory_engine import MemoryEngine
from sesamepoint_standins.memory_link import AgentEndpoint, MemoryLink, NetworkPath

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sesamepoint_core.config.model import Configuration, RunnerConfig

# Network delay, one way.
SAME_ZONE_DELAY_S = 0.0002
OTHER_ZONE_DELAY_S = 0.0015
DEFAULT_ROLE = 'mixed'
# Tokens per chunk of an answer.
FLUSH_TOKENS = 64


class BenchAgent:
    """One agent process of the bench."""

    def __init__(self, agent: Agent, faults: ProcessFaults) -> None:
        """Create the process without starting it."""
        self.agent = agent
        self.faults = faults
        self.scope = trio.CancelScope()
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the supervised tasks until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                await Supervisor('agent').run(agent_children(self.agent))

    async def stop(self) -> None:
        """Stop gracefully, as on SIGTERM."""
        self.agent.draining = True
        await self.agent.drained()
        self.scope.cancel()


class BenchEntry:
    """One entry process of the bench."""

    def __init__(self, entry: RequestServer, faults: ProcessFaults) -> None:
        """Create the process without starting it."""
        self.entry = entry
        self.faults = faults
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        """Run the supervised tasks until killed."""
        with self.scope:
            await Supervisor('entry').run(instance_children(self.entry))

    async def stop(self) -> None:
        """Stop gracefully, as on SIGTERM."""
        await self.entry.stop()
        self.scope.cancel()


class DeploymentBench:
    """Processes and stand-ins of one deployment."""

    def __init__(self, configuration: Configuration, seed: int, nursery: trio.Nursery) -> None:
        """Start the engines; agents and entries are started separately."""
        self.configuration = configuration
        self.log = MemoryLog()
        self.instances = MemoryInstances()
        self.engines: dict[str, Engine] = {}
        self.upstreams: dict[str, MemoryEngine] = {}
        self.agents: dict[str, BenchAgent] = {}
        self.entries: dict[str, BenchEntry] = {}
        self.policy = 'default'
        self.network_paths: dict[tuple[str, str], NetworkPath] = {}
        self._seeds = Random(seed)
        self._nursery = nursery
        for name, runner in configuration['runners'].items():
            self._add_engine(name, runner)

    @classmethod
    @asynccontextmanager
    async def open(
        cls,
        configuration: dict[str, Any],
        seed: int = 1,
        entries: int = 2,
        policy: str = 'default',
        fleets: frozenset[str] | None = None,
    ) -> AsyncIterator[DeploymentBench]:
        """Run a bench with ``entries`` entries and the agents of the configuration.

        With ``fleets``, only the agents of these fleets are started.
        """
        checked = parse_configuration(msgspec.json.encode(configuration))
        async with trio.open_nursery() as nursery:
            bed = cls(checked, seed, nursery)
            bed.policy = policy
            for runner, cfg in checked['runners'].items():
                if cfg['fleet'] in (fleets or checked['fleets']):
                    bed.start_agent(runner)
            for number in range(entries):
                bed.start_entry(f'entry-{number + 1}')
            await bed.publish(configuration)
            yield bed
            nursery.cancel_scope.cancel()

    def start_agent(self, runner: str) -> BenchAgent:
        """Start a new agent process in a runner's slot."""
        gate = ProcessFaults()
        follower = self._new_follower(f'agent-{runner}', gate)
        upstream = PausableUpstream(self.upstreams[runner], gate)
        log = PausableLog(self.log, gate)
        homes = ShardCoordinators(log, self.configuration['deployment'], follower.writer, trio.current_time)
        started = BenchAgent(Agent(runner, upstream, follower, homes), gate)
        self.agents[runner] = started
        self._nursery.start_soon(started.run)
        return started

    def start_entry(self, name: str) -> BenchEntry:
        """Start a new entry process."""
        gate = ProcessFaults()
        follower = self._new_follower(name, gate)
        zones = sorted({runner['availability_zone'] for runner in self.configuration['runners'].values()})
        zone = zones[len(self.entries) % len(zones)]
        rng = Random(self._seeds.random())
        fleets = Fleets(
            follower,
            PausableInstances(self.instances, gate),
            lambda address: self._open_link(name, zone, address, gate),
            rng,
        )
        started = BenchEntry(RequestServer(zone, follower, fleets, rng, self.policy), gate)
        self.entries[name] = started
        self._nursery.start_soon(started.run)
        return started

    def kill_entry(self, name: str) -> None:
        """Kill an entry process; the connections of its callers break."""
        killed = self.entries.pop(name)
        killed.scope.cancel()
        killed.faults.paused = True

    async def publish(self, configuration: dict[str, Any]) -> None:
        """Publish on top of the current version and wait until it is applied."""
        async with self.operator_follower() as follower:
            raw = msgspec.Raw(msgspec.json.encode(configuration))
            await follower.submit(Publish(follower.state.version, 'bed', raw))

    @asynccontextmanager
    async def operator_follower(self) -> AsyncIterator[Follower]:
        """Yield a follower of the control stream, as an operator's tool uses it."""
        follower = self._new_follower('operator', ProcessFaults())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.follow)
            await follower.recovered.wait()
            yield follower
            nursery.cancel_scope.cancel()

    def _add_engine(self, name: str, runner: RunnerConfig) -> None:
        roles = self.configuration['fleets'][runner['fleet']]['roles']
        role = roles.get(name, DEFAULT_ROLE)
        engine = Engine(role, checks_fencing=runner['checks_fencing'], flush_tokens=FLUSH_TOKENS)
        self.engines[name] = engine
        self.upstreams[name] = MemoryEngine(engine)
        self._nursery.start_soon(engine.run)

    def _new_follower(self, name: str, faults: ProcessFaults) -> Follower:
        rng = Random(self._seeds.random())
        writer = new_incarnation(name, rng)
        return Follower(PausableLog(self.log, faults), self.configuration['deployment'], writer, rng)

    def _open_link(self, entry: str, zone: str, address: str, faults: ProcessFaults) -> MemoryLink:
        runner, cfg = next(
            (name, runner_cfg)
            for name, runner_cfg in self.configuration['runners'].items()
            if runner_cfg['agent'] == address
        )
        delay_s = SAME_ZONE_DELAY_S if cfg['availability_zone'] == zone else OTHER_ZONE_DELAY_S
        wire = self.network_paths.setdefault((entry, runner), NetworkPath(delay_s))
        return MemoryLink(address, wire, lambda: self._find_agent(runner), faults)

    def _find_agent(self, runner: str) -> AgentEndpoint | None:
        process = self.agents.get(runner)
        if process is None or process.nursery is None or process.scope.cancel_called:
            return None
        return AgentEndpoint(process.agent, process.faults, process.nursery)


__all__ = ('BenchAgent', 'BenchEntry', 'DeploymentBench')
