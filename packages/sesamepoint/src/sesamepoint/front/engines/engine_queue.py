"""Queue of requests that wait at this instance for an engine."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio

from sesamepoint.front.engines.backlog import Need
from sesamepoint.front.engines.engine_sends import LONG_PREFILL_S
from sesamepoint.front.engines.queue_triage import QueueTriage, Waiter, engines_busy, queue_key_of
from sesamepoint.front.runners.runner_selection import queue_rank

if TYPE_CHECKING:
    from collections.abc import Container, Iterable
    from random import Random

    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint_core.stream_origin.origin import StreamOrigin
    from sesamepoint.front.engines.backlog import QueueKey
    from sesamepoint.front.engines.engine_plan import EnginePlan
    from sesamepoint.front.engines.engine_sends import SendTracker
    from sesamepoint.front.fair_share.account_shares import AccountShares
    from sesamepoint.front.requests.job import Job
    from sesamepoint.front.runners.runner_selection import RunnerSelector

# Interval between two passes over the queue, in seconds: short against the work of
# one prompt. It is longer after a pass that released nothing: with hundreds of waiting
# requests the passes took a whole processor, and disconnected callers were noticed
# half a second late.
POLL_INTERVAL_S = 0.005
IDLE_POLL_INTERVAL_S = 0.015
# When an engine becomes free, an instance delays long work by a random time of up to
# this many seconds. Without it, each instance with queued requests sent one within the
# 7 ms that announcements take, and an engine meant to have 0.1 s of work had 0.3 to 0.8 s.
MAX_JITTER_S = 0.04
# After this many requests of a route, and origin, that could not be released, a pass skips the rest
# of the route: they would mostly fail too.
MAX_FAILED_TRIES = 1
# A request that can't be on time waits for no more than this share of the time that its
# caller waits. An accepted request should be served in any case, and estimates of a wait
# are off by half or more. With three quarters, most were still not served, and
# their callers retried too late to be.
MAX_WAIT_SHARE = 0.4


class EngineQueue:
    """Releases waiting requests to engines, those that can be on time first.

    One task serves the whole queue. With a timer for each request, a burst of
    some hundred would take the whole processor and starve requests in progress.
    """

    def __init__(
        self, selector: RunnerSelector, sends: SendTracker, rng: Random, account_shares: AccountShares
    ) -> None:
        """Plan each request by runner selection, and report the queue to peers through ``sends``."""
        self._account_shares = account_shares
        self._selector = selector
        self._sends = sends
        self._rng = rng
        self._queue_triage = QueueTriage(selector, sends.backlog)
        self._send_at: dict[str, float] = {}
        self._waiters: dict[Waiter, None] = {}
        self._nonempty = trio.Event()

    def must_queue(self, job: Job, plan: EnginePlan) -> bool:
        """Tell whether a request that arrives now with ``plan`` has to wait.

        It has to even if its prefill engine is free, when requests that can be
        on time are already queued for prefill engines, or requests that go before
        it by their accounts for any engines. A stream that goes on waits for busy engines only.
        """
        if engines_busy(plan):
            return True
        if not self._waiters or job.goes_on:
            return False
        queue = queue_key_of(job, plan)
        order = self._account_shares.share_of(job).order
        queued = [waiter for waiter in self._waiters if waiter.queue == queue and waiter.share.order <= order]
        if any(waiter.share.order < order for waiter in queued):
            return True
        return queue.need is Need.prefill and any(not waiter.late for waiter in queued)

    async def wait_for_plan(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> EnginePlan | None:
        """Wait until an engine is nearly free for the request.

        Returns
        -------
        EnginePlan | None
            The newest plan; None if the request is refused or no engine can run it.
        """
        waiter = Waiter(job, prompt, cfg, plan)
        if self._refuse_on_arrival(waiter):
            return None
        self._waiters[waiter] = None
        self._nonempty.set()
        self._sends.pending.set()
        began = trio.current_time()
        try:
            await waiter.decided.wait()
        finally:
            self._waiters.pop(waiter, None)
            job.trace.queued_s += trio.current_time() - began
        return waiter.plan

    async def run(self) -> None:
        """Serve the queue until cancelled."""
        while True:
            await self._nonempty.wait()
            released = await self._poll()
            if not self._waiters:
                self._nonempty = trio.Event()
            await trio.sleep(POLL_INTERVAL_S if released else IDLE_POLL_INTERVAL_S)

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def waiting_for_permit(self, runner: str) -> list[Job]:
        """Return the jobs that wait for a permit for prefill at ``runner``."""
        return [one.job for one in self._waiters if one.waits_for_permit_of(runner)]

    def _refuse_on_arrival(self, waiter: Waiter) -> bool:
        """Refuse a new request that would wait too long, and set its retry time; return whether it is refused."""
        waiter.share = self._account_shares.share_of(waiter.job)
        queued = [other for other in self._waiters if other.queue == waiter.queue]
        self._queue_triage.assess(waiter, queued)
        if not waiter.refusable:
            return False
        if not waiter.share.admitted:
            waiter.refuse(waiter.expected_s)
            return True
        return waiter.late and self._refuse_late(waiter)

    def _refuse_late(self, waiter: Waiter) -> bool:
        """Refuse a new request that can't be on time if it would wait too long; return whether it is refused."""
        if not waiter.gains_by_return:
            return self._refuse_unservable(waiter)
        if self._queue_triage.count_timely_before(waiter) and not waiter.small:
            waiter.refuse(waiter.job.caller_left_s)
            return True
        wait_s = waiter.expected_s
        if wait_s <= MAX_WAIT_SHARE * waiter.job.first_output_left_s:
            return False
        waiter.refuse(wait_s)
        return True

    def _refuse_unservable(self, waiter: Waiter) -> bool:
        """Refuse a request that gains nothing by it only if it can't be served; return whether it is refused.

        Callers retry once or a few times. When retries were refused like first
        attempts, 15 of 2,000 callers were never served on a quiet day, and 30 to
        60 of 3,000 on days with failures.
        """
        if waiter.expected_s <= waiter.slack_s and not waiter.unservable:
            return False
        waiter.refuse(waiter.expected_s)
        return True

    async def _poll(self) -> bool:
        """Make one pass over the queue; return whether a request was released to an engine.

        Requests go in the order of their accounts. Of the same order, urgent retries
        come first, then requests that can be on time, then late ones.
        """
        for waiting in self._waiters:
            waiting.share = self._account_shares.share_of(waiting.job)
        self._queue_triage.mark_late(self._waiters)
        refused = [one for one in self._waiters if self._should_refuse(one)]
        for waiter in refused:
            waiter.refuse(waiter.job.caller_left_s)
            self._release(waiter)
        released = await self._try_all()
        self._queue_triage.publish(self._waiters)
        return released

    async def _try_all(self) -> bool:
        """Try to release each request, in the order of accounts; return whether one was released.

        An order is skipped in the queues where requests of a lower one wait for
        busy engines: these would become free for the wrong request.
        """
        released = False
        blocked: set[QueueKey] = set()
        for order in sorted({one.share.order for one in self._waiters}):
            released = await self._try_order(order, blocked) or released
            blocked.update(one.queue for one in self._of_order(order, blocked) if one.waits_for_engine)
        return released

    async def _try_order(self, order: tuple[int, float], blocked: Container[QueueKey]) -> bool:
        urgent = await self._try_each([one for one in self._of_order(order, blocked) if one.urgent])
        timely = await self._try_each([one for one in self._of_order(order, blocked) if not one.late])
        late_waiters = (one for one in self._of_order(order, blocked) if one.late)
        late = await self._try_each(sorted(late_waiters, key=_is_large))
        return urgent or timely or late

    def _of_order(self, order: tuple[int, float], blocked: Container[QueueKey]) -> list[Waiter]:
        return [one for one in self._waiters if one.share.order == order and one.queue not in blocked]

    def _should_refuse(self, waiter: Waiter) -> bool:
        """Tell whether to refuse a queued request so that its caller retries later.

        Requests that can be on time go first. When late ones stayed queued behind
        them, half of those were abandoned after 0.8 s, and their callers retried
        into the same burst. Refused at once, callers retry when the burst may be
        over. A retry, or a request already past its target, gains nothing from a
        refusal: it stays for as long as it can be answered.
        """
        if not waiter.late or not waiter.refusable:
            return False
        if not waiter.gains_by_return or waiter.job.target_left_s <= 0:
            return waiter.unservable
        return not waiter.small and self._queue_triage.count_timely_before(waiter) > 0

    async def _try_each(self, waiters: Iterable[Waiter]) -> bool:
        # Streams that go on wait for the runners of their origin, which are no others' to wait for.
        failed: Counter[tuple[str, StreamOrigin | None]] = Counter()
        released = False
        for waiter in waiters:
            group = (waiter.job.route.name, waiter.job.stream.origin)
            if failed[group] >= MAX_FAILED_TRIES or waiter not in self._waiters:
                continue
            if self._try_release(waiter):
                released = True
                # Work counts towards the load of an engine once it is sent. Without
                # this checkpoint the next request would find the engine still free.
                await trio.lowlevel.checkpoint()
            else:
                failed[group] += 1
        return released

    def _try_release(self, waiter: Waiter) -> bool:
        """Release ``waiter`` with a new plan if its engine is free or no engine can run it; return whether it was."""
        plan = self._selector.plan(waiter.job, waiter.prompt, waiter.cfg)
        waiter.plan = plan
        if plan is not None:
            waiter.update_plan(plan)
            if not self._may_send(plan):
                return False
            if waiter.urgent:
                # At the rank of late requests it would also wait at the engine, behind
                # all later requests that can be on time.
                waiter.plan = plan._replace(rank=queue_rank(waiter.job))
        self._release(waiter)
        return True

    def _release(self, waiter: Waiter) -> None:
        waiter.decided.set()
        self._waiters.pop(waiter, None)

    def _may_send(self, plan: EnginePlan) -> bool:
        """Tell whether the first engine is free, and for long work has been for a random delay."""
        runner = plan.view.runner
        if engines_busy(plan):
            self._send_at.pop(runner, None)
            return False
        if plan.placement.work_s < LONG_PREFILL_S:
            return True
        now = trio.current_time()
        send_at = self._send_at.setdefault(runner, now + self._rng.uniform(0, MAX_JITTER_S))
        if now < send_at:
            return False
        self._send_at.pop(runner)
        return True


def _is_large(waiter: Waiter) -> bool:
    return not waiter.small


__all__ = ('EngineQueue',)
