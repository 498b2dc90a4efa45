"""Instances that share the limit of one runner, on a network that loses, delays and cuts, in virtual time."""

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
# A request waits for a permit no longer than this, then goes elsewhere.
PATIENCE_S = 0.3
# An instance does not look again sooner than this, in seconds.
LEAST_STEP_S = 0.001
# A permit is wanted beforehand for so long after a request.
LATELY_S = 1.0
ANSWER_S = 0.05
DELAY_S = (0.001, 0.005)
# From a start or an end of an instance until the others know of it.
LISTED_S = 1.0
START_BITS = 50
WAITING = Rank(0, 0)


class Way(Protocol):
    """A way to share a limit; :class:`Sharing` is the one in use."""

    belief: LimitBelief

    def join(self, others: Iterable[str]) -> None:
        """Share with these instances."""

    def wish(self, wish: Wish) -> None:
        """Want these permits."""

    def stock(self, now: float) -> int:
        """Return how many requests may be sent."""

    def take(self, now: float) -> bool:
        """Use a permit."""

    def heard(self, sender: str, word: Ask | Grant, now: float) -> bool:
        """Take a word of another instance."""

    def step(self, now: float) -> list[Letter]:
        """Return what there is to tell."""

    def next_at(self, now: float) -> float:
        """Return when a step is due."""


class NewWay(Protocol):
    """Makes the part of one instance."""

    def __call__(self, name: str, runner: str, start: int, own_from: float, phase: float) -> Way:
        """Know of nothing yet."""


@dataclass
class Network:
    """What happens to words: shares that are lost, doubled, or late by seconds."""

    lost: float = 0
    doubled: float = 0
    late: float = 0
    latest_s: float = 2.0
    cut: set[frozenset[str]] = field(default_factory=set)
    words: int = 0
    bytes: int = 0


class Arrival(NamedTuple):
    """A request that came to the runner; ``told`` if its instance knew of the limit, or has had the time to."""

    at: float
    name: str
    told: bool


class _Event(NamedTuple):
    at: float
    serial: int
    act: Callable[[], None]


class Instance:
    """One instance with its requests."""

    def __init__(self, name: str, world: LimitWorld, rate: float) -> None:
        """Get ``rate`` requests a second."""
        self.name = name
        self.rate = rate
        self.up = True
        self._started = world.now
        self.frozen_until: float = 0
        self._world = world
        # Clocks of machines have nothing to do with each other.
        self._clock = world.rng.uniform(0, 1000)
        self._waiting: list[float] = []
        self._inbox: list[tuple[str, Ask | Grant]] = []
        self._asked_at: float = -math.inf
        self._due: float = math.inf
        self._unanswered = 0
        self._answered = False
        self.way = self._new_way()

    def now(self) -> float:
        """Return the time on its clock."""
        return self._world.now + self._clock

    def up_for_s(self) -> float:
        """Return for how long it has been up."""
        return self._world.now - self._started

    def start_again(self) -> None:
        """Begin anew, knowing nothing."""
        self.up = True
        self._started = self._world.now
        self._waiting.clear()
        self._inbox.clear()
        self._due = math.inf
        self._unanswered = 0
        self._answered = False
        self.way = self._new_way()

    def request(self) -> None:
        """Take a request."""
        if self.up:
            self._waiting.append(self._world.now)
            self._asked_at = self._world.now
            self.look()

    def receive(self, sender: str, word: Ask | Grant) -> None:
        """Take a word of another instance."""
        if not self.up:
            return
        if self._frozen():
            self._inbox.append((sender, word))
            return
        self.way.heard(sender, word, self.now())
        self.look()

    def wake(self) -> None:
        """Go on after a freeze, with what came meanwhile."""
        inbox = self._inbox
        self._inbox = []
        for sender, word in inbox:
            self.receive(sender, word)
        self.look()

    def answer(self, rate: float | None, sent_at: float) -> None:
        """Take an answer of the runner."""
        if not self.up or self._frozen():
            return
        self._answered = True
        if rate is None:
            self.way.belief.unnamed(sent_at, self.now())
        else:
            self.way.belief.named(rate, self.now())
        self.look()

    def look(self) -> None:
        """Send what may be sent, and say what there is to say."""
        if not self.up or self._frozen():
            return
        self._due = math.inf
        self._send_waiting()
        self.way.join(self._world.others_of(self.name))
        self.way.wish(self._wish())
        for letter in self.way.step(self.now()):
            self._world.tell(self.name, letter)
        self._send_waiting()
        self._schedule()

    def due(self) -> None:
        """Look if it is time."""
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
        lately = self._world.now - self._asked_at < LATELY_S
        wanted = max(len(self._waiting) + lately - self.way.stock(self.now()), 0)
        return Wish(wanted, WAITING if self._waiting else NOTHING_WAITS)

    def _schedule(self) -> None:
        if self.way.belief.word is None:
            return
        due = self._world.now + max(self.way.next_at(self.now()) - self.now(), LEAST_STEP_S)
        if due < self._due:
            self._due = due
            self._world.at(due, self.due)


