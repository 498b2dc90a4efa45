"""Eligibility of runners for a request, by health, back-off and rate limits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.fleet_health.half_open import TrialRequest
from sesamepoint_core.fleet_health.kept_runners import RunnerLoad, kept_runners
from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.runner_limits import RunnerLimits

# At least this share of the engines of a service stays in use, however many fail, as long as
# they answer some requests. Each of many engines loses some answers at times, and their load,
# unlike that of plain runners, is not known from the number of requests in flight.
MIN_ENGINE_SHARE = 0.7


class EligibleRunners:
    """Finds the runners that a request may be sent to."""

    def __init__(self, subset: EngineSubset, limits: RunnerLimits) -> None:
        """Use the runners of an instance's subset, with their rate ``limits``."""
        self._subset = subset
        self._limits = limits
        # Tells whether a request may be sent to an ejected runner as a trial.
        self.may_try: Callable[[Member, Job], bool] = _may_try_alone
        # Called with each request for which a runner is chosen.
        self.on_request: Callable[[Job], None] | None = None

    def not_admitting(self, job: Job) -> frozenset[Incarnation]:
        """Return the runners that could run ``job`` but don't admit it now, by limit or back-off."""
        candidates = (*self.healthy(job), *self._backing_off(job))
        return frozenset(one.incarnation for one in candidates if _can_decode(one) and not self.admits(one, job))

    def admitting(self, job: Job) -> list[Member]:
        """Return the runners that could run ``job`` and admit it now."""
        return [member for member in self.healthy(job) if _can_decode(member) and self.admits(member, job)]

    def has_untried(self, job: Job) -> bool:
        """Tell whether a healthy runner to which ``job`` was not sent admits it now; nothing is counted or reserved."""
        now = trio.current_time()
        candidates = (one for one in self._untried(job) if _can_decode(one) and one.health.eligible(now))
        return any(not one.backing_off and self.admits(one, job) for one in candidates)

    def admits(self, member: Member, job: Job) -> bool:
        """Tell whether ``member`` admits ``job`` now, by its back-off and its rate limit."""
        return member.accepts_more and self._limits.admits(member, job)

    def for_job(self, job: Job) -> list[Member]:
        """Return the runners that ``job`` may be sent to now, prefill engines included."""
        healthy = self.healthy(job)
        admitted = [member for member in healthy if self.admits(member, job)]
        note_passed_over(job, healthy, admitted)
        return admitted

    def permit_wait_s(self, member: Member, job: Job) -> float:
        """Return the seconds until ``member`` has a permit for ``job``; infinite if its back-off forbids more."""
        return self._limits.permit_wait_s(member, job) if member.accepts_more else math.inf

    def healthy(self, job: Job) -> list[Member]:
        """Return the healthy runners for ``job``, whatever their rate limits.

        Runners in back-off are excluded. Ejected ones are included if the request
        may be a trial for them, or if the others can't carry the load.
        """
        if self.on_request is not None:
            self.on_request(job)
        now = trio.current_time()
        untried = self._untried(job)
        available = [member for member in untried if not member.backing_off]
        # A runner that turns one instance away mostly turns all away. If each instance found that out with
        # a request of its own, 31 requests would be lost in each back-off.
        preferred = [member for member in available if not member.backing_off_peer] or available
        note_passed_over(job, untried, preferred)
        healthy = [member for member in preferred if member.health.eligible(now)]
        failing = [member for member in preferred if member not in healthy]
        if not failing:
            return healthy
        kept = (
            _kept_plain(healthy, failing)
            if failing[0].runner.stage is Stage.plain
            else _kept_engines(preferred, healthy)
        )
        trials = [member for member in failing if member not in kept and self.may_try(member, job)]
        return [*healthy, *kept, *trials]

    def _untried(self, job: Job) -> list[Member]:
        origin = job.stream.origin
        members = self._subset.of_service(job.service) if origin is None else self._subset.of_origin(origin)
        untried = [member for member in members if member.runner.key not in job.tried_runners]
        if job.probe:
            untried = [member for member in untried if member.runner.key == job.probe.runner]
        return untried

    def _backing_off(self, job: Job) -> list[Member]:
        return [member for member in self._untried(job) if member.backing_off]


def note_passed_over(job: Job, healthy: Sequence[Member], admitted: Sequence[Member]) -> None:
    """Record for the log which healthy runners did not admit ``job``."""
    if len(admitted) < len(healthy):
        passed_over = {member.runner.key for member in healthy} - {member.runner.key for member in admitted}
        job.trace.ineligible_runners.update(passed_over)


def _can_decode(member: Member) -> bool:
    """Tell whether a runner runs requests; prefill engines only prefill prompts."""
    return member.runner.stage is not Stage.prefill


def _kept_engines(preferred: Sequence[Member], healthy: Sequence[Member]) -> list[Member]:
    """Return the failing engines that stay in use: the least failing ones, or all if no engine works."""
    now = trio.current_time()
    missing = math.ceil(MIN_ENGINE_SHARE * len(preferred)) - len(healthy)
    flaky = [member for member in preferred if member not in healthy and member.health.partly_works(now)]
    flaky.sort(key=_failing)
    kept = flaky[: max(missing, 0)]
    return kept if healthy or kept else list(preferred)


def _kept_plain(healthy: Sequence[Member], failing: Sequence[Member]) -> list[Member]:
    """Return the failing plain runners that stay in use because the others can't carry the load."""
    kept = kept_runners([_load(member) for member in healthy], [_load(member) for member in failing])
    return [member for member in failing if member.runner.key in kept]


def _load(member: Member) -> RunnerLoad:
    now = trio.current_time()
    health = member.health
    in_flight = member.in_flight + health.peers.in_flight(now)
    return RunnerLoad(
        member.runner.key, member.runner.slots, in_flight, health.failures.recent, health.partly_works(now)
    )


def _may_try_alone(member: Member, job: Job) -> bool:
    """Tell whether a request may be a trial for an instance that has no peers."""
    repeatable = job.route.repeat is not RepeatPolicy.never
    return member.health.admits_trial(trio.current_time(), TrialRequest(repeatable))


def _failing(member: Member) -> float:
    return member.health.failures.recent


__all__ = ('EligibleRunners', 'note_passed_over')
