"""Queue of requests whose eligible runners are all rate-limited or backing off."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

import trio

from sesamepoint_core.runner_limit.lender import NOTHING_WAITS, Wish
from sesamepoint_core.runner_limit.words import Rank
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.cause import Cause
from sesamepoint.front.return_time import heeded_s, when_unknown_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.job import Job
    from sesamepoint.front.member import Member
    from sesamepoint.front.runner_words import RunnerWords
    from sesamepoint.front.usable import Usable

# Waiting requests check this often, in seconds, whether a runner without a limit admits them.
LOOK_S = 0.05
# For this long after a request for a service, in seconds, a permit is requested in advance.
LATELY_S = 1.0
# A request may wait here for this share of the time that its caller waits for the start of
# an answer; a caller that is refused can retry in the rest of that time.
MAX_WAIT_SHARE = 0.4
# A request that has used this share of its target goes behind those that can still be on
# time: the rest of the target is needed for its run.
ON_TIME_SHARE = 0.6
# Worth of a late answer, as a share of the worth of one on time.
LATE_SHARE = 0.3
# With less time left than this, in seconds, a request could hardly be answered.
MIN_SPARE_S = 0.2
# For this many seconds a request counts as demand for a permit of one runner only, then of
# all that it may be sent to. Counted at all at once, urgent requests would get all permits.
ASKS_ONE_S = 0.1
# Requests per second that an instance expects to send to a runner just after a back-off.
RATE_AFTER_REST = 8.0
# Retries of refused callers are spread over no more than this, in seconds.
LONGEST_RETURN_S = 10.0


class _Waiter:
    """One waiting request."""

    def __init__(self, job: Job, starts: frozenset[Start], turn: int) -> None:
        self.job = job
        self.starts = starts
        # Time until which it may stay in the queue.
        self.until = _patient_until(job)
        self._asks_first = sorted(starts)[turn % len(starts)] if starts else None
        self._began = trio.current_time()
        # Longest wait before its turn, in seconds, as of its arrival. Forecasts of its wait are
        # compared with it later too, since a request that has waited longer gets its turn sooner.
        self.due_s = _due_by(job) - self._began
        self.decided = trio.Event()
        self.refused = False

    def asks(self, start: Start) -> bool:
        """Tell whether it counts as demand for a permit of one runner; it takes one of any runner that may serve it."""
        if trio.current_time() - self._began > ASKS_ONE_S:
            return start in self.starts
        return start == self._asks_first

    @property
    def order(self) -> tuple[Rank, float]:
        """Return the sort key of the queue: priority, then worth by size, then deadline."""
        return rank_of(self.job), self.job.first_deadline


class _Outlook(NamedTuple):
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

    def wait_s(self, ahead: int) -> float:
        """Return the wait behind so many other requests; the first one is sent as soon as a back-off ends."""
        if not self.rate:
            return math.inf
        return self.opens_s + ahead / self.rate if self.opens_s else (ahead + 1) / self.rate


class Places:
    """Releases waiting requests, the most urgent first, and refuses those that would wait too long."""

    def __init__(self, words: RunnerWords, usable: Usable) -> None:
        """Find the runners to wait for, and their limits and back-offs by their reported status."""
        self._words = words
        self._limits = words.limits
        self._looked_at = -math.inf
        self._usable = usable
        self._waiters: dict[_Waiter, None] = {}
        self._turns = 0
        self._asked_at: dict[str, float] = {}
        # Time of the latest retry that a refused caller was given, by service.
        self._returns_until: dict[str, float] = {}

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def note_request(self, service: str) -> None:
        """Note a request for ``service``, so that permits are requested in advance for a while."""
        self._asked_at[service] = trio.current_time()

    async def wait(self, job: Job) -> bool:
        """Wait until ``job`` may be sent to a runner; return False if it is refused or no runner could admit it."""
        self._turns += 1
        waiter = _Waiter(job, self._usable.closed(job), self._turns)
        if not waiter.starts:
            return False
        began = trio.current_time()
        self._waiters[waiter] = None
        self._refuse_hopeless()
        self._limits.fresh.set()
        try:
            return await self._until_decided(waiter)
        finally:
            self._release(waiter)
            job.notes.held_s += trio.current_time() - began

    def wish(self, member: Member, held: Iterable[Job], stock: int) -> Wish:
        """Return how many permits to request for ``member``, and the rank of the first request that needs one.

        Counted are the requests queued here and those that wait for a prefill
        engine, less the permits that are available.
        """
        ranks = [rank_of(waiter.job) for waiter in self._waiters if waiter.asks(member.start)]
        ranks.extend(rank_of(job) for job in held)
        recent = trio.current_time() - self._asked_at.get(member.runner.service, -math.inf) < LATELY_S
        first = min(ranks, default=NOTHING_WAITS)
        # Requests of lower priority are counted at their own rank, once these have been sent.
        same_priority = sum(rank.priority == first.priority for rank in ranks)
        return Wish(max(same_priority - stock, recent - stock, 0), first)

    def hand_out(self, start: Start) -> None:
        """Release requests that wait for a runner, with a permit each, until permits run out."""
        for waiter in sorted(self._waiting_for(start), key=_order):
            if not self._limits.reserve(start, waiter.job):
                return
            self._release(waiter)

    def let_go(self) -> None:
        """Release requests that some runner admits by now; after a back-off a runner gets a few at a time."""
        self._looked_at = trio.current_time()
        capacity: dict[Start, float] = {}
        for waiter in sorted(self._waiters, key=_order):
            for member in self._usable.open_to(waiter.job):
                incarnation = member.start
                left = capacity.get(incarnation, self._room(member))
                if left > 0:
                    capacity[incarnation] = left - 1
                    self._release(waiter)
                    break

    def _room(self, member: Member) -> float:
        return min(self._room_of(member.start), self._limits.room(member)) - member.in_flight

    def _room_of(self, start: Start) -> float:
        return self._words.belief_of(start).room(trio.current_time())

    async def _until_decided(self, waiter: _Waiter) -> bool:
        while not waiter.decided.is_set():
            left_s = max(waiter.until - trio.current_time(), 0)
            with trio.move_on_after(min(LOOK_S, left_s)):
                await waiter.decided.wait()
            if waiter.refused:
                return False
            if trio.current_time() - self._looked_at > LOOK_S / 2:
                self.let_go()
            if waiter.decided.is_set():
                return not waiter.refused
            if trio.current_time() >= waiter.until:
                self._refuse(waiter)
        return not waiter.refused

    def _waiting_for(self, start: Start) -> Iterator[_Waiter]:
        return (waiter for waiter in self._waiters if start in waiter.starts)

    def _refuse_hopeless(self) -> None:
        """Refuse at once the requests whose turn would come too late, behind all that go before them."""
        earlier = 0
        for waiter in sorted(self._waiters, key=_order):
            if self._outlook(waiter).wait_s(earlier) <= waiter.due_s:
                earlier += 1
            else:
                self._refuse(waiter)

    def _refuse(self, waiter: _Waiter) -> None:
        job = waiter.job
        waiter.refused = True
        job.notes.refused = True
        forecast = self._outlook(waiter)
        backing_off = any(math.isfinite(self._room_of(incarnation)) for incarnation in waiter.starts)
        job.notes.held_back = Cause.resting if backing_off else Cause.limited
        job.retry_after_s = self._return_s(job, forecast)
        events.log_event(
            events.REST_REFUSED if backing_off else events.LIMIT_REFUSED,
            request=job.req.request_id,
            runners=sorted(incarnation.runner for incarnation in waiter.starts),
            waiting=len(self._waiters),
            opens_ms=whole_ms(forecast.opens_s),
            rate=_shown(forecast.rate),
            left_ms=whole_ms(job.first_left_s),
            retry_after_s=job.retry_after_s,
        )
        self._release(waiter)

    def _return_s(self, job: Job, outlook: _Outlook) -> float:
        """Return when the caller may retry, in seconds: retries are spaced by the forecast rate."""
        rate = outlook.rate
        if not rate or math.isinf(rate):
            return when_unknown_s(job.caller_left_s)
        now = trio.current_time()
        queued_until = now + outlook.opens_s + len(self._waiters) / rate
        retry_at = max(self._returns_until.get(job.service, 0), queued_until) + 1 / rate
        if retry_at <= now + LONGEST_RETURN_S:
            self._returns_until[job.service] = retry_at
        return heeded_s(retry_at - now, job.caller_left_s)

    def _release(self, waiter: _Waiter) -> None:
        waiter.decided.set()
        self._waiters.pop(waiter, None)
        self._limits.fresh.set()

    def _outlook(self, waiter: _Waiter) -> _Outlook:
        back_offs = {one: self._words.belief_of(one).rest_left_s(trio.current_time()) for one in waiter.starts}
        opens_s = min(back_offs.values(), default=0)
        # Runners whose back-off outlasts this can't serve the request in time.
        in_time_s = max(opens_s, waiter.due_s)
        rates = (self._rate(one, waiter.job) for one, left_s in back_offs.items() if left_s <= in_time_s)
        return _Outlook(opens_s, sum(rates))

    def _rate(self, start: Start, job: Job) -> float:
        limit = self._limits.expected_rate(start, job.priority)
        ramp_up = RATE_AFTER_REST if math.isfinite(self._room_of(start)) else math.inf
        return ramp_up if limit is None else min(limit, ramp_up)


def rank_of(job: Job) -> Rank:
    """Return the rank in which ``job`` gets a permit: by priority, then by worth, which is less for a late answer."""
    size = 1 if job.req.prompt is None else 1 + job.req.prompt.tokens
    timely = job.on_time_s > (1 - ON_TIME_SHARE) * job.route.target_s
    worth = size if timely else LATE_SHARE * size
    return Rank.of(job.priority, worth)


def _patient_until(job: Job) -> float:
    """Return until when ``job`` may wait, as a time of the trio clock.

    A retry, or a request that was sent before, may wait while it can be answered
    at all; any other while it can be on time, or for its share of the time that
    its caller waits, if that is longer.
    """
    if job.returned or job.sends:
        return job.first_deadline - MIN_SPARE_S
    allowed_s = MAX_WAIT_SHARE * (job.first_deadline - job.req.arrived)
    return job.req.arrived + max(job.route.target_s, allowed_s)


def _due_by(job: Job) -> float:
    """Return by when ``job`` must be sent to be on time, or for a retry or resend to be answered at all."""
    if job.returned or job.sends:
        return _patient_until(job)
    return job.req.arrived + ON_TIME_SHARE * job.route.target_s


def _shown(rate: float) -> float | None:
    return None if math.isinf(rate) else round(rate, 3)


def _order(waiter: _Waiter) -> tuple[Rank, float]:
    return waiter.order


__all__ = ('Places', 'rank_of')
