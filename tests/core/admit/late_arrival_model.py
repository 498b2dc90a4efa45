"""Model of instances and runners that stand still, with an oracle over the arrivals at all runners.

Each request is sent twice if the retry budget of its instance allows it: after the failure of its first send, or after
a silence of its runner. A runner that stands still reads all that waits when it goes on.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import TYPE_CHECKING, Any, NamedTuple

from sesamepoint.front.retry_budget.service_life import ServiceLife
from sesamepoint_core.admit.window_budget import WindowBudget
from tests.core.admit.earning_model import BOUND, RESERVE_HELD_S
from tests.front.retry_budget.repeat_oracle import worst_window

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tests.front.retry_budget.repeat_oracle import WorstWindow

SILENCE_S = 0.4
ANSWER_S = 0.01
# Seconds after a send from which a later answer shows that it was read.
DELIVERED_S = 1.5
CALM_S = 30.0
DISTURBED_S = 40.0
# Mean seconds between two times at which runners stand still.
STALL_PAUSE_S = 4.0
DISTURBANCE_PAUSE_S = 4.0
# Share of the stalls that concern all runners.
ALL_STALL_SHARE = 0.3
# A runner that was silent for as many sends gets none but a share of trials.
SILENCES_UNTIL_EJECTED = 3
TRIAL_SHARE = 0.02


class Load(NamedTuple):
    """Instances, runners and requests a second, and what is done to them.

    Parameters
    ----------
    kills, moves
        Whether instances are killed and callers move.
    ejects
        Whether an instance avoids runners that were silent.
    stall_s
        Seconds for which runners stand still at a time.
    """

    instances: int = 4
    runners: int = 4
    requests_per_s: float = 40
    kills: bool = False
    moves: bool = False
    ejects: bool = False
    stall_s: tuple[float, float] = (2.0, 12.0)


class _Event(NamedTuple):
    at: float
    number: int
    act: Callable[[], None]


@dataclass(eq=False)
class _Runner:
    """A runner: until when it stands still, which sends wait for it, and which it has read without a sign so far."""

    stalled_until: float = 0
    waiting: list[_Send] = field(default_factory=list)
    unshown: deque[_Send] = field(default_factory=deque)


@dataclass(eq=False)
class _Send:
    request: _Request
    runner: _Runner
    sent_at: float
    shown: bool = False


@dataclass(eq=False)
class _Request:
    """A request: the life that took it, the payment of its repeat, and its sends."""

    life: Life
    payment: Any = None
    sends: list[_Send] = field(default_factory=list)
    arrivals: int = 0


class Life:
    """One process of an instance, which keeps the bound as the product does."""

    def __init__(self, model: LateArrivalModel) -> None:
        """Start now."""
        self.started_at = model.now
        # Sends in a row to each runner that were not answered.
        self.silences: Counter[int] = Counter()
        self._model = model
        self._budget = WindowBudget(BOUND.ratio, 0, BOUND.window_s, model.time)
        self._life = ServiceLife(BOUND.window_s, model.time)

    def note_request(self) -> None:
        """Count a request."""
        self._life.note_request()
        self._earn()

    def note_send(self) -> None:
        """Note that a request is sent."""
        self._life.note_send()

    def spend(self) -> Any:
        """Return what pays for a repeat now, or None."""
        held = self._model.now - self.started_at >= RESERVE_HELD_S and self._life.reserve_counts
        self._budget.resize(BOUND.slack / self._model.load.instances if held else 0)
        return self._budget.spend()

    def note_sign(self, request: _Request) -> None:
        """Note that a send of a request was read."""
        self._life.note_life()
        self._earn()
        if request.payment is not None and self.is_read(request.sends):
            self._settle(request.payment)
            request.payment = None

    def may_repeat(self, sends: list[_Send]) -> bool:
        """Tell whether a request that was sent once may be sent again, if that is paid."""
        return bool(sends)

    def is_read(self, sends: list[_Send]) -> bool:
        """Tell whether all sends of a request that was sent twice were read."""
        return len(sends) > 1 and all(send.shown for send in sends)

    def _settle(self, payment: Any) -> None:
        self._budget.settle(payment)

    def _earn(self) -> None:
        for _ in range(self._life.take_earning()):
            self._budget.earn()


class LateArrivalModel:
    """Instances, runners and requests that all fail, once a calm time has passed."""

    def __init__(self, rng: Random, load: Load, new_life: Callable[[LateArrivalModel], Life] = Life) -> None:
        """Start instances that have been up for long."""
        self.now: float = 100
        self.load = load
        self.sent_at: list[float] = []
        self.repeated_at: list[float] = []
        self._new_life = new_life
        self._rng = rng
        self._events: list[_Event] = []
        self._numbers = count()
        self._runners = [_Runner() for _ in range(load.runners)]
        self._lives = [new_life(self) for _ in range(load.instances)]
        for life in self._lives:
            life.started_at = 0
        self._used = list(range(load.instances))
        self._fails = False

    def time(self) -> float:
        """Return the time of the model."""
        return self.now

    def run(self) -> WorstWindow:
        """Run all; return the worst window."""
        failing_at = self.now + CALM_S
        end = failing_at + DISTURBED_S
        self._at(self.now, self._request)
        self._at(failing_at, self._begin)
        while self._events and self._events[0].at <= end:
            event = heapq.heappop(self._events)
            self.now = event.at
            event.act()
        return worst_window(BOUND, self.sent_at, self.repeated_at)

    def _at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, _Event(when, next(self._numbers), act))

    def _begin(self) -> None:
        self._fails = True
        self._at(self.now + self._rng.uniform(0, 3), self._stall)
        if self.load.kills or self.load.moves:
            self._at(self.now + self._rng.expovariate(1 / DISTURBANCE_PAUSE_S), self._disturb)

    def _stall(self) -> None:
        number = self.load.runners if self._rng.random() < ALL_STALL_SHARE else self._rng.randint(1, self.load.runners)
        stalled = self._rng.sample(self._runners, number)
        stall_s = self._rng.uniform(*self.load.stall_s)
        for runner in stalled:
            runner.stalled_until = max(runner.stalled_until, self.now + stall_s)
            self._at(runner.stalled_until, partial(self._go_on, runner))
        self._at(self.now + stall_s + self._rng.expovariate(1 / STALL_PAUSE_S), self._stall)

    def _disturb(self) -> None:
        if self.load.kills and self._rng.getrandbits(1):
            self._lives = [self._new_life(self) for _ in self._lives]
        elif self.load.moves:
            self._used = self._rng.sample(range(self.load.instances), 1 + self.load.instances // 2)
        self._at(self.now + self._rng.expovariate(1 / DISTURBANCE_PAUSE_S), self._disturb)

    def _request(self) -> None:
        self._at(self.now + self._rng.expovariate(self.load.requests_per_s), self._request)
        self.sent_at.append(self.now)
        request = _Request(self._lives[self._rng.choice(self._used)])
        request.life.note_request()
        self._send(request)

    def _send(self, request: _Request) -> None:
        runner = self._choose(request.life)
        send = _Send(request, runner, self.now)
        request.sends.append(send)
        request.life.note_send()
        if runner.stalled_until > self.now:
            runner.waiting.append(send)
            self._at(self.now + SILENCE_S, partial(self._note_silence, send))
        else:
            self._arrive(send)
            self._at(self.now + ANSWER_S, partial(self._answer, send))

    def _choose(self, life: Life) -> _Runner:
        """Return a runner that was not silent for several sends of ``life``, or now and then any."""
        ready = [each for each in self._runners if life.silences[id(each)] < SILENCES_UNTIL_EJECTED]
        if not self.load.ejects or self._rng.random() < TRIAL_SHARE:
            return self._rng.choice(self._runners)
        return self._rng.choice(ready or self._runners)

    def _note_silence(self, send: _Send) -> None:
        send.request.life.silences[id(send.runner)] += 1
        self._repeat(send.request)

    def _arrive(self, send: _Send) -> None:
        send.request.arrivals += 1
        if send.request.arrivals > 1:
            self.repeated_at.append(self.now)

    def _answer(self, send: _Send) -> None:
        """Answer a send, which shows that what was sent to its runner long before was read too."""
        self._show(send)
        send.request.life.silences[id(send.runner)] = 0
        unshown = send.runner.unshown
        while unshown and unshown[0].sent_at <= send.sent_at - DELIVERED_S:
            self._show(unshown.popleft())
        if self._fails:
            self._repeat(send.request)

    def _show(self, send: _Send) -> None:
        send.shown = True
        send.request.life.note_sign(send.request)

    def _repeat(self, request: _Request) -> None:
        is_killed = request.life not in self._lives
        if len(request.sends) > 1 or is_killed or not request.life.may_repeat(request.sends):
            return
        payment = request.life.spend()
        if payment is not None:
            request.payment = payment
            self._send(request)

    def _go_on(self, runner: _Runner) -> None:
        """Let a runner read all that waits; the answers go to connections that are closed."""
        if runner.stalled_until > self.now:
            return
        for send in runner.waiting:
            self._arrive(send)
        runner.unshown.extend(runner.waiting)
        runner.waiting.clear()


__all__ = ('LateArrivalModel', 'Life', 'Load')
