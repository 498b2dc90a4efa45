"""Dispatcher of requests: finds the route, runs the attempts and finishes the reply."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.admit.window_budget import WindowBudget
from sesamepoint_core.serving.accounts import Denied
from sesamepoint.front.admission import admission_of, admit_again, attribute, deny, log_denied
from sesamepoint.front.cause import Cause
from sesamepoint.front.conclusion import cause_of, log_end
from sesamepoint.front.job import MIN_STREAM_PATIENCE_S, SOON_S, Job, OnRun
from sesamepoint.front.metrics import FrontMetrics
from sesamepoint.front.return_time import hold_s, when_unknown_s
from sesamepoint.front.results import Relayed, RunFailed, Withheld
from sesamepoint.front.tries import PATIENCE_FACTOR, attempt, may_go_on, target_for
from sesamepoint.front.usual_deadlines import UsualDeadlines
from sesamepoint.platform.headers import returned, signed

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.routes import Configuration, Route

    from sesamepoint.front.engine_runs import EngineRuns
    from sesamepoint.front.engine_tools import EngineTools
    from sesamepoint.front.member import Member
    from sesamepoint.front.quarantine import Quarantine
    from sesamepoint.front.reply import Reply
    from sesamepoint.front.request import FrontRequest
    from sesamepoint.front.results import AttemptResult

NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Share of the retry budget that is used. The rest is a margin, because those who
# check the budget count arrivals over windows with other bounds.
BUDGET_SHARE = 0.8


class Budgets:
    """Retry budgets, one for each service; each is a share of the budget of all instances."""

    def __init__(self, ratio: float, window_s: float) -> None:
        """Allow ``ratio`` of the requests of each window; the reserve is 0 until the number of instances is known."""
        self._ratio = BUDGET_SHARE * ratio
        self._reserve: float = 0
        self._window_s = window_s
        self._of_service: dict[str, WindowBudget] = {}

    def earn(self, service: str) -> WindowBudget:
        """Count a request for its service and return the budget of the service."""
        budget = self._of_service.get(service)
        if budget is None:
            budget = WindowBudget(self._ratio, self._reserve, self._window_s, trio.current_time)
            self._of_service[service] = budget
        budget.earn()
        return budget

    def share(self, entries: int, reserve: float) -> None:
        """Split ``reserve`` evenly between all instances."""
        self._reserve = BUDGET_SHARE * reserve / max(entries, 1)
        for budget in self._of_service.values():
            budget.resize(self._reserve)


class Dispatcher:
    """Serves requests according to the configuration in force."""

    def __init__(
        self, tools: EngineTools, engine_runs: EngineRuns, quarantine: Quarantine, budgets: Budgets, rng: Random
    ) -> None:
        """Start without a configuration."""
        self.metrics = FrontMetrics()
        self.configuration: Configuration | None = None
        self._configured = trio.Event()
        self._chooser = tools.chooser
        self._limits = tools.limits
        self._places = tools.places
        self._engine_runs = engine_runs
        self._budgets = budgets
        self._quarantine = quarantine
        self._rng = rng
        self._usual = UsualDeadlines()
        self._under_way: set[Job] = set()
        # Called when the first runner has begun to run a request.
        self.on_run: OnRun | None = None

    def configure(self, cfg: Configuration) -> None:
        """Apply ``cfg`` to new requests, and check the accounts of those in progress again."""
        self.configuration = cfg
        self._usual.forget_but(frozenset(route.name for routes in cfg.routes.values() for route in routes))
        self._configured.set()
        for job in tuple(self._under_way):
            admit_again(job, cfg)

    async def serve(self, req: FrontRequest, reply: Reply) -> None:
        """Answer ``req``; if the reply is left unfinished, the connection must be closed."""
        with trio.move_on_after(hold_s(req.deadline_s, MIN_STREAM_PATIENCE_S)):
            await self._configured.wait()
        cfg = self.configuration
        if cfg is None:
            wait_s = when_unknown_s(req.left_s(trio.current_time()))
            return await reply.refuse(UNAVAILABLE, 'no configuration yet', wait_s)
        route = cfg.find(req.host, req.path)
        if route is None:
            return await reply.refuse(NOT_FOUND, 'no such route')
        admission = admission_of(cfg, route, req)
        if isinstance(admission, Denied):
            self.metrics.count_denied(admission.fault)
            log_denied(req, route, admission.fault)
            return await reply.deny(admission.fault)
        caller_retry = self._usual.returned(route.name, req.deadline_s, req.arrived)
        job = Job(req, route, self._pick_service(route), reply, returned=caller_retry)
        attribute(job, cfg, admission)
        job.standing.on_run = self.on_run
        self._under_way.add(job)
        try:
            if not await self._serve_in_time(job, cfg):
                await self._give_up(job)
        finally:
            # Also runs if the caller has disconnected and this task is cancelled.
            self._note_end(job, cfg)

    def _note_end(self, job: Job, cfg: Configuration) -> None:
        self._under_way.discard(job)
        took_s = trio.current_time() - job.req.arrived
        if not job.notes.cause and (job.reply.unfinished or not job.reply.begun):
            job.notes.cause = Cause.caller_left
        self.metrics.observe(job, took_s)
        log_end(job, cfg, took_s)

    async def _serve_in_time(self, job: Job, cfg: Configuration) -> bool:
        job.standing.scope.deadline = job.deadline
        with job.standing.scope:
            await self._conclude(job, await self._serve(job, cfg))
            return True
        return False

    async def _give_up(self, job: Job) -> None:
        if job.reply.begun:
            job.notes.cause = Cause.answer_too_long
        elif job.maybe_run:
            job.notes.cause = Cause.no_answer_in_time
            await job.reply.refuse(GATEWAY_TIMEOUT, 'no answer in time; it may have run')
        elif job.standing.denied:
            await deny(job)
        else:
            job.notes.cause = Cause.not_run_in_time
            await job.reply.refuse(UNAVAILABLE, 'no runner took it in time; it has not run', SOON_S)

    async def _serve(self, job: Job, cfg: Configuration) -> AttemptResult | None:
        """Attempt the request until it is served or no further attempt is allowed."""
        if self._quarantine.refuses(job):
            return None
        with trio.move_on_after(hold_s(job.caller_left_s, job.first_left_s)):
            if not await self._chooser.until_any(job.service):
                job.notes.held_back = Cause.leaving
                job.note_no_runner()
                return None
        budget = self._budgets.earn(job.service)
        self._places.note_request(job.service)
        outcome = await self._try(job, cfg, budget)
        while outcome is not None and may_go_on(job, outcome):
            if job.sends and not isinstance(outcome, Withheld) and not budget.spend():
                return outcome
            next_outcome = await self._try(job, cfg, budget)
            if next_outcome is None:
                return outcome
            outcome = next_outcome
        return outcome

    async def _try(self, job: Job, cfg: Configuration, budget: WindowBudget) -> AttemptResult | None:
        if not await self._quarantine.admit(job, self._chooser.for_trial):
            return None
        outcome: AttemptResult | None = None
        try:
            outcome = await self._send(job, cfg, budget)
        finally:
            self._quarantine.learn(job, outcome)
            self._limits.give_back(job)
        if outcome is not None and not isinstance(outcome, Relayed):
            self.metrics.note_broken(job.service, outcome.tag)
        return outcome

    async def _send(self, job: Job, cfg: Configuration, budget: WindowBudget) -> AttemptResult | None:
        if job.standing.denied:
            return None
        if job.req.prompt is not None:
            return await self._engine_runs.attempt(job, job.req.prompt, cfg, budget)
        member = await self._plain(job)
        if member is None:
            if not job.notes.refused:
                job.note_no_runner()
            return None
        return await attempt(job, target_for(job, member, job.route.target_s / PATIENCE_FACTOR))

    async def _plain(self, job: Job) -> Member | None:
        """Wait for a runner of a plain service that may get the request now; None if there is none in time."""
        while True:
            member = self._chooser.plain(job)
            if member is not None and self._limits.set_aside(member, job):
                return member
            if member is None and not await self._places.wait(job):
                return None

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    async def _conclude(self, job: Job, found: AttemptResult | None) -> None:
        job.notes.cause = cause_of(job, found)
        if job.reply.begun:
            return
        if isinstance(found, RunFailed) and signed(found.head):
            await job.reply.whole(found.head.status, returned(found.head), found.body)
        elif job.maybe_run:
            await job.reply.refuse(BAD_GATEWAY, 'its runner broke off; it may have run')
        elif job.standing.denied:
            await deny(job)
        elif job.notes.held_back is Cause.quarantined:
            await job.reply.refuse(UNAVAILABLE, 'its runners end under it; it has not run', job.retry_after_s)
        else:
            await job.reply.refuse(UNAVAILABLE, 'no runner can take it now; it has not run', job.retry_after_s)


__all__ = ('Budgets', 'Dispatcher')
