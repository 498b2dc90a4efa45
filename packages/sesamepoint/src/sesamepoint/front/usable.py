"""Which runners a request may be sent to, by their health and by what they have said of themselves."""

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

# Share of a service's runners that stays in use, whatever fails, as long as
# they answer some requests: the rest would not bear the load of more.
KEPT_SHARE = 0.7


class Usable:
    """The runners of which one is chosen."""

    def __init__(self, known: KnownEngines, limits: RunnerLimits) -> None:
        """Find them among ``known``, as far as ``limits`` admit requests."""
        self._known = known
        self._limits = limits

    def closed(self, job: Job) -> frozenset[Start]:
        """Return the runners that could run ``job`` but that do not admit it now."""
        waited_for = (*self.sound(job), *self._resting(job))
        return frozenset(one.start for one in waited_for if _runs(one) and not self.admits(one, job))

    def open_to(self, job: Job) -> list[Member]:
        """Return the runners that could run ``job`` now."""
        return [member for member in self.sound(job) if _runs(member) and self.admits(member, job)]

    def admits(self, member: Member, job: Job) -> bool:
        """Tell whether ``member`` takes ``job`` now, by what it has said of itself."""
        return member.has_room and self._limits.admits(member, job)

    def now(self, job: Job) -> list[Member]:
        """Return the runners that ``job`` may be sent to now."""
        sound = self.sound(job)
        admitted = [member for member in sound if self.admits(member, job)]
        note_passed_over(job, sound, admitted)
        return admitted

    def wait_s(self, member: Member, job: Job) -> float:
        """Return how long until ``member`` takes ``job``; infinite where that is not worth waiting for."""
        return self._limits.permit_wait_s(member, job) if member.has_room else math.inf

    def sound(self, job: Job) -> list[Member]:
        """Return the runners that ``job`` may be sent to, but for those that rest and for limits.

        What rests has no part in the share of a fleet that stays in use.
        """
        now = trio.current_time()
        untried = self._untried(job)
        awake = [member for member in untried if not member.rests]
        # Who turns one instance away mostly turns all away; with a request each to find out, 31 of them
        # would be lost in each rest.
        found = [member for member in awake if not member.rests_elsewhere] or awake
        note_passed_over(job, untried, found)
        sound = [member for member in found if member.health.usable(now)]
        missing = math.ceil(KEPT_SHARE * len(found)) - len(sound)
        if missing <= 0:
            return sound
        # If many fail now and then, all that is left out is load on the rest.
        shaky = [member for member in found if member not in sound and member.health.works_at_times(now)]
        shaky.sort(key=_failing)
        return sound + shaky[:missing] or found

    def _untried(self, job: Job) -> list[Member]:
        found = [member for member in self._known.of_service(job.service) if member.runner.key not in job.tried]
        if job.trial:
            found = [member for member in found if member.runner.key == job.trial.runner]
        return found

    def _resting(self, job: Job) -> list[Member]:
        return [member for member in self._untried(job) if member.rests]


def note_passed_over(job: Job, sound: Sequence[Member], admitted: Sequence[Member]) -> None:
    """Note which of ``sound`` do not admit ``job`` now."""
    if len(admitted) < len(sound):
        passed_over = {member.runner.key for member in sound} - {member.runner.key for member in admitted}
        job.notes.passed_over.update(passed_over)


def _runs(member: Member) -> bool:
    """Tell whether it runs requests, and does not only read prompts."""
    return member.runner.stage is not Stage.prefill


def _failing(member: Member) -> float:
    return member.health.failing


__all__ = ('Usable', 'note_passed_over')
