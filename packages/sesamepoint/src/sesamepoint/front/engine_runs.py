"""Carrying out a path through the engines: whole, or in two steps."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.serving.paths import SECOND_STEP_S
from sesamepoint import events
from sesamepoint.front.attempt import Target
from sesamepoint.front.choice import LATE_RANK
from sesamepoint.front.decision_fields import decision_fields
from sesamepoint.front.prefill import Prefilled, prefill
from sesamepoint.front.results import Relayed
from sesamepoint.front.sends import NewLoad
from sesamepoint.front.tries import attempt, note_failure, note_replaced, patience_s, target_for
from sesamepoint.platform.headers import Sending

if TYPE_CHECKING:
    from sesamepoint_core.admit.budget import RetryBudget
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration

    from sesamepoint.front.choice import Chooser, EnginePlan
    from sesamepoint.front.job import Job
    from sesamepoint.front.member import Member
    from sesamepoint.front.prefill import HandleReclaimer
    from sesamepoint.front.results import AttemptResult
    from sesamepoint.front.sends import End, SendNotes
    from sesamepoint.front.waiting import WaitingRoom


class EngineTools(NamedTuple):
    """What the paths need besides the job."""

    chooser: Chooser
    sends: SendNotes
    reclaimer: HandleReclaimer
    waiting: WaitingRoom


class EngineRuns:
    """Runs jobs with prompts at engines."""

    def __init__(self, tools: EngineTools) -> None:
        """Work with ``tools``."""
        self._chooser = tools.chooser
        self._sends = tools.sends
        self._reclaimer = tools.reclaimer
        self._waiting = tools.waiting

    async def attempt(
        self,
        job: Job,
        prompt: Prompt,
        cfg: Configuration,
        budget: RetryBudget,
    ) -> AttemptResult | None:
        """Have ``job`` served on the best path; None if there is none."""
        plan = await self._wait_for_plan(job, prompt, cfg)
        if plan is None or plan.prefill is None:
            return await self._whole(job, prompt, plan)
        prefilled = await self._prefill(job, prompt, plan, plan.prefill)
        if prefilled is None:
            # Unlike the first call to read a prompt, a failed one counts as
            # an extra arrival.
            budget.charge()
            return await self._whole(job, prompt, self._chooser.engine(job, prompt, cfg))
        # Reading took a while; the engine that was idle then may be busy now.
        decode = self._chooser.second_step(job, prompt, cfg)
        return await self._decode(job, prompt, plan._replace(decode=decode or plan.decode), prefilled)

    async def _wait_for_plan(self, job: Job, prompt: Prompt, cfg: Configuration) -> EnginePlan | None:
        """Hold the request here until its best engine has nearly got to it.

        An engine sets memory aside for all prompts that wait there, at the
        cost of the shared parts that it keeps. What waits here takes none,
        and goes to whichever engine is free first.
        """
        plan = self._chooser.engine(job, prompt, cfg)
        if plan is None or not self._waiting.holds(job, plan):
            return plan
        return await self._waiting.plan(job, prompt, cfg, plan)

    async def _whole(self, job: Job, prompt: Prompt, plan: EnginePlan | None) -> AttemptResult | None:
        if plan is None:
            if not job.refused:
                job.note_no_runner()
            return None
        job.notes.decision.update(decision_fields(plan, prompt, 'whole'))
        job.prompt_sent = True
        started = trio.current_time()
        end = self._begin(plan, prompt, plan.decode, plan.path.work_s)
        target = self._target(job, plan)
        target = target._replace(
            sending=target.sending._replace(fetch_from=plan.fetch_from),
            on_sign=partial(self._note_sign, job, plan, end, started),
        )
        try:
            return await attempt(job, target)
        finally:
            self._end_stream(job, end, started)

    async def _prefill(self, job: Job, prompt: Prompt, plan: EnginePlan, member: Member) -> Prefilled | None:
        job.notes.decision.update(decision_fields(plan, prompt, 'two-step'))
        job.prompt_sent = True
        end = self._begin(plan, prompt, member, plan.path.work_s)
        sending = Sending(member.runner.key, job.left_s, plan.rank, prefill_only=True, fetch_from=plan.fetch_from)
        target = Target(member, sending, patience_s(plan.path.first_s, engine=True))
        started = trio.current_time()
        try:
            found = await prefill(job.req, target, job.reply)
        finally:
            self._sends.end(end._replace(finished=True))
        if isinstance(found, Prefilled):
            self._learn(job, prompt, plan, member, trio.current_time() - started)
            return found
        events.log_event(
            events.PREFILL_FAILED,
            request=job.req.request_id,
            runner=member.runner.key,
            cause=found.cause,
        )
        if found.replaced:
            note_replaced(member)
        elif not found.silent or not member.health.heard_since(started):
            note_failure(member, found.cause)
        return None

    async def _decode(self, job: Job, prompt: Prompt, plan: EnginePlan, prefilled: Prefilled) -> AttemptResult:
        started = trio.current_time()
        end = self._begin(plan, prompt, plan.decode, 0)
        target = self._target(job, plan)
        target = target._replace(sending=target.sending._replace(kv_source=prefilled.source))
        became: AttemptResult | None = None
        try:
            became = await attempt(job, target)
        finally:
            self._end_stream(job, end, started)
            if not isinstance(became, Relayed):
                self._reclaimer.drop(prefilled)
        return became

    def _begin(self, plan: EnginePlan, prompt: Prompt, member: Member, work_s: float) -> End:
        tokens = prompt.tokens if member is plan.decode else 0
        load = NewLoad(member, work_s, tokens, late=plan.rank == LATE_RANK)
        return self._sends.begin(load, prompt.parts)

    def _end_stream(self, job: Job, end: End, started: float) -> None:
        self._sends.end(end._replace(finished=True))
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


__all__ = ('EngineRuns', 'EngineTools')
