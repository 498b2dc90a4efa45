"""Selection of the runners for a request, by estimated cost."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.placement import QUEUED_WEIGHT, Speeds, best_decode_step
from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint_core.serving.runner import Stage
from sesamepoint_core.serving.speed_meters import PauseMeter, PrefillSpeedMeter
from sesamepoint.front.engines.backlog import Need, QueueKey
from sesamepoint.front.fleet_health.plain_choice import PlainChoice
from sesamepoint.front.runners.eligibility import EligibleRunners, note_passed_over
from sesamepoint.front.engines.engine_plan import Candidate, EnginePlan, EngineViews, plan_for

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.engines.backlog import Backlog
    from sesamepoint.front.runners.engine_subset import EngineSubset
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.runner_limits import RunnerLimits

# Used for a service whose link and cache sizes are not published: a transfer costs nothing.
DEFAULT_TRANSFER_TOKENS_S = 1e9
# Highest rank of a request that can be on time, and the rank of one that can't.
# Late requests wait behind all others, so that they make no others late.
MAX_RANK = 4
LATE_RANK = 8
# Cost of a lost answer, as a multiple of the route's target. A late answer costs
# twice the target and keeps a third of its worth.
LOST_COST_FACTOR = 4.0
# Factor on that cost for a request that can be retried at another runner.
RETRYABLE_COST_FACTOR = 0.3
# Time for which an answer occupies an engine slot, in seconds, before any was
# measured, and the weight of each measurement. Current answers take 0.2 to 0.5 s.
DEFAULT_SLOT_S = 0.3
SLOT_SMOOTHING = 0.05
# A prompt waits for a permit of a prefill engine if its prefill takes more than this
# share of the interval between two permits.
MIN_WORK_SHARE = 0.25


class RunnerSelector:
    """Selects runners by estimates that include the sends of all instances."""

    def __init__(
        self,
        subset: EngineSubset,
        availability_zone: str,
        backlog: Backlog,
        limits: RunnerLimits,
        plain_choice: PlainChoice | None = None,
    ) -> None:
        """Select from the instance's subset of engines.

        Parameters
        ----------
        availability_zone
            Zone of this instance.
        backlog
            Requests queued for engines, here and at peers.
        limits
            Rate limits of the runners.
        plain_choice
            Chooses among plain runners; without one, by the requests of this instance.
        """
        self._subset = subset
        self._limits = limits
        self.eligible = EligibleRunners(subset, limits)
        self._backlog = backlog
        self._plain_choice = plain_choice or PlainChoice(availability_zone, Random(0), 'own')
        self._speed_meters: dict[str, PrefillSpeedMeter] = {}
        self._pause_meters: dict[str, PauseMeter] = {}
        self._slot_s: dict[str, float] = {}

    def speed_meter(self, service: str) -> PrefillSpeedMeter:
        """Return the meter of the prefill speed of a service's engines."""
        return self._speed_meters.setdefault(service, PrefillSpeedMeter())

    def pause_meter(self, service: str) -> PauseMeter:
        """Return the meter of pauses between two stream events at a service's engines."""
        return self._pause_meters.setdefault(service, PauseMeter())

    def count_engines(self, job: Job, stage: Stage | None = None) -> int:
        """Return how many eligible engines, of ``stage`` if one is given, could serve ``job``."""
        return sum(stage is None or member.runner.stage is stage for member in self.eligible.for_job(job))

    def engine_capacity(self, job: Job, stage: Stage) -> float:
        """Return the speeds of the eligible engines of ``stage`` together, that of the service's median engine as 1."""
        members = (member for member in self.eligible.for_job(job) if member.runner.stage is stage)
        return sum(1 / member.model.lasting.prefill_factor for member in members)

    def share_of(self, service: str, stage: Stage) -> float:
        """Return the share of the peers' work that goes to engines in this instance's subset."""
        return self._subset.subset_share(service, stage)

    async def wait_for_any(self, service: str) -> bool:
        """Wait until a runner of ``service`` is known; return False if all of its runners are draining."""
        return await self._subset.wait_for_any(service)

    def slot_s(self, route: str) -> float:
        """Return for how many seconds an answer of ``route`` occupies an engine slot."""
        return self._slot_s.get(route, DEFAULT_SLOT_S)

    def observe_slot(self, route: str, took_s: float) -> None:
        """Update the moving average of the time for which an answer of ``route`` occupies a slot."""
        average_s = self.slot_s(route)
        self._slot_s[route] = average_s + SLOT_SMOOTHING * (took_s - average_s)

    def plain_runner(self, job: Job) -> Member | None:
        """Return the runner to send ``job`` to, first one that needs it as a trial; None if there is none."""
        now = trio.current_time()
        eligible = self.eligible.for_job(job)
        ejected = (member for member in eligible if not member.health.eligible(now))
        trial = next((member for member in ejected if self.eligible.may_try(member, job)), None)
        return trial or self._plain_choice.choose(eligible, _lost_cost_s(job))

    def plain_runners(self, job: Job) -> Sequence[Member]:
        """Return the runners that could run a request of a plain service, whether or not they admit it now."""
        return self.eligible.healthy(job)

    def plan(self, job: Job, prompt: Prompt, cfg: Configuration) -> EnginePlan | None:
        """Return the placement of least cost; None if no engine can run ``job``.

        A request that would be late on it gets the last rank, unless its caller has
        events already and waits for the next one. A prompt that was
        sent before runs whole at one engine, unless the retry budget allowed
        another remote prefill: only the first remote prefill is free.
        """
        candidates = self._candidates(job, prompt)
        if not job.allow_remote_prefill:
            candidates = [one for one in candidates if one.member.runner.stage is Stage.decode]
        members = [one.member for one in candidates]
        speeds = self._cost_inputs(job, cfg)._replace(
            prefill_price=self._queue_price(job, members, Stage.prefill),
            decode_price=self._queue_price(job, members, Stage.decode),
        )
        plan = plan_for(prompt, candidates, speeds, queue_rank(job))
        if plan is None or job.goes_on or plan.placement.first_s <= job.target_left_s:
            return plan
        return plan._replace(rank=LATE_RANK)

    def decode_engine(self, job: Job, prompt: Prompt, cfg: Configuration, zone: str) -> Member | None:
        """Return the engine of least cost to decode at after a prefill in ``zone``; None if none is eligible."""
        members = [member for member in self.eligible.for_job(job) if member.runner.stage is Stage.decode]
        if not members:
            return None
        speeds = self._cost_inputs(job, cfg)
        views = EngineViews(prompt, self._with_limits(members, job), None, speeds.pause_s).all()
        runner = best_decode_step(tuple(views.values()), speeds, zone, prompt.tokens).runner
        return next(member for member in members if member.runner.key == runner)

    def probe_runner(self, job: Job, allows: Callable[[Incarnation], bool]) -> str | None:
        """Return the key of the runner to probe with ``job``: of those allowed, the one with the fewest requests."""
        eligible = (member for member in self.eligible.for_job(job) if member.runner.stage is not Stage.prefill)
        allowed = (member for member in eligible if allows(member.incarnation))
        best = min(allowed, key=_active_requests, default=None)
        return best.runner.key if best else None

    def _candidates(self, job: Job, prompt: Prompt) -> list[Candidate]:
        """Return the engines that admit ``job`` now, and the rate-limited prefill engines worth waiting for.

        If prefill engines were excluded until they have a permit, decode engines would
        prefill the long prompts in the meantime, at half the speed. Short prompts do
        little harm there and leave the permits of prefill engines to long ones.
        """
        healthy = self.eligible.healthy(job)
        candidates = self._with_limits(healthy, job)
        admitted = [one for one in candidates if not one.permit_wait_s]
        note_passed_over(job, healthy, [one.member for one in admitted])
        speed = self.speed_meter(job.service).speed
        work_s = speed.prefill_s(prompt.tokens, prompt.tokens)
        limited = (one for one in candidates if one.permit_wait_s and one.member.runner.stage is Stage.prefill)
        in_time = (one for one in limited if one.permit_wait_s < job.first_output_left_s)
        return [*admitted, *(one for one in in_time if work_s > MIN_WORK_SHARE * one.permit_interval_s)]

    def _with_limits(self, members: Sequence[Member], job: Job) -> list[Candidate]:
        """Return ``members`` with the waits that their rate limits impose on ``job``."""
        place_s = self._limits.permit_interval_s
        return [Candidate(one, self.eligible.permit_wait_s(one, job), place_s(one.incarnation)) for one in members]

    def _queue_price(self, job: Job, members: Sequence[Member], stage: Stage) -> float:
        """Return what one second of an engine costs the requests queued for it.

        Each of them waits a second longer. With a fixed price, decode engines
        full of answers prefilled short prompts, at half the speed, while prefill
        engines were idle for half of the time.
        """
        engines = sum(member.runner.stage is stage for member in members)
        needs = (Need.prefill,) if stage is Stage.prefill else (Need.decode, Need.slot)
        share = self.share_of(job.service, stage)
        waiting = sum(self._backlog.count_requests(QueueKey(job.service, need), share) for need in needs)
        return QUEUED_WEIGHT + waiting / max(engines, 1)

    def _cost_inputs(self, job: Job, cfg: Configuration) -> Speeds:
        service = cfg.services.get(job.service)
        engine = service.engine if service else None
        meter = self.speed_meter(job.service)
        return Speeds(
            prefill_speed=meter.speed,
            fastest_prefill=meter.fastest,
            transfer_tokens_s=engine.link_bytes_s / engine.kv_token_bytes if engine else DEFAULT_TRANSFER_TOKENS_S,
            pause_s=job.route.pause_s,
            plain_pause_s=self.pause_meter(job.service).plain_s,
            late_cost_s=job.route.target_s,
            lost_cost_s=_lost_cost_s(job),
            on_time_s=job.target_left_s,
        )


def _lost_cost_s(job: Job) -> float:
    cost_s = LOST_COST_FACTOR * job.route.target_s
    if job.route.repeat is not RepeatPolicy.never and job.sends + 1 < job.route.max_attempts:
        cost_s *= RETRYABLE_COST_FACTOR
    return cost_s


def queue_rank(job: Job) -> int:
    """Return the rank of a request at an engine, by the priority of its account or route."""
    return min(job.priority, MAX_RANK)


def _active_requests(member: Member) -> float:
    return max(member.in_flight, member.load.streams(trio.current_time()))


__all__ = ('RunnerSelector', 'queue_rank')
