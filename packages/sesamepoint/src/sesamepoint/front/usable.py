"""Eligibility of runners for a request, by health, back-off and rate limits."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.runner import Stage

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.job import Job
    from sesamepoint.front.known_engines import KnownEngines
    from sesamepoint.front.member import Member
    from sesamepoint.front.runner_limits import RunnerLimits

# At least this share of a service's runners stays in use, however many fail, as long as
# they answer some requests: fewer could not carry the load.
KEPT_SHARE = 0.7


class Usable:
    """Finds the runners that a request may be sent to."""

    def __init__(self, known: KnownEngines, limits: RunnerLimits) -> None:
        """Use the runners of an instance's subset, with their rate ``limits``."""
        self._known = known
        self._limits = limits

    def closed(self, job: Job) -> frozenset[Start]:
        """Return the runners that could run ``job`` but don't admit it now, by limit or back-off."""
        candidates = (*self.sound(job), *self._resting(job))
        return frozenset(one.start for one in candidates if _runs(one) and not self.admits(one, job))

    def open_to(self, job: Job) -> list[Member]:
        """Return the runners that could run ``job`` and admit it now."""
        return [member for member in self.sound(job) if _runs(member) and self.admits(member, job)]

    def admits(self, member: Member, job: Job) -> bool:
        """Tell whether ``member`` admits ``job`` now, by its back-off and its rate limit."""
        return member.has_room and self._limits.admits(member, job)

    def now(self, job: Job) -> list[Member]:
        """Return the runners that ``job`` may be sent to now, prefill engines included."""
        healthy = self.sound(job)
        admitted = [member for member in healthy if self.admits(member, job)]
        note_passed_over(job, healthy, admitted)
        return admitted

    def wait_s(self, member: Member, job: Job) -> float:
        """Return the seconds until ``member`` has a permit for ``job``; infinite if its back-off forbids more."""
        return self._limits.permit_wait_s(member, job) if member.has_room else math.inf

    def sound(self, job: Job) -> list[Member]:
        """Return the healthy runners for ``job``, whatever their rate limits.

        Runners in back-off are excluded, and don't count towards the share of a
        service's runners that stays in use.
        """
        now = trio.current_time()
        untried = self._untried(job)
        available = [member for member in untried if not member.rests]
        # A runner that turns one instance away mostly turns all away. If each instance found that out with
        # a request of its own, 31 requests would be lost in each back-off.
        preferred = [member for member in available if not member.rests_elsewhere] or available
        note_passed_over(job, untried, preferred)
        healthy = [member for member in preferred if member.health.usable(now)]
        missing = math.ceil(KEPT_SHARE * len(preferred)) - len(healthy)
        if missing <= 0:
            return healthy
        # If many runners fail at times, each ejected one adds load to the others, so the least failing are kept.
        flaky = [member for member in preferred if member not in healthy and member.health.works_at_times(now)]
        flaky.sort(key=_failing)
        return healthy + flaky[:missing] or preferred

    def _untried(self, job: Job) -> list[Member]:
        untried = [member for member in self._known.of_service(job.service) if member.runner.key not in job.tried]
        if job.trial:
            untried = [member for member in untried if member.runner.key == job.trial.runner]
        return untried

    def _resting(self, job: Job) -> list[Member]:
        return [member for member in self._untried(job) if member.rests]


def note_passed_over(job: Job, sound: Sequence[Member], admitted: Sequence[Member]) -> None:
    """Record for the log which healthy runners did not admit ``job``."""
    if len(admitted) < len(sound):
        passed_over = {member.runner.key for member in sound} - {member.runner.key for member in admitted}
        job.notes.passed_over.update(passed_over)


def _runs(member: Member) -> bool:
    """Tell whether a runner runs requests; prefill engines only prefill prompts."""
    return member.runner.stage is not Stage.prefill


def _failing(member: Member) -> float:
    return member.health.failing


__all__ = ('Usable', 'note_passed_over')
