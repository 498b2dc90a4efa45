"""Dispatcher of requests: finds the route, runs the attempts and finishes the reply."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.accounts import Denied
from sesamepoint.front.accounts.account_admission import (
    admission_of,
    assign_account,
    log_denied,
    recheck_admission,
)
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.final_reply import UNAVAILABLE, finish_reply, reply_after_deadline
from sesamepoint.front.requests.request_end import log_request_end
from sesamepoint.front.requests.job import (
    MIN_FIRST_EVENT_WAIT_S,
    Job,
    JobAdmission,
    JobCallback,
    StreamFollower,
    bound_to,
)
from sesamepoint.front.telemetry.metrics import FrontMetrics
from sesamepoint.front.requests.retry_after import default_retry_after_s, max_hold_s
from sesamepoint.front.requests.attempt_results import Relayed
from sesamepoint.front.requests.retries import (
    ENGINE_SILENCE_TIMEOUT_FACTOR,
    SILENCE_TIMEOUT_FACTOR,
    may_retry,
    run_attempt,
    target_for,
)
from sesamepoint.front.requests.retry_detection import RetryDetector

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.routes import Configuration, Route

    from sesamepoint.front.requests.attempt_results import AttemptResult
    from sesamepoint.front.dispatch_components import DispatchComponents
    from sesamepoint.front.engines.engine_runs import EngineRuns
    from sesamepoint.front.retry_budget.retry_budgets import ServiceBudget
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.quarantine.quarantine import Quarantine
    from sesamepoint.front.requests.reply import Reply
    from sesamepoint.front.requests.request import FrontRequest

NOT_FOUND = 404


class Dispatcher:
    """Serves requests according to the configuration in force."""

    def __init__(
        self,
        components: DispatchComponents,
        engine_runs: EngineRuns,
        quarantine: Quarantine,
        rng: Random,
    ) -> None:
        """Start without a configuration."""
        self.metrics = FrontMetrics()
        self.configuration: Configuration | None = None
        self._configured = trio.Event()
        self._selector = components.selector
        self._runner_limits = components.limits
        self._permit_queue = components.permit_queue
        self._account_shares = components.account_shares
        self._plain_shares = components.plain_shares
        self._origin_runners = components.origin_runners
        self._engine_runs = engine_runs
        self.budgets = components.budgets
        self.metrics.counters += (components.budgets.decisions, components.budgets.arrivals, components.budgets.reads)
        self._quarantine = quarantine
        self._rng = rng
        self._usual_deadlines = RetryDetector()
        self._active: set[Job] = set()
        # Called when the first runner has begun to run a request.
        self.on_run_started: JobCallback | None = None
        # Refuses requests that this process would serve late.
        self.lag: JobAdmission | None = None
        # Finds the origins of streams that callers take up.
        self.take_ups: StreamFollower | None = None
        self._stop = components.planned_stop
        self._answer_sizes = components.answer_sizes

    def configure(self, cfg: Configuration) -> None:
        """Apply ``cfg`` to new requests, and check the accounts of those in progress again."""
        self.configuration = cfg
        self._account_shares.configure(cfg)
        route_names = frozenset(route.name for routes in cfg.routes.values() for route in routes)
        self._usual_deadlines.keep_only(route_names)
        self._plain_shares.keep_only(route_names)
        self._answer_sizes.keep_only(route_names)
        if self.take_ups is not None:
            self.take_ups.configure(cfg)
        self._configured.set()
        for job in tuple(self._active):
            recheck_admission(job, cfg)

    def begin_stop(self, answer_by: float) -> None:
        """Refuse what may not be answered by ``answer_by`` on trio's clock, and end what isn't."""
        self._stop.begin(answer_by, tuple(self._active))

    async def serve(self, req: FrontRequest, reply: Reply) -> None:
        """Answer ``req``; if the reply is left unfinished, the connection must be closed."""
        with trio.move_on_after(max_hold_s(req.deadline_s, MIN_FIRST_EVENT_WAIT_S)):
            await self._configured.wait()
        cfg = self.configuration
        if cfg is None:
            wait_s = default_retry_after_s(req.left_s(trio.current_time()))
            return await reply.refuse(UNAVAILABLE, 'no configuration yet', wait_s)
        route = cfg.find(req.host, req.path)
        if route is None:
            return await reply.refuse(NOT_FOUND, 'no such route')
        admission = admission_of(cfg, route, req)
        if isinstance(admission, Denied):
            self.metrics.count_denied(admission.fault)
            log_denied(req, route, admission.fault)
            return await reply.deny(admission.fault)
        caller_retry = self._usual_deadlines.is_retry(route.name, req.deadline_s, req.arrived_at)
        job = Job(req, route, self._pick_service(route), reply, caller_retry=caller_retry)
        assign_account(job, cfg, admission)
        job.access.on_run_started = bound_to(job, self.on_run_started)
        job.access.answer_sizes = self._answer_sizes
        if self.take_ups is not None:
            self.take_ups.follow(job)
        job.access.on_first_send = bound_to(job, self.lag.note_first_send if self.lag else None)
        self._active.add(job)
        try:
            if not await self._serve_until_deadline(job, cfg):
                await reply_after_deadline(job)
        finally:
            # Also runs if the caller has disconnected and this task is cancelled.
            self._note_end(job, cfg)

    def _note_end(self, job: Job, cfg: Configuration) -> None:
        self._active.discard(job)
        job.arrivals.close()
        if self.lag:
            self.lag.note_end(job)
        took_s = trio.current_time() - job.req.arrived_at
        if not job.trace.cause and (job.reply.unfinished or not job.reply.started):
            job.trace.cause = FailureCause.caller_left
        self.metrics.count_request_end(job, took_s)
        log_request_end(job, cfg, took_s)

    async def _serve_until_deadline(self, job: Job, cfg: Configuration) -> bool:
        job.access.scope.deadline = job.deadline
        with job.access.scope:
            await finish_reply(job, await self._attempt_until_done(job, cfg))
            return True
        return False

    async def _attempt_until_done(self, job: Job, cfg: Configuration) -> AttemptResult | None:
        """Attempt the request until it is served or no further attempt is allowed."""
        if (
            self._stop.refuses(job)
            or self._quarantine.refuses(job)
            or self._lag_refuses(job)
            or not await self._has_runners(job)
        ):
            return None
        budget = self.budgets.earn(job.service)
        job.arrivals.observer = budget
        job.access.may_move = lambda: self._may_move(job, budget)
        self._permit_queue.note_request(job.service)
        outcome = await self._attempt_once(job, cfg, budget)
        while outcome is not None and may_retry(job, outcome):
            if not budget.cover(job):
                return outcome
            next_outcome = await self._attempt_once(job, cfg, budget)
            if next_outcome is None:
                return outcome
            outcome = next_outcome
        return outcome

    def _may_move(self, job: Job, budget: ServiceBudget) -> bool:
        """Tell whether a request whose runner is silent goes to another one, and pay for that."""
        # Where plain runners take so long, another one would hardly answer in less. What engines take is estimated.
        silent_s = trio.current_time() - job.trace.sent_at
        needed_s = silent_s if job.req.prompt is None else silent_s / ENGINE_SILENCE_TIMEOUT_FACTOR
        if job.first_output_left_s < needed_s:
            return False
        return self._selector.eligible.has_untried(job) and budget.cover(job)

    async def _has_runners(self, job: Job) -> bool:
        """Wait for the first runner of the service, and find the origin of a stream that the caller takes up.

        Return False if the request must be refused.
        """
        with trio.move_on_after(max_hold_s(job.caller_left_s, job.first_output_left_s)):
            if not await self._selector.wait_for_any(job.service):
                job.trace.unsent_cause = FailureCause.draining
                job.set_no_runner_retry()
                return False
        return self.take_ups is None or await self.take_ups.resolve(job)

    async def _attempt_once(self, job: Job, cfg: Configuration, budget: ServiceBudget) -> AttemptResult | None:
        if not await self._quarantine.admit(job, self._selector.probe_runner):
            return None
        outcome: AttemptResult | None = None
        end_before = job.trace.body_end
        try:
            with self._quarantine.part_suspects.active.track(job):
                outcome = await self._choose_and_send(job, cfg, budget)
        finally:
            self._quarantine.record_attempt(job, outcome)
            self._runner_limits.give_back(job)
        if job.trace.body_end is not None and job.trace.body_end is not end_before:
            self.metrics.count_body(job.service, job.trace.body_end)
        if outcome is not None and not isinstance(outcome, Relayed):
            self.metrics.count_broken_send(job.service, outcome.tag)
        return outcome

    async def _choose_and_send(self, job: Job, cfg: Configuration, budget: ServiceBudget) -> AttemptResult | None:
        if job.access.denial or not await self._origin_runners.wait_for_runner(job):
            return None
        if job.req.prompt is not None:
            return await self._engine_runs.attempt(job, job.req.prompt, cfg, budget)
        self._plain_shares.note_offered(job)
        if self._plain_shares.refuses(job, self._selector.plain_runners):
            return None
        member = await self._choose_plain_runner(job)
        if member is None:
            if not job.trace.refused:
                job.set_no_runner_retry()
            return None
        self._plain_shares.note_sent(job)
        outcome = await run_attempt(job, target_for(job, member, job.route.target_s / SILENCE_TIMEOUT_FACTOR))
        if isinstance(outcome, Relayed):
            self._plain_shares.note_answered(job)
        return outcome

    async def _choose_plain_runner(self, job: Job) -> Member | None:
        """Wait for a runner of a plain service that may get the request now; None if there is none in time."""
        while True:
            member = self._selector.plain_runner(job)
            if member is not None and self._runner_limits.reserve_if_limited(member, job):
                return member
            if member is None and not await self._permit_queue.wait(job):
                return None

    def _lag_refuses(self, job: Job) -> bool:
        return self.lag is not None and self.lag.refuses(job)

    def _pick_service(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service


__all__ = ('Dispatcher',)
