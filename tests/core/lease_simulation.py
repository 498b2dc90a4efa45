"""Simulation of instances that compete for one lease, on a store that delays and loses calls and rolls back."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from sesamepoint_core.duty.lease import ClaimState, Holder, Lease, LeaseRecord, LeaseTimes, LogView

STEP_S = 0.1
CLAIM_S = 3.5
# An instance gives up a call without an answer after this time, in seconds.
CALL_TIMEOUT_S = 1.0
# A call without an answer may be executed up to this much later, in seconds.
MAX_EXECUTION_DELAY_S = 6.0
LOST_SHARE = 0.2
STEP_SHARE = 0.5
ROLLBACK_SHARE = 0.004
FREEZE_SHARE = 0.01
LONGEST_FREEZE_S = 8.0


class Act(NamedTuple):
    """An action of an instance that regarded itself as the holder."""

    at: float
    name: str
    fence: int


class _Read(NamedTuple):
    began_at: float
    view: LogView
    answered_at: float


class _Append(NamedTuple):
    sent_at: float
    end: int
    record: LeaseRecord
    executed_at: float
    answered_at: float | None


class Instance:
    """One instance that reads, claims, renews and acts when it may."""

    def __init__(self, name: str, simulation: LeaseSimulation) -> None:
        """Start without a view of the log and without the lease."""
        self.lease = Lease(Holder(name, name), LeaseTimes(CLAIM_S, CLAIM_S), now=0)
        self.name = name
        self.awake_at: float = 0
        self._simulation = simulation
        self._call: _Read | _Append | None = None
        self._must_read = True

    def step(self, now: float) -> None:
        """Act if the lease allows it, then begin a call or end the pending one."""
        if now < self.awake_at:
            return
        self._act(now)
        if isinstance(self._call, _Read):
            self._end_read(self._call, now)
        elif self._call is not None:
            self._end_append(self._call, now)
        elif self._simulation.rng.random() < STEP_SHARE:
            self._begin(now)

    def _act(self, now: float) -> None:
        if self.lease.valid(now) and self.lease.fence is not None:
            self.lease.note_acted(now)
            self._simulation.acts.append(Act(now, self.name, self.lease.fence))

    def _begin(self, now: float) -> None:
        if self._must_read or self.lease.fence is None:
            self._call = _Read(now, self._simulation.view(), now + self._simulation.delay_s())
        else:
            self._append(now)

    def _append(self, now: float) -> None:
        holding = self.lease.next_record(now)
        self._call = self._simulation.send(now, self.lease.end, holding)

    def _end_read(self, call: _Read, now: float) -> None:
        if now < call.answered_at:
            return
        self._call = None
        self._must_read = False
        self.lease.on_read(call.view, now)
        if self.lease.fence is None and self.lease.may_claim(call.began_at).state is ClaimState.free:
            self._append(now)

    def _end_append(self, call: _Append, now: float) -> None:
        if call.answered_at is None and now - call.sent_at < CALL_TIMEOUT_S:
            return
        if call.answered_at is not None and now < call.answered_at:
            return
        self._call = None
        taken = call.answered_at is not None and self._simulation.accepted.get(call)
        if taken and self._simulation.epoch_of[call] == call.record.epoch:
            unbroken = self.lease.fence is None and self.lease.unbroken
            self.lease.on_appended(call.record, call.end + 1, call.sent_at)
            # If the answer to the claim came so late that another holder may have followed, this
            # instance may not act.
            if unbroken and self.lease.valid(now):
                self._simulation.note_unbroken_claim(self.name, now)
        else:
            self._must_read = True


class LeaseSimulation:
    """The simulated store and its instances."""

    def __init__(self, seed: int, instances: int = 3) -> None:
        """Draw everything from ``seed``."""
        self.rng = Random(seed)
        self.acts: list[Act] = []
        self.false_claims: list[str] = []
        self.unbroken_claims = 0
        self.accepted: dict[_Append, bool] = {}
        self.epoch_of: dict[_Append, int] = {}
        self._log: list[LeaseRecord] = []
        self._epoch = 1
        self._in_flight: list[_Append] = []
        self._instances = [Instance(f'i{number}', self) for number in range(instances)]

    def run(self, steps: int) -> None:
        """Run the given number of time steps."""
        for step in range(steps):
            now = step * STEP_S
            self._execute(now)
            if self.rng.random() < ROLLBACK_SHARE:
                self._roll_back()
            for instance in self._instances:
                if self.rng.random() < FREEZE_SHARE:
                    instance.awake_at = now + self.rng.uniform(0, LONGEST_FREEZE_S)
                instance.step(now)

    def view(self) -> LogView:
        """Return the state of the log, as a read finds it."""
        return LogView(self._epoch, len(self._log), self._log[-1] if self._log else None)

    def delay_s(self) -> float:
        """Return the random delay of a call or an answer, in seconds."""
        return self.rng.choice((0, 0, STEP_S, 0.8))

    def send(self, now: float, end: int, record: LeaseRecord) -> _Append:
        """Send a record; it may be executed late, or its answer may be lost."""
        executed = now + self.delay_s()
        answered: float | None = executed + self.delay_s()
        if self.rng.random() < LOST_SHARE:
            answered = None
            executed = now + self.rng.uniform(0, MAX_EXECUTION_DELAY_S)
        call = _Append(now, end, record, executed, answered)
        self._in_flight.append(call)
        return call

    def note_unbroken_claim(self, name: str, now: float) -> None:
        """Note a claim of an instance that assumes no other one has acted since it did."""
        self.unbroken_claims += 1
        if self.acts and self.acts[-1].name != name:
            self.false_claims.append(f'{name} at {now} after {self.acts[-1]}')

    def violations(self, min_turn_s: float) -> list[str]:
        """Return violations of the rules for holders: order of tokens, one holder a token, no quick turns."""
        violations = self.false_claims.copy()
        highest_fence = 0
        holder_of: dict[int, str] = {}
        last_acted_at: dict[str, float] = {}
        for index, act in enumerate(self.acts):
            if act.fence < highest_fence:
                violations.append(f'{act} after fencing number {highest_fence}')
            highest_fence = max(highest_fence, act.fence)
            if holder_of.setdefault(act.fence, act.name) != act.name:
                violations.append(f'{act} with the number of {holder_of[act.fence]}')
            previous = self.acts[index - 1].name if index else act.name
            if previous != act.name and act.at - last_acted_at.get(act.name, -min_turn_s) < min_turn_s:
                violations.append(f'{act} in turns with {previous}')
            last_acted_at[act.name] = act.at
        return violations

    def _execute(self, now: float) -> None:
        due = [call for call in self._in_flight if call.executed_at <= now]
        for call in due:
            self._in_flight.remove(call)
            self.accepted[call] = call.end == len(self._log)
            self.epoch_of[call] = self._epoch
            if self.accepted[call]:
                self._log.append(call.record)

    def _roll_back(self) -> None:
        self._epoch += 1
        lost = self.rng.randint(0, min(len(self._log), 8))
        self._log = self._log[: len(self._log) - lost]


__all__ = ('LeaseSimulation',)
