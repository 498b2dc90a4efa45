"""Requests that wait at this entry for an engine."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.units import whole_ms
from sesamepoint import events
from sesamepoint.front.choice import LATE_RANK

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from sesamepoint_core.serving.prompt import Prompt
    from sesamepoint_core.serving.routes import Configuration
    from sesamepoint.front.choice import Chooser, EnginePlan
    from sesamepoint.front.job import Job

# Work that an engine may have before more is held back here: enough to keep
# it busy over the 30 ms that a word to the other entries takes.
HOLD_ABOVE_S = 0.1
# Pause between two looks at the waiting requests, in seconds: short against
# the work of one prompt. After a look in vain the next one may come later:
# with hundreds of requests waiting, looking took all of the processor, and
# the leaving of callers was noticed half a second late.
LOOK_S = 0.005
VAIN_LOOK_S = 0.015
# When an engine becomes free, entries wait for a moment drawn from this span
# before one sends: without it, all that hold requests sent one each in the
# 7 ms that their words to each other take, and an engine that was to have
# 0.1 s of work had 0.3 to 0.8 s.
BACK_OFF_S = 0.04
# Requests of one route that are looked at in vain before the rest of the
# route waits for the next look; they would mostly find the same.
VAIN_LOOKS = 1
# A request that would have to wait for more than this share of its time is
# refused at once: what is let in should be served in any case, and a guess
# of a wait is off by half and more.
MAX_WAIT_SHARE = 0.4
# Callers come back no later than this share of their time; it is the most
# that they heed.
MAX_RETRY_SHARE = 1 / 3


class Waiter:
    """One waiting request; ``plan`` is set when its time has come."""

    def __init__(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> None:
        """Wait since ``plan`` came out as too busy."""
        self.job = job
        self.prompt = prompt
        self.cfg = cfg
        self.plan: EnginePlan | None = plan
        self.work_s = plan.path.work_s
        self.late = plan.rank == LATE_RANK
        self.due = trio.Event()


class WaitingRoom:
    """Lets waiting requests go to engines, those that can be on time first.

    One task looks after all of them: with a timer each, a burst of some
    hundred would take the whole processor and starve what is under way.
    """

    def __init__(self, chooser: Chooser, entries: Callable[[], int], rng: Random) -> None:
        """Ask ``chooser`` for the ways, and ``entries`` how many entries there are."""
        self._chooser = chooser
        self._entries = entries
        self._rng = rng
        self._send_at: dict[str, float] = {}
        self._waiters: dict[Waiter, None] = {}
        self._somebody = trio.Event()

    async def plan(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> EnginePlan | None:
        """Wait until some engine has nearly got to the request."""
        waiter = Waiter(job, prompt, cfg, plan)
        self._waiters[waiter] = None
        self._somebody.set()
        try:
            await waiter.due.wait()
        finally:
            self._waiters.pop(waiter, None)
        return waiter.plan

    async def run(self) -> None:
        """Look after waiting requests until cancelled."""
        while True:
            await self._somebody.wait()
            let_go = self._look()
            if not self._waiters:
                self._somebody = trio.Event()
            await trio.sleep(LOOK_S if let_go else VAIN_LOOK_S)

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def refuses(self, job: Job, plan: EnginePlan) -> bool:
        """Turn away what would wait too long, with a time to come back."""
        if job.sends:
            # Part of an answer may have gone out; what is left has to follow.
            return False
        wait_s = plan.view.wait_s + self._expected_s(job)
        if wait_s + plan.path.first_s <= MAX_WAIT_SHARE * job.first_left_s:
            return False
        job.retry_after_s = min(wait_s, MAX_RETRY_SHARE * job.left_s)
        job.refused = True
        events.log_event(
            events.REQUEST_REFUSED,
            request=job.req.request_id,
            wait_ms=whole_ms(wait_s),
            left_ms=whole_ms(job.first_left_s),
            retry_after_s=job.retry_after_s,
        )
        return True

    def _expected_s(self, job: Job) -> float:
        """Return the wait behind those that wait here, if all entries are alike."""
        work_s = sum(waiter.work_s for waiter in self._waiters)
        return work_s * self._entries() / max(self._chooser.engines(job), 1)

    def _look(self) -> bool:
        """Look at those that can be on time, then at the rest; tell if one went."""
        readers: set[str] = set()
        self._look_at([waiter for waiter in self._waiters if not waiter.late], readers)
        self._look_at([waiter for waiter in self._waiters if waiter.late], readers)
        return bool(readers)

    def _look_at(self, waiters: Iterable[Waiter], readers: set[str]) -> None:
        vain: Counter[str] = Counter()
        for waiter in waiters:
            route = waiter.job.route.name
            if vain[route] < VAIN_LOOKS and not self._try(waiter, readers):
                vain[route] += 1

    def _try(self, waiter: Waiter, readers: set[str]) -> bool:
        """Let ``waiter`` go if it may; one a look to each engine.

        Its work counts only from the moment at which it is sent, so a second
        one in the same look would find the engine as free as the first did.
        """
        plan = self._chooser.engine(waiter.job, waiter.prompt, waiter.cfg)
        waiter.plan = plan
        if plan is not None:
            waiter.late = plan.rank == LATE_RANK
            if not self._may_send(plan) or plan.view.runner in readers:
                return False
            readers.add(plan.view.runner)
        waiter.due.set()
        self._waiters.pop(waiter)
        return True

    def _may_send(self, plan: EnginePlan) -> bool:
        """Tell whether the engine is free, and was so for a while drawn by lot."""
        reader = plan.view.runner
        if must_wait(plan):
            self._send_at.pop(reader, None)
            return False
        now = trio.current_time()
        send_at = self._send_at.setdefault(reader, now + self._rng.uniform(0, BACK_OFF_S))
        if now < send_at:
            return False
        self._send_at.pop(reader)
        return True


def must_wait(plan: EnginePlan) -> bool:
    """Tell whether the engines of ``plan`` are too busy for it."""
    return plan.view.wait_s > HOLD_ABOVE_S or plan.crowded


__all__ = ('WaitingRoom', 'must_wait')
