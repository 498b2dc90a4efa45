"""Queue of requests whose eligible runners are all rate-limited or backing off."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.runner_limit.messages import Rank
from sesamepoint_core.runner_limit.share_lender import IDLE_RANK, Demand
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.requests.failure_cause import FailureCause
from sesamepoint.front.requests.retry_after import capped_retry_after_s, default_retry_after_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from sesamepoint_core.serving.poison_requests import Incarnation
    from sesamepoint.front.runners.eligibility import EligibleRunners
    from sesamepoint.front.runners.fleet_member import Member
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.runner_status import RunnerStatuses

# Waiting requests check this often, in seconds, whether a runner without a limit admits them.
POLL_INTERVAL_S = 0.05
# For this long after a request for a service, in seconds, a permit is requested in advance.
RECENT_REQUEST_S = 1.0
# A request may wait here for this share of the time that its caller waits for the start of
# an answer; a caller that is refused can retry in the rest of that time.
MAX_WAIT_SHARE = 0.4
# A request that has used this share of its target goes behind those that can still be on
# time: the rest of the target is needed for its run.
TURN_DUE_SHARE = 0.6
# Worth of a late answer, as a share of the worth of one on time.
LATE_WORTH_FACTOR = 0.3
# With less time left than this, in seconds, a request could hardly be answered.
MIN_SLACK_S = 0.2
# For this many seconds a request counts as demand for a permit of one runner only, then of
# all that it may be sent to. Counted at all at once, urgent requests would get all permits.
SINGLE_RUNNER_S = 0.1
# Requests per second that an instance expects to send to a runner just after a back-off.
RATE_AFTER_BACK_OFF = 8.0
# Retries of refused callers are spread over no more than this, in seconds.
MAX_RETRY_SPREAD_S = 10.0


class _Waiter:
    """One waiting request."""

    def __init__(self, job: Job, incarnations: frozenset[Incarnation], arrival: int) -> None:
        self.job = job
        self.incarnations = incarnations
        # Time until which it may stay in the queue.
        self.wait_deadline = _wait_deadline(job)
        self._first_start = sorted(incarnations)[arrival % len(incarnations)] if incarnations else None
        self._began = trio.current_time()
        # Longest wait before its turn, in seconds, as of its arrival. Forecasts of its wait are
        # compared with it later too, since a request that has waited longer gets its turn sooner.
        self.max_wait_s = _turn_deadline(job) - self._began
        self.decided = trio.Event()
        self.refused = False

    def requests_permit_of(self, incarnation: Incarnation) -> bool:
        """Tell whether it counts as demand for a permit of one runner; it takes one of any runner that may serve it."""
        if trio.current_time() - self._began > SINGLE_RUNNER_S:
            return incarnation in self.incarnations
        return incarnation == self._first_start

    @property
    def order(self) -> tuple[Rank, float]:
        """Return the sort key of the queue: priority, then worth by size, then deadline."""
        return permit_rank(self.job), self.job.first_output_deadline


class _Forecast(NamedTuple):
    """Forecast of when the runners of a waiting request admit requests again, and at which rate.

    Parameters
    ----------
    opens_s
        Seconds until the first back-off ends; 0 if one of the runners is not backing off.
    rate
        Requests per second from then on; infinite if a runner without a limit only
        has to answer its first request before it admits all.
    """

    opens_s: float
    rate: float

    def wait_s(self, earlier: int) -> float:
        """Return the wait behind so many other requests; the first one is sent as soon as a back-off ends."""
        if not self.rate:
            return math.inf
        return self.opens_s + earlier / self.rate if self.opens_s else (earlier + 1) / self.rate


class PermitQueue:
    """Releases waiting requests, the most urgent first, and refuses those that would wait too long."""

    def __init__(self, runner_statuses: RunnerStatuses, eligible: EligibleRunners) -> None:
        """Find the runners to wait for, and their limits and back-offs by their reported status."""
        self._runner_statuses = runner_statuses
        self._limits = runner_statuses.limits
        self._polled_at = -math.inf
        self._eligible = eligible
        self._waiters: dict[_Waiter, None] = {}
        self._arrivals = 0
        self._requested_at: dict[str, float] = {}
        # Time of the latest retry that a refused caller was given, by service.
        self._retries_until: dict[str, float] = {}

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def note_request(self, service: str) -> None:
        """Note a request for ``service``, so that permits are requested in advance for a while."""
        self._requested_at[service] = trio.current_time()

    async def wait(self, job: Job) -> bool:
        """Wait until ``job`` may be sent to a runner; return False if it is refused or no runner could admit it."""
        self._arrivals += 1
        waiter = _Waiter(job, self._eligible.not_admitting(job), self._arrivals)
        if not waiter.incarnations:
            return False
        began = trio.current_time()
        self._waiters[waiter] = None
        self._refuse_unservable()
        self._limits.changed.set()
        try:
            return await self._until_decided(waiter)
        finally:
            self._release(waiter)
            job.trace.queued_s += trio.current_time() - began

    def requested_permits(self, member: Member, queued_elsewhere: Iterable[Job], available: int) -> Demand:
        """Return how many permits to request for ``member``, and the rank of the first request that needs one.

        Counted are the requests queued here and those that wait for a prefill
        engine, less the permits that are available.
        """
        ranks = [permit_rank(waiter.job) for waiter in self._waiters if waiter.requests_permit_of(member.incarnation)]
        ranks.extend(permit_rank(job) for job in queued_elsewhere)
        recent = trio.current_time() - self._requested_at.get(member.runner.service, -math.inf) < RECENT_REQUEST_S
        first = min(ranks, default=IDLE_RANK)
        # Requests of lower priority are counted at their own rank, once these have been sent.
        same_priority = sum(rank.priority == first.priority for rank in ranks)
        return Demand(max(same_priority - available, recent - available, 0), first)

    def grant_permits(self, incarnation: Incarnation) -> None:
        """Release requests that wait for a runner, with a permit each, until permits run out."""
        for waiter in sorted(self._waiting_for(incarnation), key=_queue_order):
            if not self._limits.reserve(incarnation, waiter.job):
                return
            self._release(waiter)

    def release_eligible(self) -> None:
        """Release requests that some runner admits by now; after a back-off a runner gets a few at a time."""
        self._polled_at = trio.current_time()
        capacity: dict[Incarnation, float] = {}
        for waiter in sorted(self._waiters, key=_queue_order):
            for member in self._eligible.admitting(waiter.job):
                incarnation = member.incarnation
                left = capacity.get(incarnation, self._capacity(member))
                if left > 0:
                    capacity[incarnation] = left - 1
                    self._release(waiter)
                    break

    def _capacity(self, member: Member) -> float:
        return min(self._back_off_capacity(member.incarnation), self._limits.max_in_flight(member)) - member.in_flight

    def _back_off_capacity(self, incarnation: Incarnation) -> float:
        return self._runner_statuses.status_of(incarnation).max_in_flight(trio.current_time())

    async def _until_decided(self, waiter: _Waiter) -> bool:
        while not waiter.decided.is_set():
            left_s = max(waiter.wait_deadline - trio.current_time(), 0)
            with trio.move_on_after(min(POLL_INTERVAL_S, left_s)):
                await waiter.decided.wait()
            if waiter.refused:
                return False
            if trio.current_time() - self._polled_at > POLL_INTERVAL_S / 2:
                self.release_eligible()
            if waiter.decided.is_set():
                return not waiter.refused
            if trio.current_time() >= waiter.wait_deadline:
                self._refuse(waiter)
        return not waiter.refused

    def _waiting_for(self, incarnation: Incarnation) -> Iterator[_Waiter]:
        return (waiter for waiter in self._waiters if incarnation in waiter.incarnations)

    def _refuse_unservable(self) -> None:
        """Refuse at once the requests whose turn would come too late, behind all that go before them."""
        earlier = 0
        for waiter in sorted(self._waiters, key=_queue_order):
            if self._forecast(waiter).wait_s(earlier) <= waiter.max_wait_s:
                earlier += 1
            else:
                self._refuse(waiter)

    def _refuse(self, waiter: _Waiter) -> None:
        job = waiter.job
        waiter.refused = True
        job.trace.refused = True
        forecast = self._forecast(waiter)
        backing_off = any(math.isfinite(self._back_off_capacity(incarnation)) for incarnation in waiter.incarnations)
        job.trace.unsent_cause = FailureCause.backed_off if backing_off else FailureCause.rate_limited
        job.retry_after_s = self._retry_after_s(job, forecast)
        events.log_event(
            events.REQUEST_REFUSED_BACK_OFF if backing_off else events.REQUEST_REFUSED_LIMIT,
            request=job.req.request_id,
            runners=sorted(incarnation.runner for incarnation in waiter.incarnations),
            waiting=len(self._waiters),
            opens_ms=whole_ms(forecast.opens_s),
            rate=_loggable(forecast.rate),
            left_ms=whole_ms(job.first_output_left_s),
            retry_after_s=job.retry_after_s,
        )
        self._release(waiter)

    def _retry_after_s(self, job: Job, forecast: _Forecast) -> float:
        """Return when the caller may retry, in seconds: retries are spaced by the forecast rate."""
        rate = forecast.rate
        if not rate or math.isinf(rate):
            return default_retry_after_s(job.caller_left_s)
        now = trio.current_time()
        queued_until = now + forecast.opens_s + len(self._waiters) / rate
        retry_at = max(self._retries_until.get(job.service, 0), queued_until) + 1 / rate
        if retry_at <= now + MAX_RETRY_SPREAD_S:
            self._retries_until[job.service] = retry_at
        return capped_retry_after_s(retry_at - now, job.caller_left_s)

    def _release(self, waiter: _Waiter) -> None:
        waiter.decided.set()
        self._waiters.pop(waiter, None)
        self._limits.changed.set()

    def _forecast(self, waiter: _Waiter) -> _Forecast:
        back_offs = {
            one: self._runner_statuses.status_of(one).back_off_left_s(trio.current_time())
            for one in waiter.incarnations
        }
        opens_s = min(back_offs.values(), default=0)
        # Runners whose back-off outlasts this can't serve the request in time.
        in_time_s = max(opens_s, waiter.max_wait_s)
        rates = (self._rate(one, waiter.job) for one, left_s in back_offs.items() if left_s <= in_time_s)
        return _Forecast(opens_s, sum(rates))

    def _rate(self, incarnation: Incarnation, job: Job) -> float:
        limit = self._limits.expected_rate(incarnation, job.priority)
        ramp_up = RATE_AFTER_BACK_OFF if math.isfinite(self._back_off_capacity(incarnation)) else math.inf
        return ramp_up if limit is None else min(limit, ramp_up)


def permit_rank(job: Job) -> Rank:
    """Return the rank in which ``job`` gets a permit: by priority, then by worth, which is less for a late answer."""
    size = 1 if job.req.prompt is None else 1 + job.req.prompt.tokens
    timely = job.target_left_s > (1 - TURN_DUE_SHARE) * job.route.target_s
    worth = size if timely else LATE_WORTH_FACTOR * size
    return Rank.of(job.priority, worth)


def _wait_deadline(job: Job) -> float:
    """Return until when ``job`` may wait, as a time of the trio clock.

    A retry, or a request that was sent before, may wait while it can be answered
    at all; any other while it can be on time, or for its share of the time that
    its caller waits, if that is longer.
    """
    if job.caller_retry or job.sends:
        return job.first_output_deadline - MIN_SLACK_S
    allowed_s = MAX_WAIT_SHARE * (job.first_output_deadline - job.req.arrived_at)
    return job.req.arrived_at + max(job.route.target_s, allowed_s)


def _turn_deadline(job: Job) -> float:
    """Return by when ``job`` must be sent to be on time, or for a retry or resend to be answered at all."""
    if job.caller_retry or job.sends:
        return _wait_deadline(job)
    return job.req.arrived_at + TURN_DUE_SHARE * job.route.target_s


def _loggable(rate: float) -> float | None:
    return None if math.isinf(rate) else round(rate, 3)


def _queue_order(waiter: _Waiter) -> tuple[Rank, float]:
    return waiter.order


__all__ = ('PermitQueue', 'permit_rank')