class LimitWorld:
    """A runner with a limit before instances."""

    def __init__(self, seed: int, new_way: NewWay = Sharing) -> None:
        """Draw all from ``seed``."""
        self.rng = Random(seed)
        self.now: float = 0
        self.network = Network()
        self.new_way = new_way
        self.instances: dict[str, Instance] = {}
        self.arrivals: list[Arrival] = []
        self.limit: float | None = None
        # What answers named, each with the moment at which the first such answer came.
        self.named: list[tuple[float, float | None]] = [(0, None)]
        self._listed: dict[str, float] = {}
        self._gone: dict[str, float] = {}
        self._events: list[_Event] = []
        self._serial = count()

    def name_limit(self, rate: float | None) -> None:
        """Have the runner name ``rate`` from now on, or none."""
        self.limit = rate

    def add(self, name: str, rate: float = 0) -> Instance:
        """Start an instance; the others know of it a second later."""
        found = Instance(name, self, rate)
        self.instances[name] = found
        self._listed[name] = self.now + LISTED_S if self.now else 0
        self.at(self.now, lambda: self._requests(found))
        return found

    def kill(self, name: str, back_s: float) -> None:
        """End an instance at once; it starts again after ``back_s``."""
        self.instances[name].up = False
        self.at(self.now + back_s, self.instances[name].start_again)

    def remove(self, name: str) -> None:
        """End an instance for good; the others know of it a second later."""
        self.instances[name].up = False
        self._gone[name] = self.now + LISTED_S

    def freeze(self, name: str, for_s: float) -> None:
        """Have an instance stand still."""
        found = self.instances[name]
        found.frozen_until = max(found.frozen_until, self.now + for_s)
        self.at(found.frozen_until, found.wake)

    def cut(self, names: Iterable[str]) -> None:
        """Cut ``names`` off from all other instances, not from the runner."""
        inside = set(names)
        outside = self.instances.keys() - inside
        self.network.cut = {frozenset((one, other)) for one in inside for other in outside}

    def run(self, for_s: float) -> None:
        """Let time pass."""
        until = self.now + for_s
        while self._events and self._events[0].at <= until:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.act()
        self.now = until

    def at(self, moment: float, act: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._events, _Event(moment, next(self._serial), act))

    def others_of(self, name: str) -> list[str]:
        """Return the other instances that are listed by now."""
        return [
            other
            for other, since in self._listed.items()
            if other != name and since <= self.now < self._gone.get(other, math.inf)
        ]

    def tell(self, sender: str, letter: Letter) -> None:
        """Send a word, which may get lost, come twice, or late."""
        network = self.network
        network.words += 1
        if frozenset((sender, letter.to)) in network.cut or self.rng.random() < network.lost:
            return
        deliver = partial(self._deliver, sender, letter)
        self.at(self.now + self._delay_s(), deliver)
        if self.rng.random() < network.doubled:
            self.at(self.now + self._delay_s(), deliver)

    def arrive(self, instance: Instance) -> None:
        """Take a request of ``instance``, and answer it."""
        sent_at = instance.now()
        told = instance.way.belief.word is not None or instance.up_for_s() > KNOWN_S
        self.arrivals.append(Arrival(self.now, instance.name, told))
        self.at(self.now + ANSWER_S, lambda: self._answer(instance, sent_at))

    def excess(self, since: float) -> float:
        """Return by how many requests more than users allow any span was the worst, from ``since`` on.

        Not counted is what an instance sent that has just started and was told nothing yet.
        """
        counted = spans([arrival.at for arrival in self.arrivals if arrival.told])
        late = (span for span in counted if span.until >= since)
        return max((span.requests - self._allowed(span.until) for span in late), default=-math.inf)

    def taken(self, since: float) -> float:
        """Return the share of the limit that was taken from ``since`` on; the limit must not have changed."""
        came = sum(arrival.at >= since for arrival in self.arrivals)
        return came / ((self.limit or math.inf) * (self.now - since))

    def _answer(self, instance: Instance, sent_at: float) -> None:
        if self.limit != self.named[-1][1]:
            self.named.append((self.now, self.limit))
        instance.answer(self.limit, sent_at)

    def _allowed(self, at: float) -> float:
        """Return what users allow in the span that ends ``at``: by the highest limit that was named in it."""
        spans = zip(self.named, [*self.named[1:], (math.inf, None)], strict=True)
        named = [rate for (since, rate), (until, _) in spans if until > at - SPAN_S and since <= at]
        if None in named:
            return math.inf
        return bound(max(rate for rate in named if rate is not None))

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
