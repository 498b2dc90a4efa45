"""Model of the processes that hold a duty in turn, with their store, announcements, stops and faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from sesamepoint_core.duty.lease import ClaimState, Holder, Lease, LeaseRecord, LeaseTimes, LogView

STEP_S = 0.1
RENEW_S = 0.7
ANNOUNCE_S = 1.0
ANNOUNCED_FOR_S = 2.5
SEEK_RANGE_S = (0.1, 1.0)
STARTUP_RANGE_S = (1.0, 2.0)
CALL_TIMEOUT_S = 1.0
# A call without an answer may be executed up to this much later, in seconds.
MAX_EXECUTION_DELAY_S = 6.0
# Time from the signal to stop until the end of a process, in seconds.
DRAIN_S = 3.5
# Length of a window, and how long after its end a report is still in time, in seconds.
WINDOW_S = 1.0
LATE_S = 10.0


class Act(NamedTuple):
    """A report as the platform sees it."""

    at: float
    machine: str
    fence: int
    window: int


@dataclass
class Append:
    """A record on its way to the store."""

    sent_at: float
    end: int
    record: LeaseRecord
    executed_at: float
    # None if the answer is lost.
    answered_at: float | None
    accepted: bool = False


@dataclass
class Read:
    """A read on its way back from the store."""

    began_at: float
    view: LogView
    answered_at: float


NewLease = Callable[[Holder, LeaseTimes, float], Lease]


class Way(NamedTuple):
    """A way to hand the duty over.

    Parameters
    ----------
    stopping_seeks
        Whether an instance that is about to stop claims the duty, and keeps it until its end.
    notes_reports
        Whether the next holder learns which report the platform has taken.
    """

    new_lease: NewLease = Lease
    stopping_seeks: bool = False
    notes_reports: bool = True


@dataclass
class Process:
    """One process of a machine."""

    machine: str
    lease: Lease
    seek_at: float
    ends_at: float | None = None
    awake_at: float = 0
    call: Append | Read | None = None
    renew_at: float = 0
    announced_at: float = -ANNOUNCE_S
    next_window: int = 0
    must_read: bool = True
    pending: int | None = None


@dataclass
class DutyModel:
    """Machines, the log of the store, and what the platform has seen."""

    rng: Random
    lease_s: float
    way: Way = field(default_factory=Way)
    loss: float = 0.1
    now: float = 0
    calls: int = 0
    acts: list[Act] = field(default_factory=list)
    cut: set[str] = field(default_factory=set)
    processes: dict[str, Process | None] = field(default_factory=dict)
    decided: int | None = None
    # Claims of processes that were about to stop, and reports that the record showed as taken, sent again.
    late_claims: list[str] = field(default_factory=list)
    needless_repeats: list[str] = field(default_factory=list)
    held_at_steps: list[bool] = field(default_factory=list)
    _log: list[LeaseRecord] = field(default_factory=list)
    _epoch: int = 0
    _in_flight: list[Append] = field(default_factory=list)

    def start(self, machine: str) -> None:
        """Start a process on a machine that has none."""
        if self.processes.get(machine) is None:
            lease = self.way.new_lease(Holder(machine, machine), LeaseTimes.from_lease(self.lease_s), self.now)
            seek_at = self.now + self.rng.uniform(*STARTUP_RANGE_S) + self.rng.uniform(*SEEK_RANGE_S)
            self.processes[machine] = Process(machine, lease, seek_at)

    def kill(self, machine: str) -> None:
        """End a process at once."""
        self.processes[machine] = None

    def stop(self, machine: str) -> None:
        """Have a process stop, ``DRAIN_S`` seconds after the signal."""
        process = self.processes.get(machine)
        if process is not None and process.ends_at is None:
            process.ends_at = self.now + DRAIN_S

    def freeze(self, machine: str, for_s: float) -> None:
        """Have a process not run for a time."""
        process = self.processes.get(machine)
        if process is not None:
            process.awake_at = max(process.awake_at, self.now + for_s)

    def rewind(self, records: int) -> None:
        """Restore the store from a copy without its last ``records`` records."""
        self._epoch += 1
        self._log = self._log[: max(len(self._log) - records, 0)]

    def run(self, for_s: float) -> None:
        """Let time pass."""
        for _ in range(round(for_s / STEP_S)):
            self._step()

    def turns(self) -> list[str]:
        """Return the acts with which a holder comes back within the lease time, after another one."""
        found = []
        for index, act in enumerate(self.acts):
            recent = [one for one in self.acts[:index] if one.at > act.at - self.lease_s]
            own = [position for position, one in enumerate(recent) if one.machine == act.machine]
            if own and any(one.machine != act.machine for one in recent[own[0] :]):
                found.append(f'{act} after {[one.machine for one in recent[own[0] :]]}')
        return found

    def violations(self) -> list[str]:
        """Return what breaks the rules for holders."""
        found = [*self.turns(), *self.late_claims, *self.needless_repeats]
        holder_of: dict[int, str] = {}
        highest = 0
        for act in self.acts:
            if act.fence < highest:
                found.append(f'{act} after fencing token {highest}')
            highest = max(highest, act.fence)
            if holder_of.setdefault(act.fence, act.machine) != act.machine:
                found.append(f'{act} with the token of {holder_of[act.fence]}')
        return found

    def repeats(self) -> int:
        """Return how many reports were sent once more."""
        return len(self.acts) - len({act.window for act in self.acts})

    def late_windows(self) -> int:
        """Return how many windows were not reported in time."""
        last = int((self.now - LATE_S) / WINDOW_S)
        reported = {act.window for act in self.acts if act.at < (act.window + 1) * WINDOW_S + LATE_S}
        return sum(window not in reported for window in range(last))

    def _step(self) -> None:
        self.now += STEP_S
        self._execute()
        for machine, process in sorted(self.processes.items()):
            if process is not None and self.now >= process.awake_at:
                self._step_process(machine, process)
        self.held_at_steps.append(any(one is not None and one.lease.valid(self.now) for one in self.processes.values()))

    def _step_process(self, machine: str, process: Process) -> None:
        if process.ends_at is not None and self.now >= process.ends_at:
            self._release_held(process)
            self.processes[machine] = None
            return
        if process.call:
            self._end_call(process)
        elif self._gives_back(process):
            self._release_held(process)
        else:
            self._begin_call(process)
        if process.lease.valid(self.now):
            self._hold(process)

    def _begin_call(self, process: Process) -> None:
        lease = process.lease
        if lease.fence is None:
            if self.now >= process.seek_at:
                self._begin_read(process)
        elif process.must_read:
            self._begin_read(process)
        elif self.now >= process.renew_at:
            self._append(process, lease.next_record(self.now))

    def _gives_back(self, process: Process) -> bool:
        return process.ends_at is not None and not self.way.stopping_seeks

    def _hold(self, process: Process) -> None:
        if self.now - process.announced_at >= ANNOUNCE_S:
            process.announced_at = self.now
            self._announce(process, self.now + ANNOUNCED_FOR_S)
        if process.pending is None and (process.next_window + 1) * WINDOW_S <= self.now:
            process.pending = process.next_window
            self.decided = max(process.pending, self.decided or 0)
        if process.pending is not None and process.lease.fence is not None:
            process.lease.note_acted(self.now)
            self.acts.append(Act(self.now, process.machine, process.lease.fence, process.pending))
            process.lease.reported = process.pending
            process.next_window = process.pending + 1
            process.pending = None

    def _announce(self, sender: Process, expected_until: float) -> None:
        for machine, process in self.processes.items():
            reached = machine not in self.cut and sender.machine not in self.cut and self.rng.random() >= self.loss
            if process is not None and process is not sender and reached:
                process.seek_at = expected_until + self.rng.uniform(*SEEK_RANGE_S)

    def _release_held(self, process: Process) -> None:
        if process.lease.fence is None:
            return
        self._send(process, process.lease.release_record(self.now))
        process.call = None
        process.lease.lose()
        self._announce(process, self.now)

    def _begin_read(self, process: Process) -> None:
        self.calls += 1
        delay_s = self.rng.choice((0, STEP_S, 0.5))
        view = LogView(self._epoch, len(self._log), self._log[-1] if self._log else None)
        process.call = Read(self.now, view, self.now + delay_s)

    def _append(self, process: Process, record: LeaseRecord) -> None:
        process.call = self._send(process, record)

    def _send(self, process: Process, record: LeaseRecord) -> Append:
        self.calls += 1
        executed_at = self.now + self.rng.choice((0, STEP_S, 0.5))
        answered_at: float | None = executed_at + self.rng.choice((0, STEP_S))
        if process.machine in self.cut:
            executed_at, answered_at = float('inf'), None
        elif self.rng.random() < self.loss:
            executed_at, answered_at = self.now + self.rng.uniform(0, MAX_EXECUTION_DELAY_S), None
        call = Append(self.now, process.lease.end, record, executed_at, answered_at)
        self._in_flight.append(call)
        return call

    def _execute(self) -> None:
        due = [call for call in self._in_flight if call.executed_at <= self.now]
        for call in due:
            self._in_flight.remove(call)
            call.accepted = call.end == len(self._log) and (call.record.epoch == self._epoch or not call.answered_at)
            if call.accepted:
                self._log.append(call.record)

    def _end_call(self, process: Process) -> None:
        call = process.call
        if isinstance(call, Read):
            if self.now >= call.answered_at:
                process.call = None
                self._end_read(process, call)
        elif call is not None:
            self._end_append_call(process, call)

    def _end_append_call(self, process: Process, call: Append) -> None:
        lost = call.answered_at is None
        if self.now < (call.answered_at or call.sent_at + CALL_TIMEOUT_S):
            return
        process.call = None
        if call.accepted and not lost:
            self._end_append(process, call)
        else:
            process.must_read = True

    def _end_read(self, process: Process, call: Read) -> None:
        process.must_read = False
        if process.machine in self.cut:
            process.seek_at = self.now + self.rng.uniform(1, 3)
            return
        process.lease.on_read(call.view, self.now)
        if process.lease.fence is not None:
            return
        answer = process.lease.may_claim(call.began_at)
        process.seek_at = self.now + answer.wait_s + self.rng.uniform(*SEEK_RANGE_S)
        if answer.state is ClaimState.free and not self._gives_back(process):
            self._append(process, process.lease.next_record(self.now))

    def _end_append(self, process: Process, call: Append) -> None:
        claimed = process.lease.fence is None
        released = process.lease.released
        process.lease.on_appended(call.record, call.end + 1, call.sent_at)
        process.renew_at = call.sent_at + RENEW_S
        if claimed:
            self._take_over(process)
            if process.ends_at is not None and call.sent_at > process.ends_at - DRAIN_S + STEP_S:
                self.late_claims.append(f'{process.machine} claims at {self.now}, stops')
            if released and process.pending is not None and any(act.window == process.pending for act in self.acts):
                self.needless_repeats.append(f'{process.machine} repeats {process.pending} at {self.now}')

    def _take_over(self, process: Process) -> None:
        known = process.lease.reported if self.way.notes_reports else None
        process.announced_at = self.now - ANNOUNCE_S
        process.pending = None
        process.next_window = int(self.now / WINDOW_S) if self.decided is None else self.decided + 1
        if self.decided is not None and (known is None or known < self.decided):
            process.pending = self.decided


__all__ = ('Act', 'DutyModel', 'Way')
