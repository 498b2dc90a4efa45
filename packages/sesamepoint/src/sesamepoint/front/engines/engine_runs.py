"""Execution of engine plans: a whole run, or a remote prefill and then a decode."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import trio

from sesamepoint.front.requests.target import Target
from sesamepoint.front.requests.attempt_results import Rejected, Relayed, Unsent, Withheld
from sesamepoint.front.engines.decision_fields import decision_fields
from sesamepoint.front.engines.engine_sends import NewLoad
from sesamepoint.front.engine_model.engine_samples import EngineSamples, PrefillTimes
from sesamepoint.front.fair_share.request_work import prompt_work_s
from sesamepoint.front.engines.prefill import PrefillArrival, Prefilled, PrefillFailed, prefill
from sesamepoint.front.requests.retries import (
    may_retry,
    note_prefill_failure,
    note_withheld,
    run_attempt,
    silence_timeout_s,
    target_for,
)
from sesamepoint.front.retry_budget.retry_budgets import ServiceBudget
from sesamepoint.front.runners.runner_selection import LATE_RANK
from sesamepoint.front.runners.send_check import SendKind, SendPurpose
from sesamepoint.platform.headers import AttemptHeaders

if TYPE_CHECKING:
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration

    from sesamepoint.front.requests.attempt_results import AttemptResult
    from sesamepoint.front.dispatch_components import DispatchComponents
    from sesamepoint.front.engines.engine_plan import EnginePlan
    from sesamepoint.front.engines.engine_sends import SendEnd
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.requests.job import Job


# A remote prefill may take up to this share of the time until its caller leaves.
# Four times the expected time alone was too long: an engine that never answered
# kept callers of long prompts until they left, though a prefill can be repeated.
# It may always take this multiple of the expected time, since an aborted prefill is
# wasted work.
PREFILL_TIMEOUT_SHARE = 0.5
PREFILL_TIMEOUT_FACTOR = 2.0


class EngineRuns:
    """Sends requests that have a prompt to engines."""

    def __init__(self, components: DispatchComponents) -> None:
        """Use the given components to plan, queue and send requests."""
        self._selector = components.selector
        self._sends = components.sends
        self._reclaimer = components.reclaimer
        self._engine_queue = components.engine_queue
        self._limits = components.limits
        self._permit_queue = components.permit_queue
        self._samples = EngineSamples(components.selector)
        self._account_shares = components.account_shares

    async def attempt(
        self,
        job: Job,
        prompt: Prompt,
        cfg: Configuration,
        budget: ServiceBudget,
        *,
        paid: bool = False,
    ) -> AttemptResult | None:
        """Serve ``job`` on the placement of least cost.

        Parameters
        ----------
        paid
            Whether another remote prefill is paid, after one that failed.

        Returns
        -------
        AttemptResult | None
            The outcome; None if no engine can run it or it was refused.
        """
        plan = await self._admitted_plan(job, prompt, cfg)
        if plan is not None and plan.prefill is not None and not paid and budget.hold_prefill(job):
            self._limits.give_back(job)
            job.allow_remote_prefill = False
            return await self.attempt(job, prompt, cfg, budget)
        if plan is not None:
            self._account_shares.note_used(job, self._work_s(job, plan))
        if plan is None or plan.prefill is None:
            budget.settle_prefill(job, PrefillArrival.unsent)
            return await self._run_whole(job, prompt, plan)
        prefilled = await self._prefill(job, prompt, plan, plan.prefill)
        if isinstance(prefilled, PrefillFailed):
            budget.settle_prefill(job, prefilled.arrival)
            return await self._after_failed_prefill(job, prompt, cfg, budget)
        if isinstance(prefilled, Withheld):
            budget.settle_prefill(job, PrefillArrival.unsent)
            return prefilled
        budget.settle_prefill(job, PrefillArrival.accepted)
        outcome = await self._decode_prefilled(job, prompt, cfg, plan, prefilled)
        if not isinstance(outcome, Relayed):
            self._reclaimer.reclaim(prefilled)
        return outcome

    async def _decode_prefilled(
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
            decode = await self._decode_engine(job, prompt, cfg, plan)
            if decode is None:
                return Unsent('no eligible decode engine')
            outcome = await self._decode(job, prompt, plan._replace(decode=decode), prefilled)
            if not isinstance(outcome, Withheld) or not may_retry(job, outcome):
                return outcome
            self._limits.give_back(job)

    async def _after_failed_prefill(
        self,
        job: Job,
        prompt: Prompt,
        cfg: Configuration,
        budget: ServiceBudget,
    ) -> AttemptResult | None:
        """Retry after a failed remote prefill: another one if the retry budget allows it, else a whole run.

        Decode engines prefill at half the speed, between the answers of other
        requests. When prefill engines lost four answers in ten and all failed
        prefills were run whole at once, long prompts waited 2 to 4 s at decode
        engines, until their callers left.
        """
        paid = budget.cover(job, ahead=1)
        job.allow_remote_prefill = paid
        if job.ended_runners:
            # The quarantine decides whether the request may be sent again.
            return Unsent('the prefill engine ended')
        if not budget.cover(job):
            return Unsent('the retry budget is used up after a prefill that no engine accepted')
        return await self.attempt(job, prompt, cfg, budget, paid=paid)

    async def _admitted_plan(self, job: Job, prompt: Prompt, cfg: Configuration) -> EnginePlan | None:
        """Wait for a plan whose first engine admits the request, and reserve a permit; None if it is refused."""
        while True:
            plan = await self._wait_for_plan(job, prompt, cfg)
            if plan is None:
                if not await self._wait_for_permit(job):
                    return None
            elif self._limits.reserve_if_limited(plan.prefill or plan.decode, job):
                return plan

    async def _wait_for_permit(self, job: Job) -> bool:
        return not job.trace.refused and await self._permit_queue.wait(job)

    async def _decode_engine(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> Member | None:
        """Wait for an engine that admits the decode, and reserve a permit; None if there is none."""
        zone = plan.view.zone
        while True:
            eligible = self._selector.decode_engine(job, prompt, cfg, zone)
            if eligible is None and await self._permit_queue.wait(job):
                continue
            decode = eligible or plan.decode
            if decode.blocking_condition(SendPurpose(SendKind.remote_decode, job)):
                return None
            return decode if self._limits.reserve_if_limited(decode, job) else None

    async def _wait_for_plan(self, job: Job, prompt: Prompt, cfg: Configuration) -> EnginePlan | None:
        """Queue the request here until its engine is nearly free.

        An engine reserves memory for each prompt queued at it and evicts cached
        prefix blocks for that. A request queued here takes no engine memory and
        goes to whichever engine is free first.
        """
        plan = self._selector.plan(job, prompt, cfg)
        if plan is not None:
            self._account_shares.note_offered(job, self._work_s(job, plan))
        if plan is None or not self._engine_queue.must_queue(job, plan):
            return plan
        return await self._engine_queue.wait_for_plan(job, prompt, cfg, plan)

    def _work_s(self, job: Job, plan: EnginePlan) -> float:
        return prompt_work_s(plan, self._selector.slot_s(job.route.name))

    async def _run_whole(self, job: Job, prompt: Prompt, plan: EnginePlan | None) -> AttemptResult | None:
        if plan is None:
            if not job.trace.refused:
                job.set_no_runner_retry()
            return None
        job.trace.decision.update(decision_fields(plan, prompt, 'whole'))
        job.allow_remote_prefill = False
        end = await self._announce_send(plan, prompt, plan.decode, plan.placement.work_s)
        started = trio.current_time()
        target = self._target(job, plan)
        target = target._replace(
            sending=target.sending._replace(fetch_from=plan.fetch_from),
            on_first_output=partial(self._note_first_event, job, prompt, plan, end, started),
        )
        outcome: AttemptResult | None = None
        try:
            outcome = await run_attempt(job, target)
        finally:
            self._end_stream(job, end._replace(engine_failed=_answer_lost(job, outcome)), started, outcome)
        return outcome

    async def _prefill(
        self, job: Job, prompt: Prompt, plan: EnginePlan, member: Member
    ) -> Prefilled | Withheld | PrefillFailed:
        job.trace.decision.update(decision_fields(plan, prompt, 'two-step'))
        job.allow_remote_prefill = False
        job.note_sent_to(member.runner, member.incarnation)
        end = await self._announce_send(plan, prompt, member, plan.placement.work_s)
        sending = AttemptHeaders(
            member.runner.key, job.left_s, plan.rank, prefill_only=True, fetch_from=plan.fetch_from
        )
        silence_s = silence_timeout_s(plan.placement.first_s, engine=True, slowness=member.health.slowness)
        timeout_s = _prefill_timeout_s(silence_s, plan.placement.first_s, job.first_output_left_s)
        target = Target(member, sending, timeout_s, purpose=SendPurpose(SendKind.remote_prefill, job))
        started = trio.current_time()
        outcome: Prefilled | PrefillFailed | Withheld | None = None
        begun_at: float | None = None
        try:
            outcome = await prefill(job.req, target, job.reply)
        finally:
            begun_at = self._sends.prefill_begun_at(end)
            self._sends.end(end._replace(finished=True, engine_failed=_prefill_lost(outcome)))
        if isinstance(outcome, Prefilled):
            member.health.note_success(trio.current_time(), started)
            job.trace.prefill_s = trio.current_time() - started
            self._samples.observe_remote_prefill(plan, prompt, member, PrefillTimes(started, begun_at))
            return outcome
        if isinstance(outcome, Withheld):
            job.allow_remote_prefill = True
            note_withheld(job, target, outcome, started)
            return outcome
        note_prefill_failure(job, member, outcome, started)
        return outcome

    async def _decode(self, job: Job, prompt: Prompt, plan: EnginePlan, prefilled: Prefilled) -> AttemptResult:
        end = await self._announce_send(plan, prompt, plan.decode, 0)
        started = trio.current_time()
        target = self._target(job, plan)
        target = target._replace(
            sending=target.sending._replace(kv_source=prefilled.source),
            purpose=SendPurpose(SendKind.remote_decode, job),
        )
        outcome: AttemptResult | None = None
        try:
            outcome = await run_attempt(job, target)
        finally:
            self._end_stream(job, end._replace(engine_failed=_answer_lost(job, outcome)), started, outcome)
            if outcome is None:
                # The caller has left.
                self._reclaimer.reclaim(prefilled)
        return outcome

    async def _announce_send(self, plan: EnginePlan, prompt: Prompt, member: Member, work_s: float) -> SendEnd:
        """Record a send, and announce long work to peers before its body occupies the link."""
        tokens = prompt.tokens if member is plan.decode else 0
        load = NewLoad(member, work_s, tokens, past_deadline=plan.rank == LATE_RANK)
        end = self._sends.begin(load, prompt.parts)
        try:
            await self._sends.wait_announced(end)
        except BaseException:
            # The caller has left, and nothing is sent.
            self._sends.end(end._replace(finished=True))
            raise
        return end

    def _end_stream(self, job: Job, end: SendEnd, started: float, outcome: AttemptResult | None) -> None:
        self._sends.end(end._replace(finished=True))
        if isinstance(outcome, Withheld):
            return
        self._selector.observe_slot(job.route.name, trio.current_time() - started)

    def _target(self, job: Job, plan: EnginePlan) -> Target:
        target = target_for(job, plan.decode, plan.placement.first_s)
        return target._replace(
            sending=target.sending._replace(priority=plan.rank),
            on_pause=partial(self._note_pause, job, plan.decode),
        )

    def _note_first_event(self, job: Job, prompt: Prompt, plan: EnginePlan, end: SendEnd, started: float) -> None:
        times = PrefillTimes(started, self._sends.prefill_begun_at(end))
        self._sends.end(end)
        job.note_first_output()
        self._samples.observe_whole_run(plan, prompt, times)

    def _note_pause(self, job: Job, member: Member, pause_s: float) -> None:
        job.trace.longest_pause_s = max(job.trace.longest_pause_s, pause_s)
        self._selector.pause_meter(job.service).observe(pause_s)
        member.model.observe_pause(pause_s, trio.current_time())


def _prefill_timeout_s(silence_s: float, expected_s: float, left_s: float) -> float:
    """Return the timeout of a remote prefill that is expected to take ``expected_s``.

    Parameters
    ----------
    silence_s
        Silence timeout of the engine, in seconds.
    left_s
        Seconds until the caller stops waiting for the start of an answer.
    """
    return max(
        min(silence_s, PREFILL_TIMEOUT_SHARE * left_s),
        PREFILL_TIMEOUT_FACTOR * expected_s,
    )


def _answer_lost(job: Job, outcome: AttemptResult | None) -> bool | None:
    """Tell whether an engine lost the answer; None if it had no chance to give one."""
    if outcome is None:
        # Either the deadline passed before the answer began, or the caller left.
        return True if job.trace.first_output_at is None and job.first_output_left_s <= 0 else None
    if isinstance(outcome, Unsent | Rejected | Withheld):
        return None
    return not isinstance(outcome, Relayed)


def _prefill_lost(outcome: Prefilled | PrefillFailed | Withheld | None) -> bool | None:
    """Tell whether an engine failed a remote prefill; None if nothing reached it, or another incarnation answered."""
    if outcome is None or isinstance(outcome, Withheld):
        return None
    if isinstance(outcome, Prefilled):
        return False
    return None if outcome.replaced or outcome.local else True


__all__ = ('EngineRuns',)
