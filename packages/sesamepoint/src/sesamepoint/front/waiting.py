"""Queue of requests that wait at this instance for an engine."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio

from sesamepoint.front.backlog import Need
from sesamepoint.front.choice import urgency
from sesamepoint.front.lines import Lines, Waiter, line_of, must_wait
from sesamepoint.front.sends import LONG_WORK_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.choice import Chooser
    from sesamepoint.front.engine_plan import EnginePlan
    from sesamepoint.front.job import Job
    from sesamepoint.front.sends import SendNotes

# Interval between two passes over the queue, in seconds: short against the work of
# one prompt. It is longer after a pass that released nothing: with hundreds of waiting
# requests the passes took a whole processor, and disconnected callers were noticed
# half a second late.
LOOK_S = 0.005
VAIN_LOOK_S = 0.015
# When an engine becomes free, an instance delays long work by a random time of up to
# this many seconds. Without it, each instance with queued requests sent one within the
# 7 ms that announcements take, and an engine meant to have 0.1 s of work had 0.3 to 0.8 s.
BACK_OFF_S = 0.04
# After this many requests of a route that could not be released, a pass skips the rest
# of the route: they would mostly fail too.
VAIN_LOOKS = 1
# A request that can't be on time waits for no more than this share of the time that its
# caller waits. An accepted request should be served in any case, and estimates of a wait
# are off by half or more. With three quarters, most were still not served, and
# their callers retried too late to be.
MAX_WAIT_SHARE = 0.4


class WaitingRoom:
    """Releases waiting requests to engines, those that can be on time first.

    One task serves the whole queue. With a timer for each request, a burst of
    some hundred would take the whole processor and starve requests in progress.
    """

    def __init__(self, chooser: Chooser, sends: SendNotes, rng: Random) -> None:
        """Plan each request by runner selection, and report the queue to peers through ``sends``."""
        self._chooser = chooser
        self._sends = sends
        self._rng = rng
        self._lines = Lines(chooser, sends.backlog)
        self._send_at: dict[str, float] = {}
        self._waiters: dict[Waiter, None] = {}
        self._somebody = trio.Event()

    def holds(self, job: Job, plan: EnginePlan) -> bool:
        """Tell whether a request that arrives now with ``plan`` has to wait.

        It has to even if its prefill engine is free, when requests that can be
        on time are already queued for prefill engines.
        """
        if must_wait(plan):
            return True
        queue = line_of(job, plan)
        if queue.need is not Need.prefill:
            return False
        return any(waiter.line == queue and not waiter.late for waiter in self._waiters)

    async def plan(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> EnginePlan | None:
        """Wait until an engine is nearly free for the request.

        Returns
        -------
        EnginePlan | None
            The newest plan; None if the request is refused or no engine can run it.
        """
        waiter = Waiter(job, prompt, cfg, plan)
        if self._refuses(waiter):
            return None
        self._waiters[waiter] = None
        self._somebody.set()
        self._sends.fresh.set()
        began = trio.current_time()
        try:
            await waiter.due.wait()
        finally:
            self._waiters.pop(waiter, None)
            job.notes.held_s += trio.current_time() - began
        return waiter.plan

    async def run(self) -> None:
        """Serve the queue until cancelled."""
        while True:
            await self._somebody.wait()
            released = await self._look()
            if not self._waiters:
                self._somebody = trio.Event()
            await trio.sleep(LOOK_S if released else VAIN_LOOK_S)

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def wanting(self, runner: str) -> list[Job]:
        """Return the jobs that wait for a permit for prefill at ``runner``."""
        return [one.job for one in self._waiters if one.waits_for_permit_of(runner)]

    def _refuses(self, waiter: Waiter) -> bool:
        """Refuse a new request that would wait too long, and set its retry time; return whether it is refused."""
        queued = [other for other in self._waiters if other.line == waiter.line]
        self._lines.receive(waiter, queued)
        if not waiter.late or not waiter.refusable:
            return False
        if self._lines.rivals(waiter.line) and not waiter.small and not waiter.job.returned:
            waiter.refuse(waiter.job.caller_left_s)
            return True
        if waiter.job.returned:
            return self._refuses_returned(waiter)
        wait_s = waiter.expected_s
        if wait_s <= MAX_WAIT_SHARE * waiter.job.first_left_s:
            return False
        waiter.refuse(wait_s)
        return True

    def _refuses_returned(self, waiter: Waiter) -> bool:
        """Refuse the retry of a caller only if it can't be served at all; return whether it is refused.

        Callers retry once or a few times. When retries were refused like first
        attempts, 15 of 2,000 callers were never served on a quiet day, and 30 to
        60 of 3,000 on days with failures.
        """
        if waiter.expected_s <= waiter.spare_s and not waiter.too_late:
            return False
        waiter.refuse(waiter.expected_s)
        return True

    async def _look(self) -> bool:
        """Make one pass over the queue; return whether a request was released to an engine.

        Urgent retries come first, then requests that can be on time, then late ones.
        """
        self._lines.sort(self._waiters)
        refused = [one for one in self._waiters if self._hopeless(one)]
        for waiter in refused:
            waiter.refuse(waiter.job.caller_left_s)
            self._release(waiter)
        urgent = await self._look_at([one for one in self._waiters if one.last_call])
        timely = await self._look_at([one for one in self._waiters if not one.late])
        late = await self._look_at(sorted((one for one in self._waiters if one.late), key=_large_last))
        self._lines.note(self._waiters)
        return urgent or timely or late

    def _hopeless(self, waiter: Waiter) -> bool:
        """Tell whether to refuse a queued request so that its caller retries later.

        Requests that can be on time go first. When late ones stayed queued behind
        them, half of those were abandoned after 0.8 s, and their callers retried
        into the same burst. Refused at once, callers retry when the burst may be
        over. A retry, or a request already past its target, gains nothing from a
        refusal: it stays for as long as it can be answered.
        """
        if not waiter.late or not waiter.refusable:
            return False
        if waiter.job.returned or waiter.job.on_time_s <= 0:
            return waiter.too_late
        return not waiter.small and self._lines.rivals(waiter.line) > 0

    async def _look_at(self, waiters: Iterable[Waiter]) -> bool:
        failed: Counter[str] = Counter()
        released = False
        for waiter in waiters:
            route = waiter.job.route.name
            if failed[route] >= VAIN_LOOKS or waiter not in self._waiters:
                continue
            if self._try(waiter):
                released = True
                # Work counts towards the load of an engine once it is sent. Without
                # this checkpoint the next request would find the engine still free.
                await trio.lowlevel.checkpoint()
            else:
                failed[route] += 1
        return released

    def _try(self, waiter: Waiter) -> bool:
        """Release ``waiter`` with a new plan if its engine is free or no engine can run it; return whether it was."""
        plan = self._chooser.engine(waiter.job, waiter.prompt, waiter.cfg)
        waiter.plan = plan
        if plan is not None:
            waiter.take(plan)
            if not self._may_send(plan):
                return False
            if waiter.last_call:
                # At the rank of late requests it would also wait at the engine, behind
                # all later requests that can be on time.
                waiter.plan = plan._replace(rank=urgency(waiter.job))
        self._release(waiter)
        return True

    def _release(self, waiter: Waiter) -> None:
        waiter.due.set()
        self._waiters.pop(waiter, None)

    def _may_send(self, plan: EnginePlan) -> bool:
        """Tell whether the first engine is free, and for long work has been for a random delay."""
        runner = plan.view.runner
        if must_wait(plan):
            self._send_at.pop(runner, None)
            return False
        if plan.path.work_s < LONG_WORK_S:
            return True
        now = trio.current_time()
        send_at = self._send_at.setdefault(runner, now + self._rng.uniform(0, BACK_OFF_S))
        if now < send_at:
            return False
        self._send_at.pop(runner)
        return True


def _large_last(waiter: Waiter) -> bool:
    return not waiter.small


__all__ = ('WaitingRoom',)
