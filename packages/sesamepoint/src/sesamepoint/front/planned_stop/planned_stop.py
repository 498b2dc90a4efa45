"""Until when this instance answers requests after the signal of a planned stop."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.routes import RepeatPolicy
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.retry_after import RETRY_ELSEWHERE_S, capped_retry_after_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sesamepoint.front.requests.job import Job


class PlannedStop:
    """Refuses requests that may outlast this instance, and ends those that do.

    A request that is accepted and cut off at the end of the process costs its caller that time, and one that is not
    idempotent leaves its caller without knowing whether it ran. Another instance can take it at once.
    """

    def __init__(self) -> None:
        """Start without a stop."""
        self.answer_by = math.inf
        # Returns the number of registered instances, this one included.
        self.count_instances: Callable[[], float] = _one

    def begin(self, answer_by: float, active: Iterable[Job]) -> None:
        """Answer all requests until ``answer_by`` on trio's clock, also those that are ``active``."""
        self.answer_by = answer_by
        for job in active:
            self.limit(job)

    def limit(self, job: Job) -> None:
        """Let ``job`` end before this instance does."""
        if job.deadline > self.answer_by:
            job.shorten(self.answer_by)
        job.access.scope.deadline = job.deadline

    def refuses(self, job: Job) -> bool:
        """Return whether ``job`` is refused, as it came after the signal and its time ends after this instance.

        A request that may be repeated is accepted if no other instance can take it: most end sooner than they may.
        """
        left_s = job.deadline - self.answer_by
        if left_s <= 0:
            return False
        if job.route.repeat is not RepeatPolicy.never and not self._has_others:
            self.limit(job)
            return False
        job.trace.unsent_cause = FailureCause.instance_stopping
        job.retry_after_s = self._retry_after_s(job)
        events.log_event(
            events.REQUEST_REFUSED_STOPPING,
            request=job.req.request_id,
            route=job.route.name,
            outlasts_ms=whole_ms(left_s),
            stops_in_ms=whole_ms(self.answer_by - trio.current_time()),
            retry_after_ms=whole_ms(job.retry_after_s),
        )
        return True

    def _retry_after_s(self, job: Job) -> float:
        """Return when the caller of ``job`` may come back: to another instance, or to the next process of this one."""
        if self._has_others:
            return RETRY_ELSEWHERE_S
        return capped_retry_after_s(self.answer_by - trio.current_time(), job.caller_left_s)

    @property
    def _has_others(self) -> bool:
        """Return whether another instance is registered."""
        return self.count_instances() > 1


def _one() -> float:
    return 1


__all__ = ('PlannedStop',)
