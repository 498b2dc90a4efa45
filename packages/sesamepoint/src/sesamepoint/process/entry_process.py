"""The entry process: supervisor tree and graceful stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio_asyncio
from prometheus_client import CollectorRegistry

from sesamepoint import events
from sesamepoint.entry.caller_app import CallerApp
from sesamepoint.entry.children import instance_children
from sesamepoint.entry.fleets import Fleets
from sesamepoint.entry.request_server import RequestServer
from sesamepoint.link.grpc_client import GrpcLink
from sesamepoint.process.admin import AdminApp
from sesamepoint.process.asgi_server import serve_asgi
from sesamepoint.process.components import ProcessComponents
from sesamepoint.supervisor import Child, Supervisor

if TYPE_CHECKING:
    from sesamepoint.control.decisions import Decision
    from sesamepoint.settings.model import EntrySettings

UNREADY_NOTICE_S = 1.5


class EntryProcess:
    """The components of one entry process, and their supervisor tree."""

    def __init__(self, cfg: EntrySettings, components: ProcessComponents, entry: RequestServer) -> None:
        """Assemble the components without starting them."""
        self._cfg = cfg
        self._components = components
        self._entry = entry
        self._stopping = False
        self._admin = AdminApp(CollectorRegistry(), self._ready, {'/state': self._state, '/decisions': self.decisions})

    @classmethod
    def from_config(cls, cfg: EntrySettings) -> EntryProcess:
        """Build the process from the entry's settings."""
        parts = ProcessComponents.from_config(cfg)
        fleets = Fleets(parts.follower, parts.instances, GrpcLink, parts.rng)
        return cls(cfg, parts, RequestServer(cfg['availability_zone'], parts.follower, fleets, parts.rng))

    async def run(self) -> None:
        """Run the tree until cancelled."""
        async with trio_asyncio.open_loop():
            events.log_event(events.PROCESS_STARTED, incarnation=self._components.incarnation)
            await Supervisor('entry').run(self._children())

    def decisions(self) -> tuple[Decision, ...]:
        """Return the latest decisions, newest last."""
        return self._entry.decisions.newest()

    async def wind_down(self) -> None:
        """Report not ready, give the load balancer time to notice, finish requests in flight."""
        self._stopping = True
        await trio.sleep(UNREADY_NOTICE_S)
        await self._entry.stop()

    def reload(self) -> None:
        """Log that these settings are only read at the start."""
        events.log_event(events.SETTINGS_REFUSED, cause='restart the process to change its settings')

    def _children(self) -> list[Child]:
        return [
            *instance_children(self._entry),
            Child('callers', self._serve_callers),
            Child('admin', self._serve_admin),
        ]

    async def _serve_callers(self) -> None:
        await self._components.follower.recovered.wait()
        await serve_asgi(CallerApp(self._entry), self._cfg['listen'])

    async def _serve_admin(self) -> None:
        await serve_asgi(self._admin, self._cfg['metrics'])

    def _ready(self) -> bool:
        return not self._stopping and self._components.follower.state.version > 0

    def _state(self) -> object:
        state = self._components.follower.state
        heard_s = trio.current_time() - self._components.follower.last_read_at
        runners = {name: view.report for name, view in self._entry.fleets.views.items() if view.alive}
        return {'version': state.version, 'offset': state.offset, 'log_heard_s': heard_s, 'runners': runners}


__all__ = ('EntryProcess',)
