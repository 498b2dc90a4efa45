"""From a caller's request to its answer: route, attempts, conclusion."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.admit.budget import RetryBudget
from sesamepoint_core.serving.routes import Repeat
from sesamepoint import events
from sesamepoint.front.attempt import Attempt, Target
from sesamepoint.front.job import Job
from sesamepoint.front.prefill import Prefilled, prefill
from sesamepoint.front.results import Broken, Rejected, Relayed, RunFailed, Unsent
from sesamepoint.platform.headers import Sending, returned, signed

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.routes import Configuration, Route
    from sesamepoint.front.choice import Chooser, EnginePlan
    from sesamepoint.front.fleet import Fleet
    from sesamepoint.front.member import Member
    from sesamepoint.front.prefill import HandleReclaimer
    from sesamepoint.front.reply import Reply
    from sesamepoint.front.request import FrontRequest
    from sesamepoint.front.results import AttemptResult
    from sesamepoint.front.sends import SendNotes

NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
# When callers may come back, in seconds: after a moment of bad luck, and
# when nothing is known yet.
SOON_S = 0.1
STARTING_S = 0.5
# How long a runner may stay silent before work that may be repeated goes
# elsewhere: this many times what was expected, and at least this long.
PATIENCE_FACTOR = 3.0
MIN_PATIENCE_S = 0.4


class Tools(NamedTuple):
    """What the dispatcher works with."""

    fleet: Fleet
    chooser: Chooser
    sends: SendNotes
    reclaimer: HandleReclaimer
    rng: Random


class Budgets:
    """One retry budget a service, a share of what all entries may spend."""

    def __init__(self, ratio: float, reserve: float) -> None:
        """Allow ``ratio`` of requests, and ``reserve`` at once."""
        self._ratio = ratio
        self._reserve = reserve
        self._of_service: dict[str, RetryBudget] = {}

    def earn(self, service: str) -> RetryBudget:
        """Count a request and return the budget of its service."""
        budget = self._of_service.get(service)
        if budget is None:
            budget = RetryBudget(self._reserve)
            self._of_service[service] = budget
        budget.earn(self._ratio)
        return budget

    def share(self, entries: int, reserve: float) -> None:
        """Split ``reserve`` between ``entries``."""
        self._reserve = reserve / max(entries, 1)
        for budget in self._of_service.values():
            budget.resize(self._reserve)


class Dispatcher:
    """Serves requests by the configuration in force."""

    def __init__(self, tools: Tools, budgets: Budgets) -> None:
        """Start without a configuration."""
        self.configuration: Configuration | None = None
        self._tools = tools
        self._budgets = budgets

    async def serve(self, req: FrontRequest, reply: Reply) -> None:
        """Answer ``req``; an answer that stays unfinished must be cut off."""
        cfg = self.configuration
        if cfg is None:
            return await reply.refuse(UNAVAILABLE, 'no configuration yet', STARTING_S)
        route = cfg.find(req.host, req.path)
        if route is None:
            return await reply.refuse(NOT_FOUND, 'no such route')
        job = Job(req, route, self._pick_service(route), reply)
        if not await self._serve_in_time(job, cfg):
            await self._time_out(job)
        return _log_end(job)

    async def _serve_in_time(self, job: Job, cfg: Configuration) -> bool:
        with trio.move_on_at(job.deadline):
            await self._conclude(job, await self._serve(job, cfg))
            return True
        return False

    async def _time_out(self, job: Job) -> None:
        if job.reply.begun:
            return
        if job.maybe_run:
            await job.reply.refuse(GATEWAY_TIMEOUT, 'no answer in time; it may have run')
        else:
            await job.reply.refuse(UNAVAILABLE, 'no runner took it in time; it has not run', SOON_S)

    async def _serve(self, job: Job, cfg: Configuration) -> AttemptResult | None:
        """Try runners until one serves the request or no other may."""
        budget = self._budgets.earn(job.service)
        newest = await self._try(job, cfg, budget)
        while newest is not None and _may_go_on(job, newest):
            if job.sends and not budget.spend():
                return newest
            following = await self._try(job, cfg, budget)
            if following is None:
                return newest
            newest = following
        return newest

    async def _try(self, job: Job, cfg: Configuration, budget: RetryBudget) -> AttemptResult | None:
        if job.req.prompt is None:
            member = self._tools.chooser.plain(job)
            if member is None:
                return None
            return await self._attempt(job, member, expected_s=job.route.target_s / PATIENCE_FACTOR)
        plan = self._tools.chooser.engine(job, cfg)
        if plan is None:
            return None
        return await self._try_engine(job, cfg, plan, budget)

    async def _try_engine(
        self,
        job: Job,
        cfg: Configuration,
        plan: EnginePlan,
        budget: RetryBudget,
    ) -> AttemptResult | None:
        if plan.prefill is None:
            return await self._run_whole(job, plan)
        prefilled = await self._prefill(job, plan, plan.prefill)
        if prefilled is None:
            budget.charge()
            plan_whole = self._tools.chooser.engine(job, cfg, whole=True)
            return await self._run_whole(job, plan_whole) if plan_whole else None
        return await self._decode(job, plan, prefilled)

    async def _run_whole(self, job: Job, plan: EnginePlan) -> AttemptResult:
        job.path = 'whole'
        self._note(job, plan, plan.decode)
        return await self._attempt(job, plan.decode, expected_s=plan.path.first_s)

    async def _prefill(self, job: Job, plan: EnginePlan, member: Member) -> Prefilled | None:
        job.path = 'two-step'
        self._note(job, plan, member)
        patience_s = max(MIN_PATIENCE_S, PATIENCE_FACTOR * plan.path.first_s)
        sending = Sending(member.runner.key, job.left_s, job.route.priority, prefill_only=True)
        started = trio.current_time()
        found = await prefill(job.req, Target(member, sending, patience_s))
        took_s = trio.current_time() - started
        if isinstance(found, Prefilled):
            member.health.good()
            self._learn(job, plan, member, took_s)
            return found
        self._note_bad(member, found)
        return None

    async def _decode(self, job: Job, plan: EnginePlan, prefilled: Prefilled) -> AttemptResult:
        prompt = job.req.prompt
        if prompt:
            self._tools.sends.read(plan.decode, prompt.parts, 0)
        became: AttemptResult | None = None
        try:
            became = await self._attempt(job, plan.decode, expected_s=plan.path.first_s, source=prefilled.source)
        finally:
            if not isinstance(became, Relayed):
                self._tools.reclaimer.drop(prefilled)
        return became

    async def _attempt(
        self,
        job: Job,
        member: Member,
        *,
        expected_s: float,
        source: str = '',
    ) -> AttemptResult:
        job.tried.add(member.runner.key)
        patience_s = max(MIN_PATIENCE_S, PATIENCE_FACTOR * expected_s)
        if not _repeatable(job) or job.sends + 1 >= job.route.max_attempts:
            patience_s = job.left_s
        sending = Sending(
            member.runner.key,
            job.left_s,
            job.route.priority,
            kv_source=source,
            resume_after=job.reply.events.last_id if job.reply.begun else '',
        )
        attempt = Attempt(job.req, Target(member, sending, patience_s), job.reply, streamed=job.route.streamed)
        job.sends += 1
        job.maybe_run = True
        became = await attempt.run()
        self._judge(job, member, became)
        return became

    def _judge(self, job: Job, member: Member, became: AttemptResult) -> None:
        """Draw conclusions on the runner, and on whether the request ran."""
        if isinstance(became, Relayed):
            return member.health.good()
        if isinstance(became, Unsent):
            job.sends -= 1
        if isinstance(became, Unsent | Rejected):
            job.maybe_run = False
        return self._note_bad(member, str(became))

    def _note_bad(self, member: Member, cause: str) -> None:
        if member.health.bad(trio.current_time()):
            events.log_event(events.RUNNER_EJECTED, runner=member.runner.key, cause=cause)

    def _note(self, job: Job, plan: EnginePlan, member: Member) -> None:
        prompt = job.req.prompt
        if prompt:
            self._tools.sends.read(member, prompt.parts, plan.path.work_s)

    def _learn(self, job: Job, plan: EnginePlan, member: Member, took_s: float) -> None:
        if plan.wait_s == 0:
            self._tools.chooser.meter(job.service).observe(plan.fresh_tokens, took_s)

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._tools.rng.choices(route.shares, weights)[0].service

    async def _conclude(self, job: Job, found: AttemptResult | None) -> None:
        if job.reply.begun:
            return
        if isinstance(found, RunFailed) and signed(found.head):
            await job.reply.whole(found.head.status, returned(found.head), found.body)
        elif job.maybe_run:
            await job.reply.refuse(BAD_GATEWAY, 'its runner broke off; it may have run')
        else:
            await job.reply.refuse(UNAVAILABLE, 'no runner took it; it has not run', SOON_S)


def _repeatable(job: Job) -> bool:
    return job.route.repeat is not Repeat.never


def _may_go_on(job: Job, found: AttemptResult) -> bool:
    if isinstance(found, Relayed) or job.sends >= job.route.max_attempts:
        return False
    if isinstance(found, Unsent | Rejected):
        return True
    if job.reply.begun:
        return job.route.repeat is Repeat.resume and isinstance(found, Broken)
    return _repeatable(job)


def _log_end(job: Job) -> None:
    events.log_event(
        events.ANSWER_ENDED,
        request=job.req.request_id,
        route=job.route.name,
        status=job.reply.status,
        unfinished=job.reply.unfinished,
        sends=job.sends,
        path=job.path,
        runners=sorted(job.tried),
        took_ms=int((trio.current_time() - job.req.arrived) * 1000),
    )


__all__ = ('Budgets', 'Dispatcher', 'Tools')
