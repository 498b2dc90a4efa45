"""The front process: supervisor tree, listeners and reload of settings."""

from __future__ import annotations

import math
from functools import partial
from importlib import import_module
from random import SystemRandom
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.address import Address
from sesamepoint import events
from sesamepoint.front.front import Front
from sesamepoint.front.pages import Page, Pages
from sesamepoint.front.peering.peer_network import SocketPeerNetwork
from sesamepoint.http1.link_pacing import LinkPacer
from sesamepoint.http1.socket_options import bound_buffers
from sesamepoint.http1.transport import SocketNetwork, SocketTransport
from sesamepoint.platform.settings import decode_settings, read_settings_text
from sesamepoint.platform.wire_names import READY_PATH
from sesamepoint.process.burst_listener import BurstListener
from sesamepoint.process.settings_reload import SettingsReload
from sesamepoint.process.connections import serve_caller, serve_peer
from sesamepoint.supervisor import Child, Supervisor

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    Serve = Callable[[SocketTransport], Awaitable[None]]

METRICS_PATH = '/metrics'
# Metrics are also served on this fixed port, which the deploy file names: the
# address for readiness may differ from day to day.
METRICS_PORT = 9464
# The library of the metrics page is imported this long after the start, in seconds,
# when the first requests have been served.
METRICS_LIBRARY_DELAY_S = 5.0


class FrontProcess:
    """The components of one front process, and their supervisor tree."""

    def __init__(self, path: Path, text: str) -> None:
        """Assemble the components by the ``text`` of the settings file ``path``, without starting them."""
        cfg = decode_settings(text)
        pacer = LinkPacer(cfg.link_bytes_s)
        network = SocketNetwork(pacer, bounded_buffers=not math.isinf(cfg.limits.memory_bytes))
        self._front = Front(cfg, network, SocketPeerNetwork(pacer), SystemRandom())
        self._settings = SettingsReload(path, text, self._front, pacer)
        # Reads the settings file again.
        self.reload = self._settings.run

    @classmethod
    def from_config(cls, path: Path) -> FrontProcess:
        """Build the process from the settings file ``path``, which may change later."""
        return cls(path, read_settings_text(path))

    @property
    def name(self) -> str:
        """Return the name of this instance."""
        return self._front.cfg.name

    async def run(self) -> None:
        """Run the tree until cancelled."""
        cfg = self._front.cfg
        events.log_event(events.PROCESS_STARTED, node=cfg.name, address=str(cfg.listen))
        async with trio.open_nursery() as connections:
            await Supervisor('front').run(self._children(connections))

    async def wind_down(self) -> None:
        """Report not ready, give the platform time to notice, finish requests in progress."""
        await self._front.wind_down()

    def _children(self, connections: trio.Nursery) -> list[Child]:
        cfg = self._front.cfg
        return [
            Child('callers', partial(self._serve_callers, connections)),
            Child('readiness', partial(_listen, self._pages().serve, cfg.ready_listen)),
            Child('metrics', self._serve_metrics),
            Child('peers', partial(_listen, self._front.peer_pages.serve, self._front.cfg.peer_listen)),
            Child('metrics-library', _load_metrics_library),
            Child('settings', self._settings.watch),
            *self._front.children(),
        ]

    async def _serve_callers(self, connections: trio.Nursery) -> None:
        """Accept connections until the stop; connections outlive the listener."""
        with self._front.listener_scope:
            host, port = self._front.cfg.listen
            listener = BurstListener.open(host, port, self._front.room.lag.in_excess)
            if self._front.room.memory.limited:
                bound_buffers(listener.socket)
            serve = partial(serve_caller, self._front.http_handler.serve)
            await trio.serve_listeners(serve, [listener], handler_nursery=connections)

    async def _serve_metrics(self) -> None:
        """Serve metrics; if the port is in use, only log that."""
        address = Address(self._front.cfg.host, METRICS_PORT)
        try:
            await _listen(self._pages().serve, address)
        except OSError as exc:
            events.log_event(events.METRICS_NOT_SERVED, address=str(address), cause=repr(exc))

    def _pages(self) -> Pages:
        return Pages(
            {
                READY_PATH: Page(_empty_body, self._front.ready),
                METRICS_PATH: Page(self._front.dispatcher.metrics.render, _always),
            }
        )


async def _listen(serve: Serve, address: tuple[str, int]) -> None:
    host, port = address
    listeners = await trio.open_tcp_listeners(port, host=host)
    await trio.serve_listeners(partial(serve_peer, serve), listeners)


async def _load_metrics_library() -> None:
    """Import what the metrics page needs in a thread, so that the first reader does not stop the loop."""
    await trio.sleep(METRICS_LIBRARY_DELAY_S)
    await trio.to_thread.run_sync(import_module, 'sesamepoint.front.telemetry.metrics_page')


def _empty_body() -> bytes:
    return b''


def _always() -> bool:
    return True


__all__ = ('FrontProcess',)
