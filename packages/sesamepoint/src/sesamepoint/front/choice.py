"""Which runners a request goes to, from what is believed of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.paths import OTHERS_WEIGHT, Speeds, best_second_step
from sesamepoint_core.serving.rate import PauseMeter, SpeedMeter
from sesamepoint_core.serving.routes import Repeat
from sesamepoint_core.serving.runner import Stage
from sesamepoint.front.backlog import Line, Need
from sesamepoint.front.engine_plan import EnginePlan, Seen, Views, plan_for
from sesamepoint.front.usable import Usable, note_passed_over

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.backlog import Backlog
    from sesamepoint.front.job import Job
    from sesamepoint.front.known_engines import KnownEngines
    from sesamepoint.front.member import Member
    from sesamepoint.front.runner_limits import RunnerLimits

# Without published figures a transfer is taken to cost nothing.
UNKNOWN_TRANSFER = 1e9
# A runner of another zone is as good as one of this zone with this many
# requests more: a millisecond and a half each way against tens of them.
ZONE_PENALTY = 0.5
# Ranks of requests that can be on time, and of those that can't any more. The
# late ones wait behind all others, so that they make no others late.
MAX_RANK = 4
LATE_RANK = 8
# What a lost answer costs against the time in which one is on time; to be late
# costs twice that time, and keeps a third of the worth.
LOST_WEIGHT = 4.0
# The same, as a share of that, for what may go on elsewhere.
REPEATED_SHARE = 0.3
# Seconds that an answer takes up a place at an engine, until some were seen,
# and the weight of each; answers of today take 0.2 to 0.5.
FIRST_SLOT_S = 0.3
SLOT_LEARNING = 0.05
# A prompt waits for a permit if reading it takes an engine more than this share of the
# time until the next one.
WORTH_WAITING = 0.25


class Chooser:
    """Chooses by estimates that all entries' sends go into."""

    def __init__(self, known: KnownEngines, availability_zone: str, backlog: Backlog, limits: RunnerLimits) -> None:
        """Choose among ``known`` from ``availability_zone``, with ``backlog`` behind, as far as ``limits`` admit it."""
        self._known = known
        self._limits = limits
        self.usable = Usable(known, limits)
        self._backlog = backlog
        self._zone = availability_zone
        self._speeds: dict[str, SpeedMeter] = {}
        self._pauses: dict[str, PauseMeter] = {}
        self._slots: dict[str, float] = {}

    def speed(self, service: str) -> SpeedMeter:
        """Return the measured speed of a service's engines."""
        return self._speeds.setdefault(service, SpeedMeter())

    def pauses(self, service: str) -> PauseMeter:
        """Return what is known of pauses at a service's engines."""
        return self._pauses.setdefault(service, PauseMeter())

    def engines(self, job: Job, stage: Stage | None = None) -> int:
        """Return how many engines, of ``stage`` if one is given, could serve ``job``."""
        return sum(stage is None or member.runner.stage is stage for member in self.usable.now(job))

    def share_of(self, service: str, stage: Stage) -> float:
        """Return the share of the other entries' work that comes to engines known here."""
        return self._known.share_of(service, stage)

    async def until_any(self, service: str) -> bool:
        """Wait until some runner of ``service`` is known; False if all that there are leave."""
        return await self._known.until_any(service)

    def slot_s(self, route: str) -> float:
        """Return how long an answer of ``route`` takes up a place at an engine."""
        return self._slots.get(route, FIRST_SLOT_S)

    def note_slot(self, route: str, took_s: float) -> None:
        """Learn how long an answer of ``route`` took up a place."""
        before = self.slot_s(route)
        self._slots[route] = before + SLOT_LEARNING * (took_s - before)

    def plain(self, job: Job) -> Member | None:
        """Return the runner with the fewest requests, near ones first."""
        found = self.usable.now(job)
        return min(found, key=self._crowding, default=None)

    def engine(self, job: Job, prompt: Prompt, cfg: Configuration) -> EnginePlan | None:
        """Return the path of least cost.

        What would be late on it goes behind all that would not. A prompt that
        was sent before runs whole, unless the retry budget had room to read it
        apart once more: only the first call to do so is free.
        """
        seen = self._candidates(job, prompt)
        if not job.may_read_apart:
            seen = [one for one in seen if one.member.runner.stage is Stage.decode]
        members = [one.member for one in seen]
        speeds = self._speeds_of(job, cfg)._replace(
            prefill_price=self._price(job, members, Stage.prefill),
            decode_price=self._price(job, members, Stage.decode),
        )
        plan = plan_for(prompt, seen, speeds, urgency(job))
        if plan is None or plan.path.first_s <= job.on_time_s:
            return plan
        return plan._replace(rank=LATE_RANK)

    def second_step(self, job: Job, prompt: Prompt, cfg: Configuration, zone: str) -> Member | None:
        """Return where a prompt that was read in ``zone`` runs best by now."""
        members = [member for member in self.usable.now(job) if member.runner.stage is Stage.decode]
        if not members:
            return None
        speeds = self._speeds_of(job, cfg)
        views = Views(prompt, self._seen(members, job), None, speeds.pause_s).all()
        runner = best_second_step(tuple(views.values()), speeds, zone, prompt.tokens).runner
        return next(member for member in members if member.runner.key == runner)

    def for_trial(self, job: Job, allows: Callable[[Start], bool]) -> str | None:
        """Return the runner to send ``job`` to alone: of those allowed, the one with least beside it."""
        usable = (member for member in self.usable.now(job) if member.runner.stage is not Stage.prefill)
        found = (member for member in usable if allows(member.start))
        best = min(found, key=_beside, default=None)
        return best.runner.key if best else None

    def _candidates(self, job: Job, prompt: Prompt) -> list[Seen]:
        """Return the engines that ``job`` may be sent to now, and those that only read and are worth waiting for.

        Left out until they have a permit, engines that decode read the long prompts in the
        moment in between, at half the speed. Short ones run there without much harm, and
        leave the places to those that take all that such a place is worth.
        """
        sound = self.usable.sound(job)
        seen = self._seen(sound, job)
        admitted = [one for one in seen if not one.permit_wait_s]
        note_passed_over(job, sound, [one.member for one in admitted])
        reading = self.speed(job.service).speed
        work_s = reading.read_s(prompt.tokens, prompt.tokens)
        readers = (one for one in seen if one.permit_wait_s and one.member.runner.stage is Stage.prefill)
        in_time = (one for one in readers if one.permit_wait_s < job.first_left_s)
        return [*admitted, *(one for one in in_time if work_s > WORTH_WAITING * one.place_s)]

    def _seen(self, members: Sequence[Member], job: Job) -> list[Seen]:
        """Return ``members`` with what their limits mean for ``job``."""
        place_s = self._limits.place_s
        return [Seen(one, self.usable.wait_s(one, job), place_s(one.start)) for one in members]

    def _price(self, job: Job, members: Sequence[Member], stage: Stage) -> float:
        """Return what a second of an engine costs those that wait for one.

        All that wait for it wait a second longer. With a fixed price, decode
        engines full of answers read short prompts, at half the speed, while
        prefill engines were idle for half of the time.
        """
        engines = sum(member.runner.stage is stage for member in members)
        needs = (Need.prefill,) if stage is Stage.prefill else (Need.decode, Need.slot)
        share = self.share_of(job.service, stage)
        waiting = sum(self._backlog.requests(Line(job.service, need), share) for need in needs)
        return OTHERS_WEIGHT + waiting / max(engines, 1)

    def _crowding(self, member: Member) -> float:
        away = 0 if member.runner.zone == self._zone else ZONE_PENALTY
        return member.in_flight + away

    def _speeds_of(self, job: Job, cfg: Configuration) -> Speeds:
        found = cfg.services.get(job.service)
        engine = found.engine if found else None
        return Speeds(
            reading=self.speed(job.service).speed,
            transfer_tokens_s=engine.link_bytes_s / engine.kv_token_bytes if engine else UNKNOWN_TRANSFER,
            pause_s=job.route.pause_s,
            plain_pause_s=self.pauses(job.service).plain_s,
            late_cost_s=job.route.target_s,
            lost_cost_s=_lost_cost_s(job),
            on_time_s=job.on_time_s,
        )


def _lost_cost_s(job: Job) -> float:
    cost_s = LOST_WEIGHT * job.route.target_s
    if job.route.repeat is not Repeat.never and job.sends + 1 < job.route.max_attempts:
        cost_s *= REPEATED_SHARE
    return cost_s


def urgency(job: Job) -> int:
    """Return the rank at an engine of a request that its account or its route gives it."""
    return min(job.priority, MAX_RANK)


def _beside(member: Member) -> float:
    return max(member.in_flight, member.load.streams(trio.current_time()))


__all__ = ('Chooser', 'urgency')
