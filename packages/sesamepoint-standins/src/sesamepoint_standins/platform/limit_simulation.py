"""Simulation of instances that share the rate limit of one runner, over a faulty network."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from sesamepoint_core.runner_limit.known_limit import FIRST_IN_FLIGHT
from sesamepoint_core.runner_limit.messages import Rank
from sesamepoint_core.runner_limit.share_lender import IDLE_RANK, Demand
from sesamepoint_core.runner_limit.shared_limit import STARTUP_HOLD_S, SharedLimit
from sesamepoint_standins.platform.limit_bound import LIMIT_KNOWN_S, WINDOW_S, max_requests, request_windows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sesamepoint_core.runner_limit.known_limit import KnownLimit
    from sesamepoint_core.runner_limit.messages import AddressedMessage, PermitGrant, PermitRequest

RUNNER = 'runner'
# A request that has no permit after this time goes to another runner.
MAX_WAIT_S = 0.3
# Minimum time between scheduled steps of an instance.
MIN_STEP_S = 0.001
# An instance requests one permit in advance for this time after a request.
RECENT_REQUEST_S = 1.0
ANSWER_DELAY_S = 0.05
DELAY_RANGE_S = (0.001, 0.005)
# Time until the other instances know of a start or an end of an instance.
MEMBERSHIP_DELAY_S = 1.0
INCARNATION_BITS = 50
WAITING_RANK = Rank(0, 0)


class SharingStrategy(Protocol):
    """Strategy of one instance to share a rate limit; :class:`SharedLimit` is used in production."""

    known: KnownLimit

    def update_members(self, others: Iterable[str]) -> None:
        """Set the other instances that share the limit."""

    def update_demand(self, demand: Demand) -> None:
        """Set how many permits are needed, and how urgently."""

    def available(self, now: float) -> int:
        """Return how many requests may be sent now."""

    def take(self, now: float) -> bool:
        """Use a permit; return False if there is none."""

    def on_message(self, sender: str, message: PermitRequest | PermitGrant, now: float) -> bool:
        """Handle a message of another instance."""

    def step(self, now: float) -> list[AddressedMessage]:
        """Return the messages to send."""

    def next_at(self, now: float) -> float:
        """Return when the next step is due."""


class StrategyFactory(Protocol):
    """Factory for the strategy of one instance."""

    def __call__(
        self, name: str, runner: str, incarnation: int, share_usable_from: float, phase: float
    ) -> SharingStrategy:
        """Return a strategy without any knowledge of the limit."""


@dataclass
class NetworkFaults:
    """Faults of the network: shares of messages that are lost, duplicated or delayed, and cut pairs."""

    loss_share: float = 0
    duplicate_share: float = 0
    delayed_share: float = 0
    max_delay_s: float = 2.0
    cut_pairs: set[frozenset[str]] = field(default_factory=set)
    message_count: int = 0
    byte_count: int = 0


class Arrival(NamedTuple):
    """Request that reached the runner.

    ``knows_limit`` is True if the instance that sent it knew the limit, or was up long
    enough to know it.
    """

    at: float
    instance: str
    knows_limit: bool


class _Event(NamedTuple):
    at: float
    serial: int
    action: Callable[[], None]


class SimulatedInstance:
    """Simulated instance with its requests."""

    def __init__(self, name: str, simulation: LimitSimulation, rate: float) -> None:
        """Start an instance that receives ``rate`` requests a second."""
        self.name = name
        self.rate = rate
        self.up = True
        self._started = simulation.now
        self.frozen_until: float = 0
        self._simulation = simulation
        # The clocks of machines have unrelated origins.
        self._clock = simulation.rng.uniform(0, 1000)
        self._waiting: list[float] = []
        self._inbox: list[tuple[str, PermitRequest | PermitGrant]] = []
        self._last_request_at: float = -math.inf
        self._next_step_at: float = math.inf
        self._unanswered = 0
        self._answered = False
        self.strategy = self._new_strategy()

    def now(self) -> float:
        """Return the time of the instance's clock."""
        return self._simulation.now + self._clock

    def uptime_s(self) -> float:
        """Return the time since the start, in seconds."""
        return self._simulation.now - self._started

    def restart(self) -> None:
        """Restart without any state."""
        self.up = True
        self._started = self._simulation.now
        self._waiting.clear()
        self._inbox.clear()
        self._next_step_at = math.inf
        self._unanswered = 0
        self._answered = False
        self.strategy = self._new_strategy()

    def on_request(self) -> None:
        """Handle a request of a caller."""
        if self.up:
            self._waiting.append(self._simulation.now)
            self._last_request_at = self._simulation.now
            self.step()

    def receive(self, sender: str, message: PermitRequest | PermitGrant) -> None:
        """Handle a message of another instance, or queue it during a freeze."""
        if not self.up:
            return
        if self._frozen():
            self._inbox.append((sender, message))
            return
        self.strategy.on_message(sender, message, self.now())
        self.step()

    def resume(self) -> None:
        """Continue after a freeze and handle the queued messages."""
        inbox = self._inbox
        self._inbox = []
        for sender, word in inbox:
            self.receive(sender, word)
        self.step()

    def on_answer(self, rate: float | None, sent_at: float) -> None:
        """Handle an answer of the runner, which reports a limit or None."""
        if not self.up or self._frozen():
            return
        self._answered = True
        if rate is None:
            self.strategy.known.on_not_reported(sent_at, self.now())
        else:
            self.strategy.known.on_reported(rate, self.now())
        self.step()

    def step(self) -> None:
        """Send the requests that have permits, and the messages that are due."""
        if not self.up or self._frozen():
            return
        self._next_step_at = math.inf
        self._send_waiting()
        self.strategy.update_members(self._simulation.peers_of(self.name))
        self.strategy.update_demand(self._demand())
        for addressed in self.strategy.step(self.now()):
            self._simulation.send(self.name, addressed)
        self._send_waiting()
        self._schedule()

    def step_if_due(self) -> None:
        """Run a step if one is due."""
        if self._simulation.now >= self._next_step_at:
            self.step()

    def _new_strategy(self) -> SharingStrategy:
        world = self._simulation
        started = self.now()
        return world.new_strategy(
            self.name, RUNNER, world.rng.getrandbits(INCARNATION_BITS), started + STARTUP_HOLD_S, world.rng.random()
        )

    def _frozen(self) -> bool:
        return self._simulation.now < self.frozen_until

    def _send_waiting(self) -> None:
        now = self._simulation.now
        self._waiting = [at for at in self._waiting if now - at < MAX_WAIT_S]
        while self._waiting and self._may_send():
            self._waiting.pop(0)
            self._unanswered += 1
            self._simulation.on_request(self)

    def _may_send(self) -> bool:
        if self.strategy.known.allowed_rate(self.now()) is None:
            return self._answered or self._unanswered < FIRST_IN_FLIGHT
        return self.strategy.take(self.now())

    def _demand(self) -> Demand:
        recently = self._simulation.now - self._last_request_at < RECENT_REQUEST_S
        wanted = max(len(self._waiting) + recently - self.strategy.available(self.now()), 0)
        return Demand(wanted, WAITING_RANK if self._waiting else IDLE_RANK)

    def _schedule(self) -> None:
        if self.strategy.known.reported is None:
            return
        due = self._simulation.now + max(self.strategy.next_at(self.now()) - self.now(), MIN_STEP_S)
        if due < self._next_step_at:
            self._next_step_at = due
            self._simulation.schedule(due, self.step_if_due)


