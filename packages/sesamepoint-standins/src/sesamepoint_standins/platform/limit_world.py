"""Simulation of instances that share the rate limit of one runner, over a faulty network."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from sesamepoint_core.runner_limit.belief import FIRST_SENDS
from sesamepoint_core.runner_limit.lender import NOTHING_WAITS, Wish
from sesamepoint_core.runner_limit.sharing import UNKNOWN_S, Sharing
from sesamepoint_core.runner_limit.words import Rank
from sesamepoint_standins.platform.limit_bound import KNOWN_S, SPAN_S, bound, spans

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sesamepoint_core.runner_limit.belief import LimitBelief
    from sesamepoint_core.runner_limit.words import Ask, Grant, Letter

RUNNER = 'runner'
# A request that has no permit after this time goes to another runner.
PATIENCE_S = 0.3
# Minimum time between scheduled steps of an instance.
LEAST_STEP_S = 0.001
# An instance requests one permit in advance for this time after a request.
LATELY_S = 1.0
ANSWER_S = 0.05
DELAY_S = (0.001, 0.005)
# Time until the other instances know of a start or an end of an instance.
LISTED_S = 1.0
START_BITS = 50
WAITING = Rank(0, 0)


class Way(Protocol):
    """Strategy of one instance to share a rate limit; :class:`Sharing` is used in production."""

    belief: LimitBelief

    def join(self, others: Iterable[str]) -> None:
        """Set the other instances that share the limit."""

    def wish(self, wish: Wish) -> None:
        """Set how many permits are needed, and how urgently."""

    def stock(self, now: float) -> int:
        """Return how many requests may be sent now."""

    def take(self, now: float) -> bool:
        """Use a permit; return False if there is none."""

    def heard(self, sender: str, word: Ask | Grant, now: float) -> bool:
        """Handle a message of another instance."""

    def step(self, now: float) -> list[Letter]:
        """Return the messages to send."""

    def next_at(self, now: float) -> float:
        """Return when the next step is due."""


class NewWay(Protocol):
    """Factory for the strategy of one instance."""

    def __call__(self, name: str, runner: str, start: int, own_from: float, phase: float) -> Way:
        """Return a strategy without any knowledge of the limit."""


@dataclass
class Network:
    """Faults of the network: shares of messages that are lost, duplicated or delayed, and cut pairs."""

    lost: float = 0
    doubled: float = 0
    late: float = 0
    latest_s: float = 2.0
    cut: set[frozenset[str]] = field(default_factory=set)
    words: int = 0
    bytes: int = 0


class Arrival(NamedTuple):
    """Request that reached the runner.

    ``told`` is True if the instance that sent it knew the limit, or was up long
    enough to know it.
    """

    at: float
    name: str
    told: bool


class _Event(NamedTuple):
    at: float
    serial: int
    act: Callable[[], None]


class Instance:
    """Simulated instance with its requests."""

    def __init__(self, name: str, world: LimitWorld, rate: float) -> None:
        """Start an instance that receives ``rate`` requests a second."""
        self.name = name
        self.rate = rate
        self.up = True
        self._started = world.now
        self.frozen_until: float = 0
        self._world = world
        # The clocks of machines have unrelated origins.
        self._clock = world.rng.uniform(0, 1000)
        self._waiting: list[float] = []
        self._inbox: list[tuple[str, Ask | Grant]] = []
        self._asked_at: float = -math.inf
        self._due: float = math.inf
        self._unanswered = 0
        self._answered = False
        self.way = self._new_way()

    def now(self) -> float:
        """Return the time of the instance's clock."""
        return self._world.now + self._clock

    def up_for_s(self) -> float:
        """Return the time since the start, in seconds."""
        return self._world.now - self._started

    def start_again(self) -> None:
        """Restart without any state."""
        self.up = True
        self._started = self._world.now
        self._waiting.clear()
        self._inbox.clear()
        self._due = math.inf
        self._unanswered = 0
        self._answered = False
        self.way = self._new_way()

    def request(self) -> None:
        """Handle a request of a caller."""
        if self.up:
            self._waiting.append(self._world.now)
            self._asked_at = self._world.now
            self.look()

    def receive(self, sender: str, word: Ask | Grant) -> None:
        """Handle a message of another instance, or queue it during a freeze."""
        if not self.up:
            return
        if self._frozen():
            self._inbox.append((sender, word))
            return
        self.way.heard(sender, word, self.now())
        self.look()

    def wake(self) -> None:
        """Continue after a freeze and handle the queued messages."""
        inbox = self._inbox
        self._inbox = []
        for sender, word in inbox:
            self.receive(sender, word)
        self.look()

    def answer(self, rate: float | None, sent_at: float) -> None:
        """Handle an answer of the runner, which reports a limit or None."""
        if not self.up or self._frozen():
            return
        self._answered = True
        if rate is None:
            self.way.belief.unnamed(sent_at, self.now())
        else:
            self.way.belief.named(rate, self.now())
        self.look()

    def look(self) -> None:
        """Send the requests that have permits, and the messages that are due."""
        if not self.up or self._frozen():
            return
        self._due = math.inf
        self._send_waiting()
        self.way.join(self._world.others_of(self.name))
        self.way.wish(self._wish())
        for addressed in self.way.step(self.now()):
            self._world.tell(self.name, addressed)
        self._send_waiting()
        self._schedule()

    def due(self) -> None:
        """Run a step if one is due."""
        if self._world.now >= self._due:
            self.look()

    def _new_way(self) -> Way:
        world = self._world
        started = self.now()
        return world.new_way(
            self.name, RUNNER, world.rng.getrandbits(START_BITS), started + UNKNOWN_S, world.rng.random()
        )

    def _frozen(self) -> bool:
        return self._world.now < self.frozen_until

    def _send_waiting(self) -> None:
        now = self._world.now
        self._waiting = [at for at in self._waiting if now - at < PATIENCE_S]
        while self._waiting and self._may_send():
            self._waiting.pop(0)
            self._unanswered += 1
            self._world.arrive(self)

    def _may_send(self) -> bool:
        if self.way.belief.allowed(self.now()) is None:
            return self._answered or self._unanswered < FIRST_SENDS
        return self.way.take(self.now())

    def _wish(self) -> Wish:
        recently = self._world.now - self._asked_at < LATELY_S
        wanted = max(len(self._waiting) + recently - self.way.stock(self.now()), 0)
        return Wish(wanted, WAITING if self._waiting else NOTHING_WAITS)

    def _schedule(self) -> None:
        if self.way.belief.word is None:
            return
        due = self._world.now + max(self.way.next_at(self.now()) - self.now(), LEAST_STEP_S)
        if due < self._due:
            self._due = due
            self._world.at(due, self.due)


