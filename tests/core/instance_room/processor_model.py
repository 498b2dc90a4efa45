"""Model of instances whose loop runs on a share of a core, and of callers that retry once.

A loop runs all tasks that were ready at the start of a pass, one after the other; what becomes
ready meanwhile runs in the next pass. A request takes five steps of the processor: it is read,
chosen for, sent, its first output is relayed, and it is ended; 13 ms of a core in total, the
figure that was measured for an instance of 0.12 of a core. Costs are scaled by the share.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from sesamepoint_core.instance_room.lag import LagMeter
from sesamepoint_core.instance_room.lag_admission import LagForecast
from sesamepoint_core.instance_room.lagging_peers import REPORT_INTERVAL_S, LaggingPeers

if TYPE_CHECKING:
    from collections.abc import Callable

    Action = Callable[[float], None]

STEP_COSTS_S = (0.003, 0.002, 0.003, 0.002, 0.003)
READ_STEP, SEND_STEP, RELAY_STEP = 0, 2, 3
REFUSAL_COST_S = 0.003
WAKE_UP_COST_S = 0.0001
WAKE_UP_INTERVAL_S = 0.05
RUNNER_S = 0.08
TARGET_S = 0.273
DEADLINE_S = 3.282
RETRY_AFTER_S = 0.02
NETWORK_S = 0.002
# A late answer keeps a fifth to a half of its value.
LATE_VALUE = 0.35
# Number of instances of a model.
INSTANCES = 6
REPORT_COST_S = 0.0002


class Admission(Protocol):
    """A method of admission, for one instance."""

    def note_report(self, now: float) -> None:
        """Learn that a peer lags."""

    def lag_s(self, now: float) -> float:
        """Return the lag that is reported to peers; 0 if there is none."""

    def note_wake_up(self, late_s: float, now: float) -> None:
        """Learn from a wake-up of the loop."""

    def note_sojourn(self, sojourn_s: float, now: float) -> None:
        """Learn from the first send of a request."""

    def refuses(self, target_left_s: float, now: float) -> bool:
        """Return whether to refuse a first attempt that has this time left."""


class NoAdmission:
    """Accepts everything, as before."""

    def note_report(self, now: float) -> None:
        """Do nothing."""

    def lag_s(self, now: float) -> float:
        """Return 0."""
        return 0

    def note_wake_up(self, late_s: float, now: float) -> None:
        """Do nothing."""

    def note_sojourn(self, sojourn_s: float, now: float) -> None:
        """Do nothing."""

    def refuses(self, target_left_s: float, now: float) -> bool:
        """Return False."""
        return False


class SojournAlone(LagMeter):
    """Judges by standing sojourn time, confirmed by late wake-ups, without knowing of the others."""

    def note_report(self, now: float) -> None:
        """Do nothing."""

    def refuses(self, target_left_s: float, now: float) -> bool:
        """Return whether the lag makes the request late."""
        return LagForecast(TARGET_S, target_left_s, self.lag_s(now), 0, RUNNER_S).late_by_own_lag()


class LoopLagAlone(SojournAlone):
    """Judges by late wake-ups alone: each step until the send waits for one pass."""

    def lag_s(self, now: float) -> float:
        """Return the lag of all steps until the send."""
        return SEND_STEP * self.loop_lag_s()


class SojournAdmission(SojournAlone):
    """The method of the instances: refuses only while most of the others have room."""

    def __init__(self) -> None:
        """Start without reports."""
        super().__init__()
        self._lagging_peers = LaggingPeers()

    def note_report(self, now: float) -> None:
        """Learn that a peer lags."""
        self._lagging_peers.note_report(now)

    def refuses(self, target_left_s: float, now: float) -> bool:
        """Return whether the lag makes the request late, and another instance can take it."""
        return super().refuses(target_left_s, now) and self._lagging_peers.others_have_room(INSTANCES - 1, now)


class Call:
    """A request of a caller, over its attempts."""

    def __init__(self, arrived_at: float) -> None:
        """Start with the first attempt."""
        self.arrived_at = arrived_at
        self.retry = False
        self.read_at: float = 0
        self.first_s: float | None = None


class Summary(NamedTuple):
    """Outcome of a run: shares of the callers, the mean worth of a call, and the refusals by instances."""

    on_time: float
    served: float
    worth: float
    refusals: tuple[int, ...]
    calls: int


class Model:
    """Instances with shares of a core, and their callers."""

    def __init__(self, shares: tuple[float, ...], new_admission: Callable[[], Admission], seed: int) -> None:
        """Start all instances idle."""
        self.rng = Random(seed)
        self.calls: list[Call] = []
        self.instances = [Instance(self, share, new_admission()) for share in shares]
        self._events: list[tuple[float, int, Action]] = []
        self._order = count()

    def at(self, moment: float, action: Action) -> None:
        """Call ``action`` with the time at ``moment``."""
        heapq.heappush(self._events, (moment, next(self._order), action))

    def offer(self, rate: Callable[[float], float], until_s: float) -> None:
        """Let callers arrive at ``rate`` calls a second, as a function of time, at random instances."""
        now: float = 0
        while now < until_s:
            now += self.rng.expovariate(rate(now))
            call = Call(now)
            self.calls.append(call)
            self.at(now, self.rng.choice(self.instances).receiver(call))

    def stall(self, index: int, moment: float, stall_s: float) -> None:
        """Let one step of an instance take ``stall_s`` seconds."""
        instance = self.instances[index]
        self.at(moment, lambda now: instance.add(now, stall_s * instance.share, _ignore))

    def run(self, until_s: float) -> Summary:
        """Run all events and return the outcome."""
        for instance in self.instances:
            instance.start(until_s)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        return self._summary()

    def retry(self, call: Call, refused_by: Instance, now: float) -> None:
        """Let a refused caller retry at another instance."""
        call.retry = True
        others = [one for one in self.instances if one is not refused_by]
        self.at(now + RETRY_AFTER_S + 2 * NETWORK_S, self.rng.choice(others).receiver(call))

    def _summary(self) -> Summary:
        firsts = [call.first_s for call in self.calls]
        served = [first for first in firsts if first is not None and first <= DEADLINE_S]
        on_time = sum(first <= TARGET_S for first in served)
        return Summary(
            on_time=on_time / len(firsts),
            served=len(served) / len(firsts),
            worth=(on_time + LATE_VALUE * (len(served) - on_time)) / len(firsts),
            refusals=tuple(one.refusals for one in self.instances),
            calls=len(firsts),
        )


class Instance:
    """The loop of one instance."""

    def __init__(self, model: Model, share: float, admission: Admission) -> None:
        self.share = share
        self.refusals = 0
        self._model = model
        self.admission = admission
        self._ready: list[tuple[float, Action]] = []
        self._busy = False
        self._reported_at: float = -REPORT_INTERVAL_S
        self.note_report = admission.note_report

    def start(self, until_s: float) -> None:
        for number in range(int(until_s / WAKE_UP_INTERVAL_S)):
            self._model.at(number * WAKE_UP_INTERVAL_S, self._be_due)

    def receiver(self, call: Call) -> Action:
        return lambda now: self.add(now, STEP_COSTS_S[READ_STEP], lambda at: self._read(call, at))

    def add(self, now: float, cost_s: float, action: Action) -> None:
        """Add a ready step, which starts the next pass if none is running."""
        self._ready.append((cost_s, action))
        if not self._busy:
            self._run_pass(now)

    def _run_pass(self, now: float) -> None:
        self._busy = bool(self._ready)
        if not self._busy:
            return
        steps = self._ready
        self._ready = []
        ends_at = now
        for cost_s, action in steps:
            ends_at += cost_s / self.share
            self._model.at(ends_at, action)
        self._model.at(ends_at, self._run_pass)

    def _be_due(self, now: float) -> None:
        self.add(now, WAKE_UP_COST_S, lambda at: self._wake_up(now, at))

    def _wake_up(self, due_at: float, now: float) -> None:
        self.admission.note_wake_up(now - due_at - WAKE_UP_COST_S / self.share, now)
        if self.admission.lag_s(now) and now - self._reported_at >= REPORT_INTERVAL_S:
            self._reported_at = now
            for peer in self._model.instances:
                if peer is not self:
                    peer.add(now, REPORT_COST_S, peer.note_report)

    def _read(self, call: Call, now: float) -> None:
        # Where the instance sees the request; what it waited before that is unknown to it.
        call.read_at = now
        if now - call.arrived_at > DEADLINE_S:
            return
        if not call.retry and self.admission.refuses(TARGET_S, now):
            self.refusals += 1
            self.add(now, REFUSAL_COST_S, lambda at: self._model.retry(call, self, at))
            return
        self._next_step(call, READ_STEP + 1, now)

    def _next_step(self, call: Call, step: int, now: float) -> None:
        if step < len(STEP_COSTS_S):
            self.add(now, STEP_COSTS_S[step], lambda at: self._step_done(call, step, at))

    def _step_done(self, call: Call, step: int, now: float) -> None:
        if step == SEND_STEP:
            self.admission.note_sojourn(now - call.read_at, now)
            self._model.at(now + RUNNER_S, lambda at: self._next_step(call, RELAY_STEP, at))
            return
        if step == RELAY_STEP:
            call.first_s = now - call.arrived_at
        self._next_step(call, step + 1, now)


def _ignore(_: float) -> None:
    """Do nothing at the end of a step."""


__all__ = ('INSTANCES', 'LoopLagAlone', 'Model', 'NoAdmission', 'SojournAdmission', 'SojournAlone', 'Summary')