class LimitSimulation:
    """Simulation of a runner with a rate limit and the instances that send to it."""

    def __init__(self, seed: int, new_strategy: StrategyFactory = SharedLimit) -> None:
        """Start without instances; all random numbers come from ``seed``."""
        self.rng = Random(seed)
        self.now: float = 0
        self.network = NetworkFaults()
        self.new_strategy = new_strategy
        self.instances: dict[str, SimulatedInstance] = {}
        self.arrivals: list[Arrival] = []
        self.limit: float | None = None
        # Limits that answers reported, each with the time of its first answer.
        self.reported_limits: list[tuple[float, float | None]] = [(0, None)]
        self._listed_at: dict[str, float] = {}
        self._unlisted_at: dict[str, float] = {}
        self._events: list[_Event] = []
        self._serial = count()

    def change_limit(self, rate: float | None) -> None:
        """Set the limit that the runner reports from now on; None reports no limit."""
        self.limit = rate

    def add(self, name: str, rate: float = 0) -> SimulatedInstance:
        """Start an instance; the others know of it a second later."""
        added = SimulatedInstance(name, self, rate)
        self.instances[name] = added
        self._listed_at[name] = self.now + MEMBERSHIP_DELAY_S if self.now else 0
        self.schedule(self.now, lambda: self._generate_requests(added))
        return added

    def kill(self, name: str, restart_after_s: float) -> None:
        """Kill an instance; it restarts after ``restart_after_s`` seconds."""
        self.instances[name].up = False
        self.schedule(self.now + restart_after_s, self.instances[name].restart)

    def remove(self, name: str) -> None:
        """Remove an instance for good; the others know of it a second later."""
        self.instances[name].up = False
        self._unlisted_at[name] = self.now + MEMBERSHIP_DELAY_S

    def freeze(self, name: str, for_s: float) -> None:
        """Freeze an instance for ``for_s`` seconds."""
        frozen = self.instances[name]
        frozen.frozen_until = max(frozen.frozen_until, self.now + for_s)
        self.schedule(frozen.frozen_until, frozen.resume)

    def partition(self, names: Iterable[str]) -> None:
        """Cut ``names`` off from all other instances, but not from the runner."""
        inside = set(names)
        outside = self.instances.keys() - inside
        self.network.cut_pairs = {frozenset((one, other)) for one in inside for other in outside}

    def run(self, for_s: float) -> None:
        """Run the events of the next ``for_s`` seconds."""
        until = self.now + for_s
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.action()
        self.now = until

    def schedule(self, moment: float, action: Callable[[], None]) -> None:
        """Schedule a call at a time of the simulation."""
        heapq.heappush(self._events, _Event(moment, next(self._serial), action))

    def peers_of(self, name: str) -> list[str]:
        """Return the other instances that are currently listed."""
        return [
            other
            for other, since in self._listed_at.items()
            if other != name and since <= self.now < self._unlisted_at.get(other, math.inf)
        ]

    def send(self, sender: str, addressed: AddressedMessage) -> None:
        """Send a message, which may be lost, duplicated or delayed."""
        network = self.network
        network.message_count += 1
        if frozenset((sender, addressed.recipient)) in network.cut_pairs or self.rng.random() < network.loss_share:
            return
        deliver = partial(self._deliver, sender, addressed)
        self.schedule(self.now + self._delay_s(), deliver)
        if self.rng.random() < network.duplicate_share:
            self.schedule(self.now + self._delay_s(), deliver)

    def on_request(self, instance: SimulatedInstance) -> None:
        """Handle a request of ``instance`` at the runner, and schedule the answer."""
        sent_at = instance.now()
        told = instance.strategy.known.reported is not None or instance.uptime_s() > LIMIT_KNOWN_S
        self.arrivals.append(Arrival(self.now, instance.name, told))
        self.schedule(self.now + ANSWER_DELAY_S, lambda: self._answer(instance, sent_at))

    def max_excess(self, since: float) -> float:
        """Return by how many requests the worst window from ``since`` on exceeds the users' bound.

        Requests of instances that have just started and do not know the limit are not counted.
        """
        counted = request_windows([arrival.at for arrival in self.arrivals if arrival.knows_limit])
        checked = (span for span in counted if span.window_end >= since)
        return max((span.requests - self._max_requests(span.window_end) for span in checked), default=-math.inf)

    def used_share(self, since: float) -> float:
        """Return the share of the limit that was used from ``since`` on; the limit must not have changed."""
        count_since = sum(arrival.at >= since for arrival in self.arrivals)
        return count_since / ((self.limit or math.inf) * (self.now - since))

    def _answer(self, instance: SimulatedInstance, sent_at: float) -> None:
        if self.limit != self.reported_limits[-1][1]:
            self.reported_limits.append((self.now, self.limit))
        instance.on_answer(self.limit, sent_at)

    def _max_requests(self, window_end: float) -> float:
        """Return the users' bound for the window that ends ``window_end``, by the highest limit reported in it."""
        periods = zip(self.reported_limits, [*self.reported_limits[1:], (math.inf, None)], strict=True)
        rates = [rate for (since, rate), (until, _) in periods if until > window_end - WINDOW_S and since <= window_end]
        if None in rates:
            return math.inf
        return max_requests(max(rate for rate in rates if rate is not None))

    def _delay_s(self) -> float:
        if self.rng.random() < self.network.delayed_share:
            return self.rng.uniform(0, self.network.max_delay_s)
        return self.rng.uniform(*DELAY_RANGE_S)

    def _deliver(self, sender: str, addressed: AddressedMessage) -> None:
        self.instances[addressed.recipient].receive(sender, addressed.message)

    def _generate_requests(self, instance: SimulatedInstance) -> None:
        if instance.rate:
            instance.on_request()
            self.schedule(self.now + self.rng.expovariate(instance.rate), lambda: self._generate_requests(instance))
        else:
            self.schedule(self.now + 0.5, lambda: self._generate_requests(instance))


__all__ = ('LimitSimulation', 'SharingStrategy', 'StrategyFactory')