class LimitWorld:
    """Simulation of a runner with a rate limit and the instances that send to it."""

    def __init__(self, seed: int, new_way: NewWay = Sharing) -> None:
        """Start without instances; all random numbers come from ``seed``."""
        self.rng = Random(seed)
        self.now: float = 0
        self.network = Network()
        self.new_way = new_way
        self.instances: dict[str, Instance] = {}
        self.arrivals: list[Arrival] = []
        self.limit: float | None = None
        # Limits that answers reported, each with the time of its first answer.
        self.named: list[tuple[float, float | None]] = [(0, None)]
        self._listed: dict[str, float] = {}
        self._gone: dict[str, float] = {}
        self._events: list[_Event] = []
        self._serial = count()

    def name_limit(self, rate: float | None) -> None:
        """Set the limit that the runner reports from now on; None reports no limit."""
        self.limit = rate

    def add(self, name: str, rate: float = 0) -> Instance:
        """Start an instance; the others know of it a second later."""
        added = Instance(name, self, rate)
        self.instances[name] = added
        self._listed[name] = self.now + LISTED_S if self.now else 0
        self.at(self.now, lambda: self._requests(added))
        return added

    def kill(self, name: str, back_s: float) -> None:
        """Kill an instance; it restarts after ``back_s`` seconds."""
        self.instances[name].up = False
        self.at(self.now + back_s, self.instances[name].start_again)

    def remove(self, name: str) -> None:
        """Remove an instance for good; the others know of it a second later."""
        self.instances[name].up = False
        self._gone[name] = self.now + LISTED_S

    def freeze(self, name: str, for_s: float) -> None:
        """Freeze an instance for ``for_s`` seconds."""
        frozen = self.instances[name]
        frozen.frozen_until = max(frozen.frozen_until, self.now + for_s)
        self.at(frozen.frozen_until, frozen.wake)

    def cut(self, names: Iterable[str]) -> None:
        """Cut ``names`` off from all other instances, but not from the runner."""
        inside = set(names)
        outside = self.instances.keys() - inside
        self.network.cut = {frozenset((one, other)) for one in inside for other in outside}

    def run(self, for_s: float) -> None:
        """Run the events of the next ``for_s`` seconds."""
        until = self.now + for_s
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.act()
        self.now = until

    def at(self, moment: float, act: Callable[[], None]) -> None:
        """Schedule a call at a time of the simulation."""
        heapq.heappush(self._events, _Event(moment, next(self._serial), act))

    def others_of(self, name: str) -> list[str]:
        """Return the other instances that are currently listed."""
        return [
            other
            for other, since in self._listed.items()
            if other != name and since <= self.now < self._gone.get(other, math.inf)
        ]

    def tell(self, sender: str, letter: Letter) -> None:
        """Send a message, which may be lost, duplicated or delayed."""
        network = self.network
        network.words += 1
        if frozenset((sender, letter.to)) in network.cut or self.rng.random() < network.lost:
            return
        deliver = partial(self._deliver, sender, letter)
        self.at(self.now + self._delay_s(), deliver)
        if self.rng.random() < network.doubled:
            self.at(self.now + self._delay_s(), deliver)

    def arrive(self, instance: Instance) -> None:
        """Handle a request of ``instance`` at the runner, and schedule the answer."""
        sent_at = instance.now()
        told = instance.way.belief.word is not None or instance.up_for_s() > KNOWN_S
        self.arrivals.append(Arrival(self.now, instance.name, told))
        self.at(self.now + ANSWER_S, lambda: self._answer(instance, sent_at))

    def excess(self, since: float) -> float:
        """Return by how many requests the worst window from ``since`` on exceeds the users' bound.

        Requests of instances that have just started and do not know the limit are not counted.
        """
        counted = spans([arrival.at for arrival in self.arrivals if arrival.told])
        checked = (span for span in counted if span.until >= since)
        return max((span.requests - self._allowed(span.until) for span in checked), default=-math.inf)

    def taken(self, since: float) -> float:
        """Return the share of the limit that was used from ``since`` on; the limit must not have changed."""
        count_since = sum(arrival.at >= since for arrival in self.arrivals)
        return count_since / ((self.limit or math.inf) * (self.now - since))

    def _answer(self, instance: Instance, sent_at: float) -> None:
        if self.limit != self.named[-1][1]:
            self.named.append((self.now, self.limit))
        instance.answer(self.limit, sent_at)

    def _allowed(self, at: float) -> float:
        """Return the users' bound for the window that ends ``at``, by the highest limit reported in it."""
        periods = zip(self.named, [*self.named[1:], (math.inf, None)], strict=True)
        rates = [rate for (since, rate), (until, _) in periods if until > at - SPAN_S and since <= at]
        if None in rates:
            return math.inf
        return bound(max(rate for rate in rates if rate is not None))

    def _delay_s(self) -> float:
        if self.rng.random() < self.network.late:
            return self.rng.uniform(0, self.network.latest_s)
        return self.rng.uniform(*DELAY_S)

    def _deliver(self, sender: str, letter: Letter) -> None:
        self.instances[letter.to].receive(sender, letter.word)

    def _requests(self, instance: Instance) -> None:
        if instance.rate:
            instance.request()
            self.at(self.now + self.rng.expovariate(instance.rate), lambda: self._requests(instance))
        else:
            self.at(self.now + 0.5, lambda: self._requests(instance))


__all__ = ('LimitWorld', 'NewWay', 'Way')
