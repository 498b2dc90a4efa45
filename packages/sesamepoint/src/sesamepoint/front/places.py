"""Requests that wait, since all runners that could take them name limits or rest."""

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

# A runner without a limit may have room again: waiting requests look so often, in seconds.
LOOK_S = 0.05
# A permit is wanted beforehand for so long after a request for the service, in seconds.
LATELY_S = 1.0
# Share of the time that its caller waits for a first sign for which a request may wait
# here; a caller that is refused comes back in the rest.
MAX_WAIT_SHARE = 0.4
# From this share of the time to be on time it goes behind those that still can be: the
# rest is for its run.
ON_TIME_SHARE = 0.6
# What a late answer is worth against one on time.
LATE_SHARE = 0.3
# With less left than this, in seconds, a request would hardly be answered any more.
MIN_SPARE_S = 0.2
# A request asks for the permit of one runner at first, and after so many seconds for
# those of all: asking for more than it takes, urgent ones would use up all permits.
ASKS_ONE_S = 0.1
# Requests a second that an instance expects to send to a runner that has just rested.
RATE_AFTER_REST = 8.0
# Callers that are told to come back are spread over no more than this, in seconds.
LONGEST_RETURN_S = 10.0


class _Waiter:
    """One waiting request."""

    def __init__(self, job: Job, starts: frozenset[Start], turn: int) -> None:
        self.job = job
        self.starts = starts
        self.until = _patient_until(job)
        self._asks_first = sorted(starts)[turn % len(starts)] if starts else None
        self._began = trio.current_time()
        # How soon it had to have its turn when it came: the longer it has waited, the sooner it has.
        self.due_s = _due_by(job) - self._began
        self.decided = trio.Event()
        self.refused = False

    def asks(self, start: Start) -> bool:
        """Tell whether it asks for a permit to send to ``start``: it takes one of any that it may be sent to."""
        if trio.current_time() - self._began > ASKS_ONE_S:
            return start in self.starts
        return start == self._asks_first

    @property
    def order(self) -> tuple[Rank, float]:
        """Return what decides who goes first: priority, then size, then who has less time."""
        return rank_of(self.job), self.job.first_deadline


class _Outlook(NamedTuple):
    """When the runners that a request waits for take any, and how many a second then.

    ``rate`` is infinite if one of them takes all as soon as it has answered once.
    """

    opens_s: float
    rate: float

    def wait_s(self, ahead: int) -> float:
        """Return how long a request waits with so many before it; at the end of a rest the first goes at once."""
        if not self.rate:
            return math.inf
        return self.opens_s + ahead / self.rate if self.opens_s else (ahead + 1) / self.rate


