"""Execution of engine plans: a whole run, or a remote prefill and then a decode."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.paths import SECOND_STEP_S
from sesamepoint.front.attempt import Target
from sesamepoint.front.choice import LATE_RANK
from sesamepoint.front.decision_fields import decision_fields
from sesamepoint.front.gate import Purpose, SendKind
from sesamepoint.front.prefill import Prefilled, PrefillFailed, prefill
from sesamepoint.front.results import Rejected, Relayed, Unsent, Withheld
from sesamepoint.front.sends import NewLoad
from sesamepoint.front.tries import attempt, may_go_on, note_unread, note_withheld, patience_s, target_for
from sesamepoint.platform.headers import Sending

if TYPE_CHECKING:
    from sesamepoint_core.admit.window_budget import WindowBudget
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration

    from sesamepoint.front.engine_plan import EnginePlan
    from sesamepoint.front.engine_tools import EngineTools
    from sesamepoint.front.job import Job
    from sesamepoint.front.member import Member
    from sesamepoint.front.results import AttemptResult
    from sesamepoint.front.sends import End


# A remote prefill may take up to this share of the time until its caller leaves.
# Four times the expected time alone was too long: an engine that never answered
# kept callers of long prompts until they left, though a prefill can be repeated.
# It may always take this multiple of the expected time, since an aborted prefill is
# wasted work.
READ_SHARE = 0.5
READ_FACTOR = 2.0


class EngineRuns:
    """Sends requests that have a prompt to engines."""

    def __init__(self, tools: EngineTools) -> None:
        """Use the given components to plan, queue and send requests."""
        self._chooser = tools.chooser
        self._sends = tools.sends
        self._reclaimer = tools.reclaimer
        self._waiting = tools.waiting
        self._limits = tools.limits
        self._places = tools.places

    async def attempt(
        self,
        job: Job,
        prompt: Prompt,
        cfg: Configuration,
        budget: WindowBudget,
    ) -> AttemptResult | None:
        """Serve ``job`` on the placement of least cost.

        Returns
        -------
        AttemptResult | None
            The outcome; None if no engine can run it or it was refused.
        """
        plan = await self._admitted_plan(job, prompt, cfg)
        if plan is None or plan.prefill is None:
            return await self._whole(job, prompt, plan)
        prefilled = await self._prefill(job, prompt, plan, plan.prefill)
        if prefilled is None:
            return await self._after_failed_read(job, prompt, cfg, budget)
        if isinstance(prefilled, Withheld):
            return prefilled
        outcome = await self._run_on(job, prompt, cfg, plan, prefilled)
        if not isinstance(outcome, Relayed):
            self._reclaimer.drop(prefilled)
        return outcome

    async def _run_on(
        self,
        job: Job,
        prompt: Prompt,
        cfg: Configuration,
        plan: EnginePlan,
        prefilled: Prefilled,
    ) -> AttemptResult:
        """Decode after a remote prefill; choose another engine if the admission check for one fails."""
        while True:
            # The decode engine is chosen again: the planned one may have become busy during the prefill.
            decode = await self._second_step(job, prompt, cfg, plan)
            if decode is None:
                return Unsent('no eligible decode engine')
            outcome = await self._decode(job, prompt, plan._replace(decode=decode), prefilled)
            if not isinstance(outcome, Withheld) or not may_go_on(job, outcome):
                return outcome
            self._limits.give_back(job)

    async def _after_failed_read(
        self,
        job: Job,
        prompt: Prompt,
        cfg: Configuration,
        budget: WindowBudget,
    ) -> AttemptResult | None:
        """Retry after a failed remote prefill: another one if the retry budget allows it, else a whole run.

        Decode engines prefill at half the speed, between the answers of other
        requests. When prefill engines lost four answers in ten and all failed
        prefills were run whole at once, long prompts waited 2 to 4 s at decode
        engines, until their callers left.
        """
        # The first remote prefill of a request is free; a failed one is charged as an extra arrival.
        budget.charge()
        job.may_read_apart = budget.spend()
        if job.ended:
            # The quarantine decides whether the request may be sent again.
            return Unsent('the prefill engine ended')
        return await self.attempt(job, prompt, cfg, budget)

    async def _admitted_plan(self, job: Job, prompt: Prompt, cfg: Configuration) -> EnginePlan | None:
        """Wait for a plan whose first engine admits the request, and reserve a permit; None if it is refused."""
        while True:
            plan = await self._wait_for_plan(job, prompt, cfg)
            if plan is None:
                if not await self._gets_place(job):
                    return None
            elif self._limits.set_aside(plan.prefill or plan.decode, job):
                return plan

    async def _gets_place(self, job: Job) -> bool:
        return not job.notes.refused and await self._places.wait(job)

    async def _second_step(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> Member | None:
        """Wait for an engine that admits the decode, and reserve a permit; None if there is none."""
        zone = plan.view.zone
        while True:
            eligible = self._chooser.second_step(job, prompt, cfg, zone)
            if eligible is None and await self._places.wait(job):
                continue
            decode = eligible or plan.decode
            if decode.closed_to(Purpose(SendKind.second_step, job)):
                return None
            return decode if self._limits.set_aside(decode, job) else None

    async def _wait_for_plan(self, job: Job, prompt: Prompt, cfg: Configuration) -> EnginePlan | None:
        """Queue the request here until its engine is nearly free.

        An engine reserves memory for each prompt queued at it and evicts cached
        prefix blocks for that. A request queued here takes no engine memory and
        goes to whichever engine is free first.
        """
        plan = self._chooser.engine(job, prompt, cfg)
        if plan is None or not self._waiting.holds(job, plan):
            return plan
        return await self._waiting.plan(job, prompt, cfg, plan)

    async def _whole(self, job: Job, prompt: Prompt, plan: EnginePlan | None) -> AttemptResult | None:
        if plan is None:
            if not job.notes.refused:
                job.note_no_runner()
            return None
        job.notes.decision.update(decision_fields(plan, prompt, 'whole'))
        job.may_read_apart = False
        end = await self._begin(plan, prompt, plan.decode, plan.path.work_s)
        started = trio.current_time()
        target = self._target(job, plan)
        target = target._replace(
            sending=target.sending._replace(fetch_from=plan.fetch_from),
            on_sign=partial(self._note_sign, job, plan, end, started),
        )
        outcome: AttemptResult | None = None
        try:
            outcome = await attempt(job, target)
        finally:
            self._end_stream(job, end._replace(lost=_lost(job, outcome)), started, outcome)
        return outcome

    async def _prefill(self, job: Job, prompt: Prompt, plan: EnginePlan, member: Member) -> Prefilled | Withheld | None:
        job.notes.decision.update(decision_fields(plan, prompt, 'two-step'))
        job.may_read_apart = False
        job.tried[member.runner.key] = member.start
        end = await self._begin(plan, prompt, member, plan.path.work_s)
        sending = Sending(member.runner.key, job.left_s, plan.rank, prefill_only=True, fetch_from=plan.fetch_from)
        timeout_s = _read_patience_s(plan.path.first_s, job.first_left_s)
        target = Target(member, sending, timeout_s, purpose=Purpose(SendKind.read_apart, job))
        started = trio.current_time()
        outcome: Prefilled | PrefillFailed | Withheld | None = None
        try:
            outcome = await prefill(job.req, target, job.reply)
        finally:
            self._sends.end(end._replace(finished=True, lost=_unread(outcome)))
        if isinstance(outcome, Prefilled):
            self._learn(job, prompt, plan, member, trio.current_time() - started)
            return outcome
        if isinstance(outcome, Withheld):
            job.may_read_apart = True
            note_withheld(job, target, outcome, started)
            return outcome
        note_unread(job, member, outcome, started)
        return None

    async def _decode(self, job: Job, prompt: Prompt, plan: EnginePlan, prefilled: Prefilled) -> AttemptResult:
        end = await self._begin(plan, prompt, plan.decode, 0)
        started = trio.current_time()
        target = self._target(job, plan)
        target = target._replace(
            sending=target.sending._replace(kv_source=prefilled.source),
            purpose=Purpose(SendKind.second_step, job),
        )
        outcome: AttemptResult | None = None
        try:
            outcome = await attempt(job, target)
        finally:
            self._end_stream(job, end._replace(lost=_lost(job, outcome)), started, outcome)
            if outcome is None:
                # The caller has left.
                self._reclaimer.drop(prefilled)
        return outcome

    async def _begin(self, plan: EnginePlan, prompt: Prompt, member: Member, work_s: float) -> End:
        """Record a send, and announce long work to peers before its body occupies the link."""
        tokens = prompt.tokens if member is plan.decode else 0
        load = NewLoad(member, work_s, tokens, late=plan.rank == LATE_RANK)
        end = self._sends.begin(load, prompt.parts)
        try:
            await self._sends.announced(end)
        except BaseException:
            # The caller has left, and nothing is sent.
            self._sends.end(end._replace(finished=True))
            raise
        return end

    def _end_stream(self, job: Job, end: End, started: float, became: AttemptResult | None) -> None:
        self._sends.end(end._replace(finished=True))
        if isinstance(became, Withheld):
            return
        self._chooser.note_slot(job.route.name, trio.current_time() - started)

    def _target(self, job: Job, plan: EnginePlan) -> Target:
        target = target_for(job, plan.decode, plan.path.first_s)
        return target._replace(
            sending=target.sending._replace(priority=plan.rank),
            on_pause=partial(self._note_pause, job),
        )

    def _note_sign(self, job: Job, plan: EnginePlan, end: End, started: float) -> None:
        now = trio.current_time()
        self._sends.end(end)
        job.note_first()
        plan.decode.pace.observe(now, plan.path.first_s, now - started)

    def _note_pause(self, job: Job, pause_s: float) -> None:
        job.notes.longest_pause_s = max(job.notes.longest_pause_s, pause_s)
        self._chooser.pauses(job.service).observe(pause_s)

    def _learn(self, job: Job, prompt: Prompt, plan: EnginePlan, member: Member, took_s: float) -> None:
        member.health.good()
        member.pace.observe(trio.current_time(), plan.path.first_s - SECOND_STEP_S, took_s)
        job.notes.prefill_s = took_s
        if plan.view.wait_s == 0 and plan.view.fetch_tokens == 0:
            self._chooser.speed(job.service).observe(plan.view.fresh_tokens, prompt.tokens, took_s)


def _read_patience_s(expected_s: float, left_s: float) -> float:
    """Return the timeout of a remote prefill that is expected to take ``expected_s``.

    Parameters
    ----------
    left_s
        Seconds until the caller stops waiting for the start of an answer.
    """
    return max(min(patience_s(expected_s, engine=True), READ_SHARE * left_s), READ_FACTOR * expected_s)


def _lost(job: Job, became: AttemptResult | None) -> bool | None:
    """Tell whether an engine lost the answer; None if it had no chance to give one."""
    if became is None:
        # Either the deadline passed before the answer began, or the caller left.
        return True if job.notes.first_at is None and job.first_left_s <= 0 else None
    if isinstance(became, Unsent | Rejected | Withheld):
        return None
    return not isinstance(became, Relayed)


def _unread(found: Prefilled | PrefillFailed | Withheld | None) -> bool | None:
    """Tell whether an engine failed a remote prefill; None if nothing reached it, or another incarnation answered."""
    if found is None or isinstance(found, Withheld):
        return None
    if isinstance(found, Prefilled):
        return False
    return None if found.replaced else True


__all__ = ('EngineRuns',)
