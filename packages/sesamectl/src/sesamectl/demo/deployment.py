"""One deployment of the demo: stand-in engines, agents and instances on loopback."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from sesamepoint.process.agent_process import AgentProcess
from sesamepoint.process.asgi_server import serve_asgi
from sesamepoint.process.entry_process import EntryProcess
from sesamepoint_standins.asgi_apps import EngineApp, PlainApp
from sesamepoint_standins.engine import Engine

if TYPE_CHECKING:
    from sesamepoint_core.config.model import Configuration
    from sesamepoint_standins.memory_platform import MemoryInstances

ROLE_CHANGE_S = 2.0
UPSTREAM_PORT_OFFSET = 400
METRICS_PORT_OFFSET = 800
ENTRY_COUNT = 2
PLATFORM_ADDRESS = '127.0.0.1:6950'


class DemoDeployment:
    """All processes of one user, each started separately."""

    def __init__(self, cfg: Configuration, entry_port: int, instances: MemoryInstances) -> None:
        """Prepare the deployment without starting it."""
        self.cfg = cfg
        self.engines: dict[str, Engine] = {}
        self.entries = [f'127.0.0.1:{entry_port + number}' for number in range(ENTRY_COUNT)]
        self.processes: list[EntryProcess] = []
        self._instances = instances
        self._scopes: dict[str, trio.CancelScope] = {}
        self._agents: dict[str, AgentProcess] = {}

    async def run(self) -> None:
        """Run all processes until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for runner in self.cfg['runners']:
                await self._start_upstream(runner)
                self.start_agent(runner)
            for number, address in enumerate(self.entries):
                process = EntryProcess.from_config(self._entry_settings(number, address))
                self.processes.append(process)
                nursery.start_soon(process.run)
            await trio.sleep_forever()

    def start_agent(self, runner: str) -> None:
        """Start the agent of a runner."""
        self._scopes[runner] = trio.CancelScope()
        self._agents[runner] = AgentProcess.from_config(self._agent_settings(runner))
        self._instances.put(self.cfg['runners'][runner]['agent'], draining=False)
        self._nursery.start_soon(self._run_agent, runner, self._agents[runner], self._scopes[runner])

    async def replace_agent(self, runner: str) -> None:
        """Drain and stop the agent of a runner, as the platform does, and start a new one."""
        self._instances.put(self.cfg['runners'][runner]['agent'], draining=True)
        await self._agents[runner].wind_down()
        self._scopes[runner].cancel()
        await trio.sleep(1)
        self.start_agent(runner)

    async def _run_agent(self, runner: str, process: AgentProcess, scope: trio.CancelScope) -> None:
        with scope:
            await process.run()

    async def _start_upstream(self, runner: str) -> None:
        cfg = self.cfg['runners'][runner]
        fleet = self.cfg['fleets'][cfg['fleet']]
        address = _add_port_offset(cfg['agent'], UPSTREAM_PORT_OFFSET)
        if fleet['kind'] == 'plain':
            await self._nursery.start(serve_asgi, PlainApp(), address)
            return
        engine = Engine(fleet['roles'].get(runner, 'mixed'), checks_fencing=cfg['checks_fencing'])
        engine.role_change_s = ROLE_CHANGE_S
        self.engines[runner] = engine
        self._nursery.start_soon(engine.run)
        await self._nursery.start(serve_asgi, EngineApp(engine), address)

    def _agent_settings(self, runner: str) -> Any:
        cfg = self.cfg['runners'][runner]
        kind = self.cfg['fleets'][cfg['fleet']]['kind']
        upstream = {'adapter': kind, 'url': f'http://{_add_port_offset(cfg["agent"], UPSTREAM_PORT_OFFSET)}'}
        return {
            **self._settings(f'agent-{runner}', cfg['availability_zone'], cfg['agent']),
            'runner': runner,
            'upstream': upstream,
        }

    def _entry_settings(self, number: int, address: str) -> Any:
        zones = sorted({runner['availability_zone'] for runner in self.cfg['runners'].values()})
        return self._settings(f'entry-{number + 1}', zones[number % len(zones)], address)

    def _settings(self, name: str, zone: str, address: str) -> dict[str, Any]:
        platform = {'adapter': 'http', 'url': f'http://{PLATFORM_ADDRESS}'}
        return {
            'name': name,
            'availability_zone': zone,
            'deployment': self.cfg['deployment'],
            'listen': address,
            'metrics': _add_port_offset(address, METRICS_PORT_OFFSET),
            'log': platform,
            'instances': platform,
        }


def _add_port_offset(address: str, offset: int) -> str:
    host, _, port = address.rpartition(':')
    return f'{host}:{int(port) + offset}'


__all__ = ('PLATFORM_ADDRESS', 'DemoDeployment')
