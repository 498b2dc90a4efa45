"""Triage of queued requests: which can be on time, and how long each waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.runner import Stage
from sesamepoint_core.serving.triage import Turn, late_turns
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.backlog import Held, Line, Need
from sesamepoint.front.return_time import heeded_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.backlog import Backlog
    from sesamepoint.front.choice import Chooser
    from sesamepoint.front.engine_plan import EnginePlan
    from sesamepoint.front.job import Job

# Work that an engine may have, in seconds, before requests are queued here: enough to
# keep it busy for the 30 ms that an announcement to peers takes.
HOLD_ABOVE_S = 0.1
# The retry of a caller goes before first attempts from this many seconds before it can
# no longer be answered. This covers the work that an engine may already have, and an
# error of as much again.
LAST_CALL_S = 0.3
# A request with less slack than this many seconds, or than its work takes, can't be
# answered any more. In bursts of 430 prompts no caller, or one, that was released later
# than that stayed without an answer, with 0.2 s as with 0.3 s.
MIN_SPARE_S = 0.2
# Requests of fewer engine seconds are served late rather than refused: they delay others
# by less than the gap between two long prompts, while their callers would have to wait
# for a third of their time to retry.
SMALL_WORK_S = 0.03


class Waiter:
    """One waiting request; ``plan`` is final once the request is released or refused."""

    def __init__(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> None:
        """Wait because the engines of ``plan`` are too busy."""
        self.job = job
        self.prompt = prompt
        self.cfg = cfg
        self.plan: EnginePlan | None = plan
        self.late = False
        self.expected_s: float = 0
        self.due = trio.Event()
        self.turn = Turn(0, 0)
        self.take(plan)

    def take(self, plan: EnginePlan) -> None:
        """Replace the newest plan, which decides the queue."""
        self.line = line_of(self.job, plan)
        self._newest = plan

    def expect_wait(self, wait_s: float) -> None:
        """Set the expected wait to ``wait_s``; the log line of the request has the first estimate."""
        self.expected_s = wait_s
        notes = self.job.notes
        if notes.wait_expected_s is None:
            notes.wait_expected_s = wait_s
            notes.need = self.line.need.value

    def waits_for_permit_of(self, runner: str) -> bool:
        """Tell whether it waits for a permit for prefill at ``runner``, by the newest plan."""
        return not self._newest.admitted and self._newest.view.runner == runner

    @property
    def refusable(self) -> bool:
        """Tell whether it may be refused: not once it was sent, since part of an answer may have gone out."""
        return not self.job.sends

    @property
    def small(self) -> bool:
        """Tell whether its work is so small that serving it late hardly delays others."""
        return self.turn.work_s < SMALL_WORK_S

    @property
    def spare_s(self) -> float:
        """Return for how many seconds it may still wait and be answered before its deadline."""
        path = self._newest.path
        return self.job.first_left_s - (path.first_s - self._newest.view.wait_s)

    @property
    def last_call(self) -> bool:
        """Tell whether it is the retry of a caller and close to its latest start time; its caller won't retry again."""
        return self.job.returned and self.spare_s < LAST_CALL_S + self._newest.path.work_s

    @property
    def too_late(self) -> bool:
        """Tell whether too little time is left for an answer."""
        return self.spare_s < max(MIN_SPARE_S, self._newest.path.work_s)

    def refuse(self, wait_s: float) -> None:
        """Refuse the request; its caller may retry after ``wait_s``, capped to a share of the time that it has left."""
        job = self.job
        self.plan = None
        job.retry_after_s = heeded_s(wait_s, job.caller_left_s)
        job.notes.refused = True
        events.log_event(
            events.REQUEST_REFUSED,
            request=job.req.request_id,
            need=self.line.need.value,
            work_ms=whole_ms(self.turn.work_s),
            due_ms=whole_ms(self.turn.due_s),
            left_ms=whole_ms(job.first_left_s),
            retry_after_s=job.retry_after_s,
        )

    def update_turn(self, slot_s: float) -> None:
        """Compute by when an engine must have done its work, from now.

        Parameters
        ----------
        slot_s
            Seconds for which an answer of its route occupies an engine slot.
        """
        plan = self._newest
        after_s = plan.path.first_s - plan.view.wait_s - plan.path.work_s
        work_s = plan.path.work_s
        if self.line.need is Need.slot:
            work_s = slot_s / plan.decode.runner.slots
        self.turn = Turn(self.job.on_time_s - after_s, work_s)


