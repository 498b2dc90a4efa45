"""Triage of queued requests: which can be on time, and how long each waits."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from sesamepoint_core.serving.deadline_check import WaitingRequest, late_requests
from sesamepoint_core.serving.runner import Stage
from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.engines.backlog import Need, QueueKey, QueuedWork
from sesamepoint.front.fair_share.account_shares import EQUAL_SHARE
from sesamepoint.front.requests.retry_after import capped_retry_after_s

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.engines.backlog import Backlog
    from sesamepoint.front.engines.engine_plan import EnginePlan
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.runner_selection import RunnerSelector

# Work that an engine may have, in seconds, before requests are queued here: enough to
# keep it busy for the 30 ms that an announcement to peers takes.
MAX_ENGINE_BACKLOG_S = 0.1
# A request that gains nothing by a refusal goes before others from this many seconds
# before it can no longer be answered. This covers the work that an engine may already have, and an
# error of as much again.
RETRY_SLACK_S = 0.3
# A request with less slack than this many seconds, or than this share of its work takes,
# can't be answered any more. In bursts of 430 prompts no caller, or one, that was released
# later than that stayed without an answer, with 0.2 s as with 0.3 s. With the whole of its
# work, the largest requests had 0.3 s in which they could be released.
MIN_SLACK_S = 0.2
MIN_SLACK_WORK_SHARE = 0.5
# A request is due no earlier than after this many times the time that it takes at an idle engine. Compared
# with its target alone, a large one was late behind any other work, and refused for it.
DUE_BY_SIZE_FACTOR = 1.5
# Requests of fewer engine seconds are served late rather than refused: they delay others
# by less than the gap between two long prompts, while their callers would have to wait
# for a third of their time to retry.
SMALL_WORK_S = 0.03


class Waiter:
    """One waiting request; ``plan`` is final once the request is released or refused."""

    def __init__(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> None:
        """Wait because the engines of ``plan`` are too busy."""
        self.job = job
        self.prompt = prompt
        self.cfg = cfg
        self.plan: EnginePlan | None = plan
        self.late = False
        self.expected_s: float = 0
        self.share = EQUAL_SHARE
        self.decided = trio.Event()
        self.turn = WaitingRequest(0, 0)
        self.update_plan(plan)

    def update_plan(self, plan: EnginePlan) -> None:
        """Replace the newest plan, which decides the queue."""
        self.queue = queue_key_of(self.job, plan)
        self._newest_plan = plan

    def set_expected_wait(self, wait_s: float) -> None:
        """Set the expected wait to ``wait_s``; the log line of the request has the first estimate."""
        self.expected_s = wait_s
        trace = self.job.trace
        if trace.wait_expected_s is None:
            trace.wait_expected_s = wait_s
            trace.need = self.queue.need.value

    def waits_for_permit_of(self, runner: str) -> bool:
        """Tell whether it waits for a permit for prefill at ``runner``, by the newest plan."""
        return not self._newest_plan.admitted and self._newest_plan.view.runner == runner

    @property
    def waits_for_engine(self) -> bool:
        """Tell whether it waits for an engine that admits it, by the newest plan, and not for a permit."""
        return self._newest_plan.admitted

    @property
    def refusable(self) -> bool:
        """Tell whether it may be refused: not once it was sent, since part of an answer may have gone out."""
        return not self.job.sends

    @property
    def small(self) -> bool:
        """Tell whether its work is so small that serving it late hardly delays others."""
        return self.turn.work_s < SMALL_WORK_S

    @property
    def idle_first_s(self) -> float:
        """Return the seconds until its first event if no engine had any other work."""
        return self._newest_plan.placement.first_s - self._newest_plan.view.wait_s

    @property
    def slack_s(self) -> float:
        """Return for how many seconds it may still wait and be answered before its deadline."""
        return self.job.first_output_left_s - self.idle_first_s

    @property
    def best_first_s(self) -> float:
        """Return the least seconds to its first event, at an idle engine that is as fast as was measured.

        Estimates that are too long before the first measurements make no request late by its size.
        """
        speed = self._newest_plan.speeds.fastest_prefill
        return speed.overhead_s + speed.prefill_s(self._newest_plan.view.uncached_tokens, self.prompt.tokens)

    @property
    def late_when_idle(self) -> bool:
        """Tell whether it would be late even if no engine had any other work."""
        return self.best_first_s > self.job.route.target_s

    @property
    def gains_by_return(self) -> bool:
        """Tell whether its caller may be served better when it comes back after a refusal.

        A caller that has come back won't again. A request that is late by its size alone
        is late then too, with less time left: as long as such requests were refused like
        others, the largest of a kind were served half as often as the kind, or less.
        """
        return not (self.job.caller_retry or self.share.protected or self.late_when_idle)

    @property
    def urgent(self) -> bool:
        """Tell whether it goes before all others.

        That is a stream that goes on, whose caller waits between two events, or a request
        close to its latest start time that gains nothing by a refusal.
        """
        if self.job.goes_on:
            return True
        if not (self.job.caller_retry or self.late_when_idle):
            return False
        return self.slack_s < RETRY_SLACK_S + self._newest_plan.placement.work_s

    @property
    def unservable(self) -> bool:
        """Tell whether too little time is left for an answer."""
        return self.slack_s < max(MIN_SLACK_S, MIN_SLACK_WORK_SHARE * self._newest_plan.placement.work_s)

    def refuse(self, wait_s: float) -> None:
        """Refuse the request; its caller may retry after ``wait_s``, capped to a share of the time that it has left.

        If its account is above its share, the caller may retry when there is room in the share.
        """
        job = self.job
        self.plan = None
        above = self.share.above or not self.share.admitted
        job.retry_after_s = capped_retry_after_s(
            max(wait_s, self.share.room_in_s) if above else wait_s, job.caller_left_s
        )
        job.trace.refused = True
        events.log_event(
            events.REQUEST_REFUSED_SHARE if above else events.REQUEST_REFUSED,
            request=job.req.request_id,
            need=self.queue.need.value,
            work_ms=whole_ms(self.turn.work_s),
            due_ms=whole_ms(self.turn.due_s),
            left_ms=whole_ms(job.first_output_left_s),
            idle_first_ms=whole_ms(self.best_first_s),
            on_time_when_idle=not self.late_when_idle,
            returned=job.caller_retry,
            tokens=self.prompt.tokens,
            answer_tokens=self.prompt.max_output,
            retry_after_s=job.retry_after_s,
        )

    def update_turn(self, slot_s: float) -> None:
        """Compute by when an engine must have done its work, from now.

        Parameters
        ----------
        slot_s
            Seconds for which an answer of its route occupies an engine slot.
        """
        plan = self._newest_plan
        after_s = self.idle_first_s - plan.placement.work_s
        # In terms of the service's median engine, like the capacity of the engines.
        work_s = plan.placement.work_s / plan.view.prefill_factor
        if self.queue.need is Need.slot:
            work_s = slot_s / plan.decode.runner.slots
        self.turn = WaitingRequest(self._due_in_s() - after_s, work_s)

    def _due_in_s(self) -> float:
        """Return the seconds left until its first event is due: by its target, or by its size if that takes longer."""
        if self.job.caller_retry:
            return 0
        target_s = self.job.route.target_s
        return self.job.target_left_s + max(DUE_BY_SIZE_FACTOR * self.best_first_s - target_s, 0)


class QueueTriage:
    """Finds the late requests of each queue, taking the queued work of peers into account."""

    def __init__(self, selector: RunnerSelector, backlog: Backlog) -> None:
        """Take engines from runner selection, and the queued work of peers from ``backlog``."""
        self._selector = selector
        self._backlog = backlog

    def mark_late(self, waiters: Iterable[Waiter]) -> None:
        """Mark which of the waiting requests are late, and publish the queued work to peers."""
        queues: dict[QueueKey, list[Waiter]] = {}
        for waiter in waiters:
            queues.setdefault(waiter.queue, []).append(waiter)
        for queued in queues.values():
            self._triage_queue(queued)
        self.publish(waiters)

    def publish(self, waiters: Iterable[Waiter]) -> None:
        """Set the queued work that peers are sent.

        An empty queue is published too: otherwise requests that have gone would
        keep raising the price of engines, and late requests would be refused for it.
        """
        by_target: dict[tuple[QueueKey, float], list[Waiter]] = {}
        for waiter in waiters:
            by_target.setdefault((waiter.queue, waiter.job.route.target_s), []).append(waiter)
        self._backlog.own = tuple(map(_queued_work, by_target.values()))

    def assess(self, newcomer: Waiter, queued: Sequence[Waiter]) -> None:
        """Find out whether ``newcomer`` is late behind the requests due before it, here and at peers.

        Of requests at peers only the target of the route is known: those with a
        longer target count as due after it. When they were counted before it,
        long prompts retried after an outage caused refusals of short ones that
        take 4 ms.
        """
        newcomer.update_turn(self._selector.slot_s(newcomer.job.route.name))
        target_s = newcomer.job.route.target_s
        before_s = _work_s(one for one in queued if not one.late and _goes_before(one, newcomer))
        at_peers = (work.timely_work_s for work in self._at_peers(newcomer) if work.target_s <= target_s)
        before_s += self._peer_share(newcomer.queue) * sum(at_peers)
        begin_s = _engine_free_s(newcomer.queue) + before_s / self._capacity(newcomer)
        newcomer.late = begin_s + newcomer.turn.work_s > newcomer.turn.due_s
        if newcomer.late:
            begin_s = self.wait_s([*(one for one in queued if one.share.order <= newcomer.share.order), newcomer])
        newcomer.set_expected_wait(begin_s)

    def wait_s(self, queued: Sequence[Waiter]) -> float:
        """Return the seconds until all waiters of a queue are done, late ones and those at peers included.

        The last of ``queued`` decides whether the work of accounts above their shares counts.
        """
        at_peers_s = sum(work.timely_work_s + work.late_work_s for work in self._at_peers(queued[-1]))
        work_s = _work_s(queued) + self._peer_share(queued[0].queue) * at_peers_s
        return _engine_free_s(queued[0].queue) + work_s / self._capacity(queued[0])

    def count_timely(self, queue: QueueKey) -> float:
        """Return how many requests of a queue can be on time, at all instances."""
        return self._backlog.count_requests(queue)

    def count_timely_before(self, waiter: Waiter) -> float:
        """Return how many requests that can be on time may go before a late one, at all instances."""
        if waiter.share.above:
            return self.count_timely(waiter.queue)
        return self._backlog.count_within_shares(waiter.queue)

    def _triage_queue(self, queued: Sequence[Waiter]) -> None:
        for waiter in queued:
            waiter.update_turn(self._selector.slot_s(waiter.job.route.name))
        late = late_requests(
            [one.turn for one in queued],
            _engine_free_s(queued[0].queue),
            self._contention_factor(queued),
            [one.share.order for one in queued],
        )
        for index, waiter in enumerate(queued):
            waiter.late = index in late

    def _contention_factor(self, queued: Sequence[Waiter]) -> float:
        """Return the seconds that pass for each engine second of a queue.

        Peers with queued work take turns with this instance, for as long as they
        have any.
        """
        at_peers = self._at_peers(min(queued, key=_share_order))
        own_s = _work_s(queued)
        share = self._peer_share(queued[0].queue)
        competing = min(len(at_peers), sum(one.timely_work_s for one in at_peers) / own_s) if own_s else 0
        return (1 + share * competing) / self._capacity(queued[0])

    def _capacity(self, waiter: Waiter) -> float:
        """Return the engines that may serve a queue, as a number of median engines of their service."""
        if waiter.queue.need is Need.slot:
            return max(self._selector.count_engines(waiter.job, Stage.decode), 1)
        return self._selector.engine_capacity(waiter.job, _stage_of(waiter.queue)) or 1

    def _at_peers(self, waiter: Waiter) -> list[QueuedWork]:
        """Return the work at peers that may go before ``waiter``."""
        at_peers = self._backlog.at_peers(waiter.queue)
        return at_peers if waiter.share.above else [work.within_shares() for work in at_peers]

    def _peer_share(self, queue: QueueKey) -> float:
        return self._selector.share_of(queue.service, _stage_of(queue))


def engines_busy(plan: EnginePlan) -> bool:
    """Tell whether the engines of ``plan`` are too busy for it, or have no permit."""
    return plan.view.wait_s > MAX_ENGINE_BACKLOG_S or plan.decode_full or not plan.admitted


def queue_key_of(job: Job, plan: EnginePlan) -> QueueKey:
    """Return the queue in which ``job`` waits for the engines of ``plan``."""
    if plan.decode_full:
        return QueueKey(job.service, Need.slot)
    return QueueKey(job.service, Need.decode if plan.prefill is None else Need.prefill)


def _stage_of(queue: QueueKey) -> Stage:
    return Stage.prefill if queue.need is Need.prefill else Stage.decode


def _engine_free_s(queue: QueueKey) -> float:
    """Return the seconds until an engine takes the next request while requests are queued for it."""
    return 0 if queue.need is Need.slot else MAX_ENGINE_BACKLOG_S


def _work_s(waiters: Iterable[Waiter]) -> float:
    return sum(waiter.turn.work_s for waiter in waiters)


def _goes_before(other: Waiter, newcomer: Waiter) -> bool:
    return (other.share.order, other.turn.due_s) <= (newcomer.share.order, newcomer.turn.due_s)


def _share_order(waiter: Waiter) -> tuple[int, float]:
    return waiter.share.order


def _queued_work(queued: Sequence[Waiter]) -> QueuedWork:
    timely = [waiter for waiter in queued if not waiter.late]
    above = [waiter for waiter in queued if waiter.share.above]
    above_timely = [waiter for waiter in above if not waiter.late]
    return QueuedWork(
        queued[0].queue,
        queued[0].job.route.target_s,
        len(timely),
        _work_s(timely),
        _work_s(queued) - _work_s(timely),
        len(above_timely),
        _work_s(above_timely),
        _work_s(above) - _work_s(above_timely),
    )


__all__ = ('QueueTriage', 'Waiter', 'engines_busy', 'queue_key_of')
