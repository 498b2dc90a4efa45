"""Server of callers' requests: choice of a runner, attempts and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.admit.retry_budget import RetryBudget
from sesamepoint_core.answer.outcome import Answered, Failed, NotRun, Outcome, Unknown
from sesamepoint_core.plan.demand import Demand
from sesamepoint_core.policy import POLICIES
from sesamepoint_core.route.candidate import RequestSpec
from sesamepoint import events
from sesamepoint.control.decisions import Decision, DecisionHistory
from sesamepoint.control.notifier import Notifier
from sesamepoint.entry.admission import Admission
from sesamepoint.entry.attempt import RunnerAttempt
from sesamepoint.entry.keyed_requests import KeyedRequests
from sesamepoint.keys.key_client import KeyClient
from sesamepoint.link.messages import DEADLINE_PASSED, NEVER_ARRIVED, AttemptOutcome
from sesamepoint.unique_ids import new_id

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from sesamepoint_core.route.candidate import Choice
    from sesamepoint.control.follower import Follower
    from sesamepoint.entry.attempt import AttemptResult
    from sesamepoint.entry.fleets import Fleets
    from sesamepoint.entry.request import CallerRequest

RETRY_AFTER_S = 1.0
MIN_RETRY_AFTER_S = 0.1


class RequestServer:
    """Serves callers' requests with the runners of the fleets.

    Parameters
    ----------
    zone
        Availability zone of this instance.
    follower
        Follower of the control log.
    fleets
        The runners.
    rng
        Source of random numbers for sampling runners and for attempt names.
    policy
        Registered name of the policy, for routing and planning.
    """

    def __init__(self, zone: str, follower: Follower, fleets: Fleets, rng: Random, policy: str = 'default') -> None:
        """Start without requests."""
        self.fleets = fleets
        self.follower = follower
        self.decisions = DecisionHistory()
        self.policy = policy
        self.draining = False
        self.in_flight = 0
        self._request_ended = Notifier()
        self._zone = zone
        self._rng = rng
        self.keyed = KeyedRequests(KeyClient(fleets), self._run_attempts, rng, self._request_ended)
        self._policy = POLICIES.get(policy)
        self._budget = RetryBudget()
        self._admission = Admission(follower, fleets)

    async def serve(self, req: CallerRequest, emit: Callable[[bytes], Awaitable[None]]) -> Outcome:
        """Serve ``req``; chunks of the answer go to ``emit``, in order, once.

        Returns
        -------
        Outcome
            The outcome; ``NotRun`` only if no upstream ever received the request.
        """
        self.in_flight += 1
        self._count_demand(req)
        try:
            outcome = await self._serve(req, emit)
        finally:
            self.in_flight -= 1
            self._request_ended.notify_all()
        events.log_event(events.REQUEST_ENDED, fleet=req.fleet, outcome=outcome.tag)
        return outcome

    async def stop(self) -> None:
        """Reject new requests and wait until all requests in flight have ended.

        This includes keyed requests whose callers have disconnected, since
        they may retry to fetch the answer.
        """
        self.draining = True
        while self.in_flight or self.keyed.running_count:
            await self._request_ended.wait()

    async def _serve(self, req: CallerRequest, emit: Callable[[bytes], Awaitable[None]]) -> Outcome:
        if self.draining:
            return NotRun('leaving', 'send it again, to another entry', MIN_RETRY_AFTER_S)
        refusal = self._admission.check_account_rate(req)
        if refusal is not None:
            self._record_refusal(req, refusal.code, 0, ())
            return refusal
        if req.key:
            return await self.keyed.serve(req, emit)
        return await self._run_attempts(req, emit)

    def _count_demand(self, req: CallerRequest) -> None:
        prompt_tokens = req.job.prompt_tokens
        if self.fleets.has_cached_prefix(req.fleet, req.job.prefix):
            prompt_tokens -= req.job.prefix_tokens
        demand = Demand(1, prompt_tokens, req.job.output_tokens, req.timeout_s)
        self.fleets.count_demand(req.fleet, demand, urgent=req.job.urgent)

    async def _run_attempts(self, req: CallerRequest, emit: Callable[[bytes], Awaitable[None]]) -> Outcome:
        self._budget.earn(self.follower.active_configuration.preset['retry_share'])
        deadline = trio.current_time() + req.timeout_s
        excluded: list[str] = []
        earlier_outcome: Outcome | None = None
        while True:
            choice = self._choose_runner(req, deadline, excluded)
            if isinstance(choice, NotRun):
                return earlier_outcome or choice
            chunks: list[bytes] = []
            ended = await self._run_attempt(choice, req, deadline, emit if req.streamed else _collector(chunks))
            if not self._may_retry(req, ended):
                return await self._finish_request(ended, chunks, emit, earlier_outcome)
            if ended.outcome is not AttemptOutcome.not_started:
                # The request may have run. If a later attempt is not started,
                # the outcome must still not be "not run": that would release
                # the caller's key.
                earlier_outcome = _to_outcome(ended)
            excluded.extend(_runners_to_exclude(choice, ended))

    async def _run_attempt(
        self,
        choice: Choice,
        req: CallerRequest,
        deadline: float,
        emit: Callable[[bytes], Awaitable[None]],
    ) -> AttemptResult:
        view = self.fleets.views[choice.runner]
        started = trio.current_time()
        ended = await RunnerAttempt(new_id(self._rng), view, req, emit).run(deadline)
        if ended.outcome is AttemptOutcome.answered or ended.code == DEADLINE_PASSED:
            took_s = trio.current_time() - started
            view.observe_time(choice.estimate.finish_s, took_s, urgent=req.job.urgent)
            self._admission.observe(req, late=ended.outcome is not AttemptOutcome.answered)
        return ended

    def _choose_runner(self, req: CallerRequest, deadline: float, excluded: list[str]) -> Choice | NotRun:
        job = req.job
        remaining_s = deadline - trio.current_time()
        need = RequestSpec(job.prompt_tokens, job.output_tokens, remaining_s, job.urgent, job.prefix, job.prefix_tokens)
        candidates = self.fleets.candidates(req.fleet, self._zone, excluded, urgent=req.job.urgent)
        if not candidates:
            self._record_refusal(req, 'no_runner', 0, ())
            return NotRun('no_runner', 'send it again later', RETRY_AFTER_S)
        choice = self._policy.choose(candidates, need, self._rng)
        late_s = choice.estimate.finish_s - need.timeout_s * self._admission.deadline_share(req)
        if late_s > 0 and not self._policy.admits_late:
            # The request would miss its deadline and delay others past theirs.
            self._record_refusal(req, 'deadline_unreachable', choice.estimate.finish_s, choice.alternatives)
            return NotRun(
                'deadline_unreachable', 'send it again later, or with more time', max(late_s, MIN_RETRY_AFTER_S)
            )
        return choice

    def _record_refusal(
        self,
        req: CallerRequest,
        code: str,
        finish_s: float,
        alternatives: tuple[tuple[str, float], ...],
    ) -> None:
        inputs = {'finish_s': finish_s, 'timeout_s': req.timeout_s, 'prompt_tokens': float(req.job.prompt_tokens)}
        subject = f'{req.fleet} {"main" if req.job.urgent else "small"}'
        version = self.follower.state.version
        self.decisions.add(Decision(0, 'refusal', subject, code, inputs, alternatives, version, fence=-1))

    def _may_retry(self, req: CallerRequest, ended: AttemptResult) -> bool:
        if ended.outcome in {AttemptOutcome.answered, AttemptOutcome.cancelled} or ended.code == DEADLINE_PASSED:
            return False
        if ended.released_chunks and req.streamed:
            return False
        not_started = ended.outcome is AttemptOutcome.not_started
        return (not_started or req.repeatable) and self._budget.spend()

    async def _finish_request(
        self,
        ended: AttemptResult,
        chunks: list[bytes],
        emit: Callable[[bytes], Awaitable[None]],
        earlier_outcome: Outcome | None,
    ) -> Outcome:
        outcome = _to_outcome(ended)
        if isinstance(outcome, Answered):
            for chunk in chunks:
                await emit(chunk)
        return earlier_outcome if earlier_outcome is not None and isinstance(outcome, NotRun) else outcome


def _runners_to_exclude(choice: Choice, ended: AttemptResult) -> tuple[str, ...]:
    """Return the runners to exclude from further attempts.

    A runner that the attempt never reached, because the connection was dead,
    may be tried again.
    """
    return () if ended.code == NEVER_ARRIVED else (choice.runner,)


def _to_outcome(ended: AttemptResult) -> Outcome:
    if ended.outcome is AttemptOutcome.answered:
        return Answered(ended.released_chunks, late=False)
    if ended.outcome is AttemptOutcome.not_started:
        return NotRun(ended.code, 'send it again later', RETRY_AFTER_S)
    if ended.outcome is AttemptOutcome.unknown:
        return Unknown(ended.code, 'look whether it took effect before sending it again')
    return Failed(ended.code, 'send it again, with more time if the deadline passed')


def _collector(chunks: list[bytes]) -> Callable[[bytes], Awaitable[None]]:
    async def keep(chunk: bytes) -> None:  # noqa: WPS430
        chunks.append(chunk)

    return keep


__all__ = ('RequestServer',)
