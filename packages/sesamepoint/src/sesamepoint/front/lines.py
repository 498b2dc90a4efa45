"""Lines of waiting requests: who is first, who stands back, how long it takes."""

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

# Work that an engine may have before more is held back here: enough to keep
# it busy over the 30 ms that a word to the other entries takes.
HOLD_ABOVE_S = 0.1
# From this many seconds before it is too late to be answered at all, a caller
# that came back goes before those that come for the first time. It allows for
# the work that an engine may have had before, and an error of as much again.
LAST_CALL_S = 0.3
# With less to spare than this many seconds, or than it takes, it is too late. A
# guess: in bursts of 430 prompts nobody, or one caller, that was let go later
# than that stayed without an answer, with 0.2 and 0.3 s alike.
MIN_SPARE_S = 0.2
# Work of fewer seconds is served late rather than refused: it holds up the
# others for less time than a gap between two long prompts leaves, and its
# caller would have to wait for a third of its time to ask again.
SMALL_WORK_S = 0.03


class Waiter:
    """One waiting request; ``plan`` is set when its time has come."""

    def __init__(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> None:
        """Wait since ``plan`` came out as too busy."""
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
        """Wait by the newest ``plan``."""
        self.line = line_of(self.job, plan)
        self._newest = plan

    def expect_wait(self, wait_s: float) -> None:
        """Expect to wait for ``wait_s``; the line that tells its end has the first such estimate."""
        self.expected_s = wait_s
        notes = self.job.notes
        if notes.wait_expected_s is None:
            notes.wait_expected_s = wait_s
            notes.need = self.line.need.value

    def waits_for_permit_of(self, runner: str) -> bool:
        """Tell whether it waits for a permit to be read at ``runner``, by the newest plan."""
        return not self._newest.admitted and self._newest.view.runner == runner

    @property
    def refusable(self) -> bool:
        """Tell whether it may be refused: not if part of an answer may have gone out."""
        return not self.job.sends

    @property
    def small(self) -> bool:
        """Tell whether to serve it late costs the others next to nothing."""
        return self.turn.work_s < SMALL_WORK_S

    @property
    def spare_s(self) -> float:
        """Return how long it may still wait and be answered at all."""
        path = self._newest.path
        return self.job.first_left_s - (path.first_s - self._newest.view.wait_s)

    @property
    def last_call(self) -> bool:
        """Tell whether it is now or never: its caller won't come back."""
        return self.job.returned and self.spare_s < LAST_CALL_S + self._newest.path.work_s

    @property
    def too_late(self) -> bool:
        """Tell whether it would hardly be answered any more."""
        return self.spare_s < max(MIN_SPARE_S, self._newest.path.work_s)

    def refuse(self, wait_s: float) -> None:
        """Have the request refused; its caller may come back after ``wait_s``."""
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
        """Work out by when an engine must be through with it, as of now.

        An answer of its route takes up a place at an engine for ``slot_s``.
        """
        plan = self._newest
        rest_s = plan.path.first_s - plan.view.wait_s - plan.path.work_s
        work_s = plan.path.work_s
        if self.line.need is Need.slot:
            work_s = slot_s / plan.decode.runner.slots
        self.turn = Turn(self.job.on_time_s - rest_s, work_s)


class Lines:
    """Sorts the waiting requests of each line, with an eye on the other entries."""

    def __init__(self, chooser: Chooser, backlog: Backlog) -> None:
        """Ask ``chooser`` for the engines, and ``backlog`` for the rivals."""
        self._chooser = chooser
        self._backlog = backlog

    def sort(self, waiters: Iterable[Waiter]) -> None:
        """Find out which of the waiting requests are late."""
        lines: dict[Line, list[Waiter]] = {}
        for waiter in waiters:
            lines.setdefault(waiter.line, []).append(waiter)
        for line in lines.values():
            self._triage(line)
        self.note(waiters)

    def note(self, waiters: Iterable[Waiter]) -> None:
        """Have the other entries told what waits here now.

        Also when nothing does any more: what had gone would go on to raise
        the price of engines, and late requests would be refused for it.
        """
        by_target: dict[tuple[Line, float], list[Waiter]] = {}
        for waiter in waiters:
            by_target.setdefault((waiter.line, waiter.job.route.target_s), []).append(waiter)
        self._backlog.own = tuple(map(_held, by_target.values()))

    def receive(self, newcomer: Waiter, line: Sequence[Waiter]) -> None:
        """Find out whether ``newcomer`` is late behind those that are due before it, here and elsewhere.

        Of the others' only the routes' targets are known: what has a longer
        one comes after it. (Counted before it, long prompts that returned
        after an outage had short ones refused that take 4 ms.)
        """
        newcomer.update_turn(self._chooser.slot_s(newcomer.job.route.name))
        target_s = newcomer.job.route.target_s
        ahead_s = _work_s(one for one in line if not one.late and one.turn.due_s <= newcomer.turn.due_s)
        at_peers = (held.work_s for held in self._backlog.at_peers(newcomer.line) if held.target_s <= target_s)
        ahead_s += self._share(newcomer.line) * sum(at_peers)
        begin_s = _start_s(newcomer.line) + ahead_s / self._engines(newcomer)
        newcomer.late = begin_s + newcomer.turn.work_s > newcomer.turn.due_s
        newcomer.expect_wait(self.wait_s([*line, newcomer]) if newcomer.late else begin_s)

    def wait_s(self, line: Sequence[Waiter]) -> float:
        """Return the seconds until all of ``line`` are through, late ones too."""
        at_peers_s = sum(held.work_s + held.late_s for held in self._backlog.at_peers(line[0].line))
        work_s = _work_s(line) + self._share(line[0].line) * at_peers_s
        return _start_s(line[0].line) + work_s / self._engines(line[0])

    def rivals(self, line: Line) -> float:
        """Return how many requests in ``line`` at all entries can be on time."""
        return self._backlog.requests(line)

    def _triage(self, line: Sequence[Waiter]) -> None:
        for waiter in line:
            waiter.update_turn(self._chooser.slot_s(waiter.job.route.name))
        late = late_turns([one.turn for one in line], _start_s(line[0].line), self._stretch(line))
        for index, waiter in enumerate(line):
            waiter.late = index in late

    def _stretch(self, line: Sequence[Waiter]) -> float:
        """Return the seconds that pass for each engine second of a line.

        Other entries that hold work take turns with this one, for as long as
        they have any.
        """
        held = self._backlog.at_peers(line[0].line)
        own_s = _work_s(line)
        share = self._share(line[0].line)
        rivals = min(len(held), sum(one.work_s for one in held) / own_s) if own_s else 0
        return (1 + share * rivals) / self._engines(line[0])

    def _engines(self, waiter: Waiter) -> int:
        return max(self._chooser.engines(waiter.job, _stage_of(waiter.line)), 1)

    def _share(self, line: Line) -> float:
        return self._chooser.share_of(line.service, _stage_of(line))


def must_wait(plan: EnginePlan) -> bool:
    """Tell whether the engines of ``plan`` are too busy for it."""
    return plan.view.wait_s > HOLD_ABOVE_S or plan.crowded or not plan.admitted


def line_of(job: Job, plan: EnginePlan) -> Line:
    """Return the line in which ``job`` waits for the engines of ``plan``."""
    if plan.crowded:
        return Line(job.service, Need.slot)
    return Line(job.service, Need.decode if plan.prefill is None else Need.prefill)


def _stage_of(line: Line) -> Stage:
    return Stage.prefill if line.need is Need.prefill else Stage.decode


def _start_s(line: Line) -> float:
    """Return the seconds until an engine is free, while others wait for it."""
    return 0 if line.need is Need.slot else HOLD_ABOVE_S


def _work_s(waiters: Iterable[Waiter]) -> float:
    return sum(waiter.turn.work_s for waiter in waiters)


def _held(line: Sequence[Waiter]) -> Held:
    timely = [waiter for waiter in line if not waiter.late]
    late_s = _work_s(line) - _work_s(timely)
    return Held(line[0].line, line[0].job.route.target_s, len(timely), _work_s(timely), late_s)


__all__ = ('Lines', 'Waiter', 'line_of', 'must_wait')
