"""The front of one process: all its parts except the listeners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint.front.dispatch import Dispatcher
from sesamepoint.front.http_handler import HttpHandler
from sesamepoint.front.engine_model.engine_tracking import EngineTracking
from sesamepoint.front.instance_room.room import InstanceRoom
from sesamepoint.front.engines.engine_runs import EngineRuns
from sesamepoint.front.dispatch_components import DispatchComponents
from sesamepoint.front.fleet_health.shared_health import SharedHealth
from sesamepoint.front.runners.fleet import Fleet
from sesamepoint.front.store.store_sync import StoreSync, SyncTargets
from sesamepoint.front.runners.send_check import SendCheck
from sesamepoint.front.runners.engine_subset import EngineSubset
from sesamepoint.front.peering.exchanges import Exchanges
from sesamepoint.front.peering.peers import Peers
from sesamepoint.front.quarantine.quarantine import Quarantine
from sesamepoint.front.engines.engine_sends import SendTracker
from sesamepoint.supervisor import Child

if TYPE_CHECKING:
    from random import Random

    from sesamepoint.front.clocks import Clock
    from sesamepoint.front.peering.peer_network import PeerNetwork
    from sesamepoint.front.settings import FrontSettings
    from sesamepoint.http1.transport import Network

# Seconds after the signal to stop until idle connections are closed. Callers still
# come until the platform notices, after two readiness checks a second apart; there
# is time for one more check.
UNREADY_NOTICE_S = 3.2
# Share of the time to stop that is at most spent on that: the rest is for requests on connections that are in use.
MAX_NOTICE_SHARE = 0.5
# Seconds kept free at the end of the time to stop, and before that for the last answers on their way to callers.
STOP_MARGIN_S = 0.3
LAST_ANSWERS_S = 0.1
# Interval of the check for requests in progress while stopping, in seconds.
DRAIN_POLL_S = 0.05


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
        """Create the components without starting them; without a clock the system clock is used."""
        self.cfg = cfg
        self.room = InstanceRoom(cfg, network)
        network = self.room.network
        quarantine = Quarantine(cfg.name)
        send_check = SendCheck.for_instance(cfg.name, rng, quarantine.suspects)
        self.fleet = Fleet(cfg.drain_s, network, trio.current_time, send_check)
        sends = SendTracker(cfg.name, self.fleet, rng)
        self.backlog = sends.backlog
        engine_subset = EngineSubset(cfg.name, self.fleet)
        self.peers = Peers(cfg, sends, quarantine, engine_subset, peer_network)
        self._engine_tracking = EngineTracking(self.fleet, engine_subset, self.peers, rng)
        self.room.lag.join(self.peers)
        self._components = DispatchComponents.build(cfg, engine_subset, sends, send_check.runner_statuses, rng, clock)
        self._components.planned_stop.count_instances = self.peers.count
        eligible = self._components.selector.eligible
        self._shared_health = SharedHealth(self.fleet, engine_subset, self.peers, eligible, cfg.heartbeat_s)
        self._exchanges = Exchanges.build(self._components, self.fleet, engine_subset, self.peers)
        self.dispatcher = Dispatcher(self._components, EngineRuns(self._components), quarantine, rng)
        sync_targets = SyncTargets(
            self.dispatcher, self.fleet, send_check.runner_statuses, self.peers, self._components.budgets, quarantine
        )
        self._store_sync = StoreSync(cfg, sync_targets, network, rng, clock)
        self.peer_pages = self._store_sync.pages
        self.http_handler = HttpHandler(self.dispatcher, self.room)
        self.room.connections.close_idle_outgoing = self.fleet.close_idle
        self.room.connections.close_idle_callers = self.http_handler.close_longest_idle
        self.dispatcher.lag = self.room.lag
        self.dispatcher.take_ups = self._exchanges.take_ups
        self.listener_scope = trio.CancelScope()
        self._add_gauges(quarantine)

    def children(self) -> list[Child]:
        """Return the background tasks besides the listeners."""
        return [
            *self._store_sync.children(),
            *self.room.children(),
            Child('keep-alive', self.peers.send_heartbeats),
            Child('peer-listen', self.peers.listen),
            Child('peer-tell', self.peers.broadcast_sends),
            Child('peer-notices', self.peers.send_queued),
            Child('handles', self._components.reclaimer.run),
            Child('waiting', self._components.engine_queue.run),
            *self._shared_health.children(),
            *self._engine_tracking.children(),
            *self._exchanges.children(),
        ]

    def reconfigure(self, cfg: FrontSettings) -> None:
        """Apply ``cfg``, in which only settings have changed that take effect at once."""
        self.cfg = cfg
        self.fleet.set_drain(cfg.drain_s)
        self.room.reconfigure(cfg)
        self._store_sync.reconfigure(cfg)
        self._shared_health.reconfigure(cfg.heartbeat_s)

    def ready(self) -> bool:
        """Return whether callers may be sent to this instance."""
        return not self.http_handler.stopping and self.fleet.listed and self.dispatcher.configuration is not None

    async def wind_down(self) -> None:
        """Become unready, let the platform notice, and finish the requests in progress."""
        self.http_handler.stopping = True
        end_at = trio.current_time() + self.cfg.stop_s - STOP_MARGIN_S
        self.dispatcher.begin_stop(end_at - LAST_ANSWERS_S)
        with trio.move_on_at(end_at):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._store_sync.give_back_duty)
                await trio.sleep(min(UNREADY_NOTICE_S, MAX_NOTICE_SHARE * self.cfg.stop_s))
            # New connections are refused from here on, so that callers know that
            # nothing ran. A request accepted now could be cut off.
            self.listener_scope.cancel()
            self.http_handler.close_idle()
            await self._store_sync.withdraw()
            while self.http_handler.active:
                await trio.sleep(DRAIN_POLL_S)

    def _add_gauges(self, quarantine: Quarantine) -> None:
        components, fleet = self._components, self.fleet
        gauges = (
            ('waiting_requests', 'Requests that wait here for an engine.', components.engine_queue.count),
            ('active_requests', 'Requests under way.', lambda: self.http_handler.active),
            ('entries', 'Entries that are registered.', self.peers.count),
            ('runners', 'Runners that are known.', lambda: len(fleet.members)),
            (
                'waiting_for_limits',
                'Requests that wait for runners with limits, or at rest.',
                components.permit_queue.count,
            ),
            ('limited_runners', 'Runners that name a limit.', self._components.limits.count),
            ('ejected_runners', 'Runners that are ejected here.', self._shared_health.count_ejected),
            ('leaving_runners', 'Runners that leave.', fleet.count_draining),
            (
                'unconfirmed_runners',
                'Returned runners that have not shown that they serve.',
                lambda: sum(member.presence.unconfirmed for member in fleet.members.values()),
            ),
            (
                'returned_runners',
                'Runners that were used again after their registration had been removed, so far.',
                lambda: fleet.history.confirmations,
            ),
            ('resting_runners', 'Runners that want nothing from here now.', fleet.count_backing_off),
            (
                'retry_reserve_share',
                'Sends beyond the first that this instance may take from the reserve.',
                components.budgets.share,
            ),
            ('retry_spent', 'Sends beyond the first in the window of the retry budget.', components.budgets.spent),
            ('retry_unread', 'Sends beyond the first that no runner was seen to read.', components.budgets.unread),
            ('retry_requests', 'Requests in the window of the retry budget.', components.budgets.requests),
            ('configuration_version', 'Version in force; 0 before the first.', self._config_version),
        )
        add_gauge = self.dispatcher.metrics.add_gauge
        for name, text, value_of in gauges:
            add_gauge(f'sesamepoint_{name}', text, value_of)
        quarantine.watch(add_gauge)
        self._engine_tracking.watch(add_gauge)
        self._exchanges.account_work.watch(add_gauge)
        self._exchanges.take_ups.watch(add_gauge)
        self.room.add_gauges(add_gauge)

    def _config_version(self) -> float:
        cfg = self.dispatcher.configuration
        return cfg.version if cfg else 0


__all__ = ('Front',)
