"""The front process: its supervisor tree and its graceful stop."""

from __future__ import annotations

from functools import partial
from random import SystemRandom
from typing import TYPE_CHECKING

import trio
from prometheus_client import CollectorRegistry, generate_latest

from sesamepoint import events
from sesamepoint.front.choice import Chooser
from sesamepoint.front.dispatch import Budgets, Dispatcher
from sesamepoint.front.door import Door
from sesamepoint.front.engine_runs import EngineRuns, EngineTools
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.intake import Beliefs, Intake
from sesamepoint.front.pages import Page, Pages
from sesamepoint.front.peers import Peers
from sesamepoint.front.prefill import HandleReclaimer
from sesamepoint.front.sends import SendNotes
from sesamepoint.front.waiting import WaitingRoom
from sesamepoint.http1.server import ServerLimits
from sesamepoint.platform.names import READY_PATH
from sesamepoint.supervisor import Child, Supervisor

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sesamepoint.front.settings import FrontSettings

    Serve = Callable[[trio.SocketStream], Awaitable[None]]

# After a signal to stop, callers still come for as long as the platform
# takes to notice; then idle connections are closed.
NOTICE_S = 3.2
# Kept free at the end of the time to stop.
LAST_S = 0.3
POLL_S = 0.05
METRICS_PATH = '/metrics'


class FrontProcess:
    """Everything that runs in one front process."""

    def __init__(self, cfg: FrontSettings) -> None:
        """Put the tree together without starting it."""
        self._cfg = cfg
        self._stopping = False
        rng = SystemRandom()
        self._fleet = Fleet(cfg.drain_s, trio.current_time)
        sends = SendNotes(cfg.name, self._fleet, rng)
        self._peers = Peers(cfg, sends)
        self._reclaimer = HandleReclaimer()
        budgets = Budgets(cfg.retry_ratio, cfg.retry_reserve)
        chooser = Chooser(self._fleet, cfg.availability_zone)
        self._waiting = WaitingRoom(chooser)
        engine_runs = EngineRuns(EngineTools(chooser, sends, self._reclaimer, self._waiting, self._peers))
        self._dispatcher = Dispatcher(chooser, engine_runs, budgets, rng)
        self._intake = Intake(cfg, Beliefs(self._dispatcher, self._fleet, self._peers, budgets), rng)
        self._door = Door(self._dispatcher, self._limits)
        self._registry = CollectorRegistry()

    @classmethod
    def from_config(cls, cfg: FrontSettings) -> FrontProcess:
        """Build from the settings of the process."""
        return cls(cfg)

    async def run(self) -> None:
        """Run the tree until cancelled."""
        events.log_event(events.PROCESS_STARTED, node=self._cfg.name, address=str(self._cfg.listen))
        await Supervisor('front').run(self._children())

    async def wind_down(self) -> None:
        """Turn unready, let the platform notice, finish what is under way."""
        self._stopping = True
        self._door.stopping = True
        with trio.move_on_after(self._cfg.stop_s - LAST_S):
            await trio.sleep(NOTICE_S)
            self._door.close_idle()
            while self._door.active:
                await trio.sleep(POLL_S)

    def _children(self) -> list[Child]:
        return [
            Child('callers', partial(_listen, self._door.serve, self._cfg.listen)),
            Child('readiness', partial(_listen, self._pages().serve, self._cfg.ready_listen)),
            Child('configuration', self._intake.follow_configuration),
            Child('runners', self._intake.follow_runners),
            Child('entries', self._intake.follow_entries),
            Child('peer-listen', self._peers.listen),
            Child('peer-tell', self._peers.tell),
            Child('handles', self._reclaimer.run),
            Child('waiting', self._waiting.run),
        ]

    def _pages(self) -> Pages:
        return Pages(
            {
                READY_PATH: Page(_no_text, self._ready),
                METRICS_PATH: Page(partial(generate_latest, self._registry), _always),
            }
        )

    def _ready(self) -> bool:
        return not self._stopping and self._fleet.listed and self._dispatcher.configuration is not None

    def _limits(self) -> ServerLimits:
        cfg = self._dispatcher.configuration
        if cfg is None:
            return ServerLimits()
        limits = cfg.limits
        return ServerLimits(limits.head_bytes, limits.body_bytes, limits.head_s, limits.idle_s)


async def _listen(serve: Serve, address: tuple[str, int]) -> None:
    host, port = address
    listeners = await trio.open_tcp_listeners(port, host=host)
    await trio.serve_listeners(serve, listeners)


def _no_text() -> bytes:
    return b''


def _always() -> bool:
    return True


__all__ = ('FrontProcess',)