class Places:
    """Lets waiting requests go, the most urgent first, and refuses what would wait in vain."""

    def __init__(self, words: RunnerWords, usable: Usable) -> None:
        """Wait for runners that are ``usable``, by what ``words`` has of them."""
        self._words = words
        self._limits = words.limits
        self._looked_at = -math.inf
        self._usable = usable
        self._waiters: dict[_Waiter, None] = {}
        self._turns = 0
        self._asked_at: dict[str, float] = {}
        # Until when callers that were refused have been told to come back, by service.
        self._returns_until: dict[str, float] = {}

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def note_request(self, service: str) -> None:
        """Note that there is a request for ``service``: a permit may be wanted soon."""
        self._asked_at[service] = trio.current_time()

    async def wait(self, job: Job) -> bool:
        """Wait until ``job`` may be sent to some runner; False if it is refused or there is no runner to wait for."""
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
        """Return the permits that are wanted for ``member``, also for jobs ``held`` elsewhere; there are ``stock``."""
        ranks = [rank_of(waiter.job) for waiter in self._waiters if waiter.asks(member.start)]
        ranks.extend(rank_of(job) for job in held)
        lately = trio.current_time() - self._asked_at.get(member.runner.service, -math.inf) < LATELY_S
        first = min(ranks, default=NOTHING_WAITS)
        # The others have their turn when these are through, at a rank of their own.
        alike = sum(rank.priority == first.priority for rank in ranks)
        return Wish(max(alike - stock, lately - stock, 0), first)

    def hand_out(self, start: Start) -> None:
        """Let requests go that wait for the runner of ``start``, as far as there are permits."""
        for waiter in sorted(self._waiting_for(start), key=_order):
            if not self._limits.reserve(start, waiter.job):
                return
            self._release(waiter)

    def let_go(self) -> None:
        """Let requests go that may be sent to some runner by now, to one that has rested a few at a time."""
        self._looked_at = trio.current_time()
        room: dict[Start, float] = {}
        for waiter in sorted(self._waiters, key=_order):
            for member in self._usable.open_to(waiter.job):
                start = member.start
                left = room.get(start, self._room(member))
                if left > 0:
                    room[start] = left - 1
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
        """Refuse at once those that would wait for longer than they can, behind all that go before them."""
        ahead = 0
        for waiter in sorted(self._waiters, key=_order):
            if self._outlook(waiter).wait_s(ahead) <= waiter.due_s:
                ahead += 1
            else:
                self._refuse(waiter)

    def _refuse(self, waiter: _Waiter) -> None:
        job = waiter.job
        waiter.refused = True
        job.notes.refused = True
        outlook = self._outlook(waiter)
        rest = any(math.isfinite(self._room_of(start)) for start in waiter.starts)
        job.notes.held_back = Cause.resting if rest else Cause.limited
        job.retry_after_s = self._return_s(job, outlook)
        events.log_event(
            events.REST_REFUSED if rest else events.LIMIT_REFUSED,
            request=job.req.request_id,
            runners=sorted(start.runner for start in waiter.starts),
            waiting=len(self._waiters),
            opens_ms=whole_ms(outlook.opens_s),
            rate=_shown(outlook.rate),
            left_ms=whole_ms(job.first_left_s),
            retry_after_s=job.retry_after_s,
        )
        self._release(waiter)

    def _return_s(self, job: Job, outlook: _Outlook) -> float:
        """Return when its caller may come back: each refused one gets a place in the rate to come."""
        rate = outlook.rate
        if not rate or math.isinf(rate):
            return when_unknown_s(job.caller_left_s)
        now = trio.current_time()
        queued_until = now + outlook.opens_s + len(self._waiters) / rate
        returns_at = max(self._returns_until.get(job.service, 0), queued_until) + 1 / rate
        if returns_at <= now + LONGEST_RETURN_S:
            self._returns_until[job.service] = returns_at
        return heeded_s(returns_at - now, job.caller_left_s)

    def _release(self, waiter: _Waiter) -> None:
        waiter.decided.set()
        self._waiters.pop(waiter, None)
        self._limits.fresh.set()

    def _outlook(self, waiter: _Waiter) -> _Outlook:
        rests = {start: self._words.belief_of(start).rest_left_s(trio.current_time()) for start in waiter.starts}
        opens_s = min(rests.values(), default=0)
        # Of those that rest for longer it has nothing.
        in_time_s = max(opens_s, waiter.due_s)
        rates = (self._rate(start, waiter.job) for start, rest_s in rests.items() if rest_s <= in_time_s)
        return _Outlook(opens_s, sum(rates))

    def _rate(self, start: Start, job: Job) -> float:
        limit = self._limits.expected_rate(start, job.priority)
        after_rest = RATE_AFTER_REST if math.isfinite(self._room_of(start)) else math.inf
        return after_rest if limit is None else min(limit, after_rest)


def rank_of(job: Job) -> Rank:
    """Return the rank in which ``job`` gets a permit: by priority, then by worth, of which a late answer has less."""
    size = 1 if job.req.prompt is None else 1 + job.req.prompt.tokens
    timely = job.on_time_s > (1 - ON_TIME_SHARE) * job.route.target_s
    worth = size if timely else LATE_SHARE * size
    return Rank.of(job.priority, worth)


def _patient_until(job: Job) -> float:
    """Return until when ``job`` may wait: while it can be on time, or at the end to be answered at all."""
    if job.returned or job.sends:
        return job.first_deadline - MIN_SPARE_S
    allowed_s = MAX_WAIT_SHARE * (job.first_deadline - job.req.arrived)
    return job.req.arrived + max(job.route.target_s, allowed_s)


def _due_by(job: Job) -> float:
    """Return by when ``job`` has to have its turn to be on time, or to be answered if it can't be."""
    if job.returned or job.sends:
        return _patient_until(job)
    return job.req.arrived + ON_TIME_SHARE * job.route.target_s


def _shown(rate: float) -> float | None:
    return None if math.isinf(rate) else round(rate, 3)


def _order(waiter: _Waiter) -> tuple[Rank, float]:
    return waiter.order


__all__ = ('Places', 'rank_of')