class Lines:
    """Finds the late requests of each queue, taking the queued work of peers into account."""

    def __init__(self, chooser: Chooser, backlog: Backlog) -> None:
        """Take engines from runner selection, and the queued work of peers from ``backlog``."""
        self._chooser = chooser
        self._backlog = backlog

    def sort(self, waiters: Iterable[Waiter]) -> None:
        """Mark which of the waiting requests are late, and publish the queued work to peers."""
        queues: dict[Line, list[Waiter]] = {}
        for waiter in waiters:
            queues.setdefault(waiter.line, []).append(waiter)
        for queued in queues.values():
            self._triage(queued)
        self.note(waiters)

    def note(self, waiters: Iterable[Waiter]) -> None:
        """Set the queued work that peers are sent.

        An empty queue is published too: otherwise requests that have gone would
        keep raising the price of engines, and late requests would be refused for it.
        """
        by_target: dict[tuple[Line, float], list[Waiter]] = {}
        for waiter in waiters:
            by_target.setdefault((waiter.line, waiter.job.route.target_s), []).append(waiter)
        self._backlog.own = tuple(map(_held, by_target.values()))

    def receive(self, newcomer: Waiter, line: Sequence[Waiter]) -> None:
        """Find out whether ``newcomer`` is late behind the requests due before it, here and at peers.

        Of requests at peers only the target of the route is known: those with a
        longer target count as due after it. When they were counted before it,
        long prompts retried after an outage caused refusals of short ones that
        take 4 ms.
        """
        newcomer.update_turn(self._chooser.slot_s(newcomer.job.route.name))
        target_s = newcomer.job.route.target_s
        before_s = _work_s(one for one in line if not one.late and one.turn.due_s <= newcomer.turn.due_s)
        at_peers = (work.work_s for work in self._backlog.at_peers(newcomer.line) if work.target_s <= target_s)
        before_s += self._share(newcomer.line) * sum(at_peers)
        begin_s = _start_s(newcomer.line) + before_s / self._engines(newcomer)
        newcomer.late = begin_s + newcomer.turn.work_s > newcomer.turn.due_s
        newcomer.expect_wait(self.wait_s([*line, newcomer]) if newcomer.late else begin_s)

    def wait_s(self, line: Sequence[Waiter]) -> float:
        """Return the seconds until all waiters of a queue are done, late ones and those at peers included."""
        at_peers_s = sum(work.work_s + work.late_s for work in self._backlog.at_peers(line[0].line))
        work_s = _work_s(line) + self._share(line[0].line) * at_peers_s
        return _start_s(line[0].line) + work_s / self._engines(line[0])

    def rivals(self, line: Line) -> float:
        """Return how many requests of a queue can be on time, at all instances."""
        return self._backlog.requests(line)

    def _triage(self, line: Sequence[Waiter]) -> None:
        for waiter in line:
            waiter.update_turn(self._chooser.slot_s(waiter.job.route.name))
        late = late_turns([one.turn for one in line], _start_s(line[0].line), self._stretch(line))
        for index, waiter in enumerate(line):
            waiter.late = index in late

    def _stretch(self, line: Sequence[Waiter]) -> float:
        """Return the seconds that pass for each engine second of a queue.

        Peers with queued work take turns with this instance, for as long as they
        have any.
        """
        at_peers = self._backlog.at_peers(line[0].line)
        own_s = _work_s(line)
        share = self._share(line[0].line)
        competing = min(len(at_peers), sum(one.work_s for one in at_peers) / own_s) if own_s else 0
        return (1 + share * competing) / self._engines(line[0])

    def _engines(self, waiter: Waiter) -> int:
        return max(self._chooser.engines(waiter.job, _stage_of(waiter.line)), 1)

    def _share(self, line: Line) -> float:
        return self._chooser.share_of(line.service, _stage_of(line))


def must_wait(plan: EnginePlan) -> bool:
    """Tell whether the engines of ``plan`` are too busy for it, or have no permit."""
    return plan.view.wait_s > HOLD_ABOVE_S or plan.crowded or not plan.admitted


def line_of(job: Job, plan: EnginePlan) -> Line:
    """Return the queue in which ``job`` waits for the engines of ``plan``."""
    if plan.crowded:
        return Line(job.service, Need.slot)
    return Line(job.service, Need.decode if plan.prefill is None else Need.prefill)


def _stage_of(line: Line) -> Stage:
    return Stage.prefill if line.need is Need.prefill else Stage.decode


def _start_s(line: Line) -> float:
    """Return the seconds until an engine takes the next request while requests are queued for it."""
    return 0 if line.need is Need.slot else HOLD_ABOVE_S


def _work_s(waiters: Iterable[Waiter]) -> float:
    return sum(waiter.turn.work_s for waiter in waiters)


def _held(line: Sequence[Waiter]) -> Held:
    timely = [waiter for waiter in line if not waiter.late]
    late_s = _work_s(line) - _work_s(timely)
    return Held(line[0].line, line[0].job.route.target_s, len(timely), _work_s(timely), late_s)


__all__ = ('Lines', 'Waiter', 'line_of', 'must_wait')
