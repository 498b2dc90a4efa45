"""The front of one process: all its parts except the listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.front.dispatch import Budgets, Dispatcher
from sesamepoint.front.door import Door
from sesamepoint.front.engine_runs import EngineRuns
from sesamepoint.front.engine_tools import EngineTools
from sesamepoint.front.fleet import Fleet
from sesamepoint.front.following import Beliefs, Following
from sesamepoint.front.gate import Gate
from sesamepoint.front.inventory import Inventory
from sesamepoint.front.known_engines import KnownEngines
from sesamepoint.front.runner_limits import RunnerLimits
from sesamepoint.front.limit_exchange import LimitExchange
from sesamepoint.front.peers import Peers
from sesamepoint.front.quarantine import Quarantine
from sesamepoint.front.sends import SendNotes
from sesamepoint.http1.server import ServerLimits
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.peer_network import PeerNetwork
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.http1.transport import Network

# Seconds after the signal to stop until idle connections are closed. Callers still
# come until the platform notices, after two readiness checks a second apart; there
# is time for one more check.
NOTICE_S = 3.2
# Seconds after the signal in which requests with any deadline are accepted: the
# platform sends callers to other instances only once it has noticed, and makes
# allowance for requests sent within three seconds of the signal.
TAKING_S = 2.8
# Seconds kept free at the end of the time to stop.
LAST_S = 0.3
# Interval of the check for requests in progress while stopping, in seconds.
POLL_S = 0.05


class Front:
    """Accepts the connections of callers and serves their requests."""

    def __init__(
        self,
        cfg: FrontSettings,
        network: Network,
        peer_network: PeerNetwork,
        rng: Random,
        clock: Clock | None = None,
    ) -> None:
        """Create the parts without starting them; without a clock the system clock is used."""
        self.cfg = cfg
        self._runner_limits = RunnerLimits(cfg.name, rng)
        quarantine = Quarantine(cfg.name)
        gate = Gate.from_limits(self._runner_limits, quarantine.suspects)
        self.fleet = Fleet(cfg.drain_s, network, trio.current_time, gate)
        sends = SendNotes(cfg.name, self.fleet, rng)
        self.backlog = sends.backlog
        known = KnownEngines(cfg.name, self.fleet)
        self.peers = Peers(cfg, sends, quarantine, known, peer_network)
        self._inventory = Inventory(self.fleet, known, rng)
        budgets = Budgets(cfg.retry_ratio, cfg.retry_window_s)
        self._tools = EngineTools.from_zone(cfg.availability_zone, known, sends, gate.words, rng)
        self._exchange = LimitExchange(self._tools, self.fleet, known, self.peers)
        self.dispatcher = Dispatcher(self._tools, EngineRuns(self._tools), quarantine, budgets, rng)
        beliefs = Beliefs(self.dispatcher, self.fleet, gate.words, self.peers, budgets, quarantine)
        self._following = Following(cfg, beliefs, network, rng, clock)
        self.peer_pages = self._following.pages
        self.door = Door(self.dispatcher, self._limits)
        self.listening = trio.CancelScope()
        self._watch(quarantine)

    def children(self) -> list[Child]:
        """Return the background tasks besides the listeners."""
        return [
            *self._following.children(),
            Child('keep-alive', self.peers.keep_alive),
            Child('peer-listen', self.peers.listen),
            Child('peer-tell', self.peers.tell),
            Child('peer-notices', self.peers.tell_notices),
            Child('handles', self._tools.reclaimer.run),
            Child('waiting', self._tools.waiting.run),
            Child('inventory', self._inventory.run),
            Child('runner-limits', self._exchange.run),
        ]

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Apply ``cfg``; changed addresses need a restart."""
        self.cfg = cfg
        self.fleet.allow(cfg.drain_s)
        self._following.reconfigure(cfg)

    def ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return not self.door.stopping and self.fleet.listed and self.dispatcher.configuration is not None

    async def wind_down(self) -> None:
        """Become unready, let the platform notice, and finish the requests in progress."""
        self.door.stopping = True
        end_at = trio.current_time() + self.cfg.stop_s - LAST_S
        with trio.move_on_at(end_at):
            await trio.sleep(TAKING_S)
            self.door.end_by = end_at
            await trio.sleep(NOTICE_S - TAKING_S)
            # New connections are refused from here on, so that callers know that
            # nothing ran. A request accepted now could be cut off.
            self.listening.cancel()
            self.door.close_idle()
            await self._following.withdraw()
            while self.door.active:
                await trio.sleep(POLL_S)

    def _watch(self, quarantine: Quarantine) -> None:
        tools, fleet = self._tools, self.fleet
        gauges = (
            ('waiting_requests', 'Requests that wait here for an engine.', tools.waiting.count),
            ('active_requests', 'Requests under way.', lambda: self.door.active),
            ('entries', 'Entries that are registered.', self.peers.count),
            ('runners', 'Runners that are known.', lambda: len(fleet.members)),
            ('waiting_for_limits', 'Requests that wait for runners with limits, or at rest.', tools.places.count),
            ('limited_runners', 'Runners that name a limit.', self._runner_limits.count),
            ('leaving_runners', 'Runners that leave.', fleet.leaving),
            ('resting_runners', 'Runners that want nothing from here now.', fleet.resting),
            ('configuration_version', 'Version in force; 0 before the first.', self._version),
        )
        watch = self.dispatcher.metrics.watch
        for name, text, value_of in gauges:
            watch(f'sesamepoint_{name}', text, value_of)
        quarantine.watch(watch)

    def _version(self) -> float:
        cfg = self.dispatcher.configuration
        return cfg.version if cfg else 0

    def _limits(self) -> ServerLimits:
        cfg = self.dispatcher.configuration
        if cfg is None:
            return ServerLimits()
        limits = cfg.limits
        return ServerLimits(limits.head_bytes, limits.body_bytes, limits.head_s, limits.idle_s)


__all__ = ('Front',)
