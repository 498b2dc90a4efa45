"""The agent process: supervisor tree and graceful stop."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import trio
from prometheus_client import CollectorRegistry

from sesamepoint import events
from sesamepoint.agent.agent import Agent
from sesamepoint.agent.children import agent_children
from sesamepoint.keys.shard_coordinators import ShardCoordinators
from sesamepoint.link.grpc_server import serve_agent
from sesamepoint.process.admin import AdminApp
from sesamepoint.process.asgi_server import serve_asgi
from sesamepoint.process.components import ProcessComponents
from sesamepoint.supervisor import Child, Supervisor
from sesamepoint.upstream.base import UPSTREAM_ADAPTERS

if TYPE_CHECKING:
    from sesamepoint.settings.model import AgentSettings

DRAIN_NOTICE_S = 1.5


class AgentProcess:
    """The components of one agent process, and their supervisor tree."""

    def __init__(self, cfg: AgentSettings, components: ProcessComponents, agent: Agent) -> None:
        """Assemble the components without starting them."""
        self._cfg = cfg
        self._components = components
        self._agent = agent
        self._admin = AdminApp(CollectorRegistry(), lambda: agent.ready, {'/state': self._state})

    @classmethod
    def from_config(cls, cfg: AgentSettings) -> AgentProcess:
        """Build the process from the agent's settings."""
        parts = ProcessComponents.from_config(cfg)
        adapter = UPSTREAM_ADAPTERS.get(cfg['upstream']['adapter'])
        upstream = adapter.from_config(cfg['upstream'])
        homes = ShardCoordinators(parts.log, cfg['deployment'], parts.incarnation, time.time)
        return cls(cfg, parts, Agent(cfg['runner'], upstream, parts.follower, homes))

    async def run(self) -> None:
        """Run the tree until cancelled.

        The address is bound first and outside the tree: while an earlier
        process of this slot is alive, even paused, the bind fails, so that
        two agents cannot give orders to one upstream.
        """
        host, _, port = self._cfg['listen'].rpartition(':')
        async with trio.open_nursery() as nursery:
            await nursery.start(serve_agent, self._agent, host, int(port))
            events.log_event(events.PROCESS_STARTED, incarnation=self._components.incarnation)
            await Supervisor('agent').run(self._children())

    async def wind_down(self) -> None:
        """Accept no new requests, give entries time to notice, finish running requests."""
        self._agent.draining = True
        await trio.sleep(DRAIN_NOTICE_S)
        await self._agent.drained()

    def reload(self) -> None:
        """Log that these settings are only read at the start."""
        events.log_event(events.SETTINGS_REFUSED, cause='restart the process to change its settings')

    def _children(self) -> list[Child]:
        return [*agent_children(self._agent), Child('admin', self._serve_admin)]

    async def _serve_admin(self) -> None:
        await serve_asgi(self._admin, self._cfg['metrics'])

    def _state(self) -> object:
        state = self._components.follower.state
        return {
            'runner': self._agent.runner,
            'version': state.version,
            'offset': state.offset,
            'load': self._agent.load,
        }


__all__ = ('AgentProcess',)
