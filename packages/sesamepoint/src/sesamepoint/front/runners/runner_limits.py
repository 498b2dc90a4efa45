"""Rate limits of all runners, and the permits to send requests to them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.known_limit import FIRST_IN_FLIGHT
from sesamepoint_core.runner_limit.shared_limit import STARTUP_HOLD_S, SharedLimit
from sesamepoint import events
from sesamepoint.front.runners.status_sources import FROM_ANSWER

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.runners.known_runner import KnownRunner
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.limit_messages import PermitGrantMessage, PermitRequestMessage

INCARNATION_BITS = 50
# Least time between two log lines about the limit of one runner, in seconds: each answer
# may report another one.
LOG_INTERVAL_S = 1.0
# Expected wait for the first answer of a runner, in seconds; most answer within it.
FIRST_ANSWER_WAIT_S = 0.1


class RunnerLimits:
    """Known rate limit of each incarnation of a runner, and the permits for it."""

    def __init__(self, instance: str, rng: Random) -> None:
        """Start without limits, with the name of this instance."""
        # Set when there may be a message to send, or a waiting request to release.
        self.changed = trio.Event()
        self._instance = instance
        self._rng = rng
        self._incarnation = rng.getrandbits(INCARNATION_BITS)
        self._share_usable_from = math.inf
        self._limits: dict[Incarnation, SharedLimit] = {}
        self._log = _LimitLog()

    def begin(self) -> None:
        """Note that this instance starts now; it uses its own shares only after a while."""
        self._share_usable_from = trio.current_time() + STARTUP_HOLD_S

    def count(self) -> int:
        """Return how many runners have a limit."""
        return sum(self.limited(incarnation) for incarnation in self._limits)

    def limits(self) -> list[tuple[Incarnation, SharedLimit]]:
        """Return all known limits, also those that have ended and are not dropped yet."""
        return list(self._limits.items())

    def limited(self, incarnation: Incarnation) -> bool:
        """Return whether a runner has a limit, or one that ended lately and still grows."""
        return self._active(incarnation) is not None

    def admits(self, member: KnownRunner, job: Job) -> bool:
        """Return whether the limit lets ``job`` be sent to ``member`` now."""
        return member.in_flight < self.max_in_flight(member) and self.has_permit(member.incarnation, job)

    def max_in_flight(self, member: KnownRunner) -> float:
        """Return how many requests may be in flight at ``member``; bounded until it answers or has a known limit."""
        if member.answered or self.limited(member.incarnation):
            return math.inf
        return FIRST_IN_FLIGHT

    def has_permit(self, incarnation: Incarnation, job: Job) -> bool:
        """Return whether there is a permit to send ``job`` to a runner, or none is needed."""
        limit = self._active(incarnation)
        return limit is None or incarnation in job.access.permits or limit.available(trio.current_time()) > 0

    def reserve_if_limited(self, member: KnownRunner, job: Job) -> bool:
        """Reserve a permit if ``job`` needs one for ``member``; return whether it may be sent."""
        incarnation = member.incarnation
        if incarnation in job.access.permits or self._active(incarnation) is None:
            return True
        self.changed.set()
        return self.reserve(incarnation, job)

    def use(self, incarnation: Incarnation, job: Job) -> None:
        """Use a permit, since ``job`` is sent to the runner."""
        if incarnation in job.access.permits:
            job.access.permits.discard(incarnation)
            return
        limit = self._active(incarnation)
        if limit is not None:
            limit.take(trio.current_time())
            self.changed.set()

    def use_for_check(self, incarnation: Incarnation, job: Job) -> bool:
        """Use a permit to check a runner for ``job``: a spare one, or once that of ``job``; return whether it may.

        A runner that ends the connection after each check would else use up each permit of ``job``.
        """
        limit = self._active(incarnation)
        if limit is None:
            return True
        if limit.take(trio.current_time()):
            self.changed.set()
            return True
        if incarnation in job.access.checked:
            return False
        job.access.checked.add(incarnation)
        self.use(incarnation, job)
        return True

    def reserve(self, incarnation: Incarnation, job: Job) -> bool:
        """Reserve a permit for ``job``; return whether there was one."""
        limit = self._limits.get(incarnation)
        if limit is None or not limit.take(trio.current_time()):
            return False
        job.access.permits.add(incarnation)
        return True

    def give_back(self, job: Job) -> None:
        """Take back the permits that are reserved for ``job`` and not used."""
        for incarnation in job.access.permits:
            limit = self._limits.get(incarnation)
            if limit is not None:
                limit.put_back(trio.current_time())
        job.access.permits.clear()

    def expected_rate(self, incarnation: Incarnation, priority: int) -> float | None:
        """Return the permits a second that requests of ``priority`` can expect; None if the runner has no limit."""
        limit = self._active(incarnation)
        return None if limit is None else limit.expected_rate(priority, trio.current_time())

    def permit_interval_s(self, incarnation: Incarnation) -> float:
        """Return the seconds between two requests at the whole limit of a runner; 0 without one, or at a limit of 0."""
        limit = self._limits.get(incarnation)
        rate = limit.known.allowed_rate(trio.current_time()) if limit else None
        return 1 / rate if rate else 0

    def permit_wait_s(self, member: KnownRunner, job: Job) -> float:
        """Return how many seconds ``job`` can expect to wait for a permit for ``member``."""
        if self.admits(member, job):
            return 0
        rate = self.expected_rate(member.incarnation, job.priority)
        if rate is None:
            return FIRST_ANSWER_WAIT_S
        return 1 / rate if rate else math.inf

    def on_reported(self, incarnation: Incarnation, rate: float) -> None:
        """Record the limit that an answer of a runner reports."""
        if self._get_or_create(incarnation).known.on_reported(rate, trio.current_time()):
            self._log.log_change(incarnation, rate, FROM_ANSWER, 0, ended=False)
            self.changed.set()

    def on_not_reported(self, incarnation: Incarnation, sent_at: float) -> None:
        """Record that a successful answer to a request that was sent at ``sent_at`` reports no limit."""
        limit = self._limits.get(incarnation)
        if limit is not None and limit.known.on_not_reported(sent_at, trio.current_time()):
            self._log.log_change(incarnation, 0, FROM_ANSWER, 0, ended=True)
            self.changed.set()

    def on_message(self, message: PermitRequestMessage | PermitGrantMessage) -> None:
        """Handle a message of a peer about a limit."""
        update = message.message.limit
        if message.incarnation not in self._limits and (update is None or update.ended):
            return
        if (
            self._get_or_create(message.incarnation).on_message(message.entry, message.message, trio.current_time())
            and update is not None
        ):
            self._log.log_change(message.incarnation, update.rate, message.entry, update.age_s, ended=update.ended)
        self.changed.set()

    def forget(self, incarnation: Incarnation, cause: str) -> None:
        """Drop a limit."""
        self._limits.pop(incarnation, None)
        self._log.forget(incarnation, cause)

    def _active(self, incarnation: Incarnation) -> SharedLimit | None:
        """Return the limit of a runner; None if it has none."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.known.allowed_rate(trio.current_time()) is None:
            return None
        return limit

    def _get_or_create(self, incarnation: Incarnation) -> SharedLimit:
        limit = self._limits.get(incarnation)
        if limit is None:
            limit = SharedLimit(
                self._instance, incarnation.runner, self._incarnation, self._share_usable_from, self._rng.random()
            )
            self._limits[incarnation] = limit
        return limit


class _LimitLog:
    """Writes log lines about limits, with a bounded rate for each runner."""

    def __init__(self) -> None:
        self._logged_at: dict[Incarnation, float] = {}

    def log_change(self, incarnation: Incarnation, rate: float, source: str, age_s: float, *, ended: bool) -> None:
        if ended:
            events.log_event(events.LIMIT_ENDED, runner=incarnation.runner, source=source, age_s=round(age_s, 3))
        elif self._due(self._logged_at, incarnation, LOG_INTERVAL_S):
            events.log_event(
                events.LIMIT_REPORTED, runner=incarnation.runner, rate=rate, source=source, age_s=round(age_s, 3)
            )

    def forget(self, incarnation: Incarnation, cause: str) -> None:
        self._logged_at.pop(incarnation, None)
        events.log_event(events.LIMIT_DROPPED, runner=incarnation.runner, cause=cause)

    def _due(self, logged_at: dict[Incarnation, float], incarnation: Incarnation, interval_s: float) -> bool:
        now = trio.current_time()
        if now - logged_at.get(incarnation, -math.inf) < interval_s:
            return False
        logged_at[incarnation] = now
        return True


__all__ = ('RunnerLimits',)
