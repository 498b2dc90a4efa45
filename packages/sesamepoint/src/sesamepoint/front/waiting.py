"""Requests that wait at this entry for an engine."""

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

# Pause between two looks at the waiting requests, in seconds: short against
# the work of one prompt. After a look in vain the next one may come later:
# with hundreds of requests waiting, looking took all of the processor, and
# the leaving of callers was noticed half a second late.
LOOK_S = 0.005
VAIN_LOOK_S = 0.015
# When an engine becomes free, entries wait for a moment drawn from this span
# before one sends long work: without it, all that hold requests sent one each
# in the 7 ms that their words to each other take, and an engine that was to
# have 0.1 s of work had 0.3 to 0.8 s.
BACK_OFF_S = 0.04
# Requests of one route that are looked at in vain before the rest of the
# route waits for the next look; they would mostly find the same.
VAIN_LOOKS = 1
# A request that can't be on time waits for no more than this share of its
# time: what is let in should be served in any case, and a guess of a wait is
# off by half and more. Held for three quarters of it, most were still not
# served, and came back too late to be.
MAX_WAIT_SHARE = 0.4


class WaitingRoom:
    """Lets waiting requests go to engines, those that can be on time first.

    One task looks after all of them: with a timer each, a burst of some
    hundred would take the whole processor and starve what is under way.
    """

    def __init__(self, chooser: Chooser, sends: SendNotes, rng: Random) -> None:
        """Ask ``chooser`` for the ways, and tell peers through ``sends`` what is held."""
        self._chooser = chooser
        self._sends = sends
        self._rng = rng
        self._lines = Lines(chooser, sends.backlog)
        self._send_at: dict[str, float] = {}
        self._waiters: dict[Waiter, None] = {}
        self._somebody = trio.Event()

    def holds(self, job: Job, plan: EnginePlan) -> bool:
        """Tell whether a request that comes now with ``plan`` has to wait.

        Also if its prefill engine is free: others may wait for it since before.
        """
        if must_wait(plan):
            return True
        line = line_of(job, plan)
        if line.need is not Need.prefill:
            return False
        return any(waiter.line == line and not waiter.late for waiter in self._waiters)

    async def plan(self, job: Job, prompt: Prompt, cfg: Configuration, plan: EnginePlan) -> EnginePlan | None:
        """Wait until some engine has nearly got to the request; None if it is refused."""
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
        """Look after waiting requests until cancelled."""
        while True:
            await self._somebody.wait()
            let_go = await self._look()
            if not self._waiters:
                self._somebody = trio.Event()
            await trio.sleep(LOOK_S if let_go else VAIN_LOOK_S)

    def count(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    def wanting(self, runner: str) -> list[Job]:
        """Return the jobs that wait for a permit to be read at ``runner``."""
        return [one.job for one in self._waiters if one.waits_for_permit_of(runner)]

    def _refuses(self, waiter: Waiter) -> bool:
        """Turn away what would wait too long, with a time to come back."""
        line = [other for other in self._waiters if other.line == waiter.line]
        self._lines.receive(waiter, line)
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
        """Turn away a caller that came back only if it can't be served at all.

        Callers come back once or a few times. Refused again like those that
        come for the first time, 15 of 2,000 callers were never served on a
        quiet day, and 30 to 60 of 3,000 on days with trouble.
        """
        if waiter.expected_s <= waiter.spare_s and not waiter.too_late:
            return False
        waiter.refuse(waiter.expected_s)
        return True

    async def _look(self) -> bool:
        """Look at the last calls, those that can be on time, then the rest; tell if one went."""
        self._lines.sort(self._waiters)
        hopeless = [one for one in self._waiters if self._hopeless(one)]
        for waiter in hopeless:
            waiter.refuse(waiter.job.caller_left_s)
            self._release(waiter)
        last = await self._look_at([one for one in self._waiters if one.last_call])
        timely = await self._look_at([one for one in self._waiters if not one.late])
        late = await self._look_at(sorted((one for one in self._waiters if one.late), key=_large_last))
        self._lines.note(self._waiters)
        return last or timely or late

    def _hopeless(self, waiter: Waiter) -> bool:
        """Tell whether a request that was let in had better come back later.

        Those that can be on time go first. With late ones held behind them,
        half of the held were given up after 0.8 s, and their callers came
        back to the same burst; now they do so when it may be over. Held past
        its target a request has lost that chance, and its place would be worth
        nothing to its caller: it stays for as long as it can be answered.
        """
        if not waiter.late or not waiter.refusable:
            return False
        if waiter.job.returned or waiter.job.on_time_s <= 0:
            return waiter.too_late
        return not waiter.small and self._lines.rivals(waiter.line) > 0

    async def _look_at(self, waiters: Iterable[Waiter]) -> bool:
        vain: Counter[str] = Counter()
        let_go = False
        for waiter in waiters:
            route = waiter.job.route.name
            if vain[route] >= VAIN_LOOKS or waiter not in self._waiters:
                continue
            if self._try(waiter):
                let_go = True
                # Its work counts once it is sent: let that happen, lest the
                # next one finds the engine as free as this one did.
                await trio.lowlevel.checkpoint()
            else:
                vain[route] += 1
        return let_go

    def _try(self, waiter: Waiter) -> bool:
        """Let ``waiter`` go if it may."""
        plan = self._chooser.engine(waiter.job, waiter.prompt, waiter.cfg)
        waiter.plan = plan
        if plan is not None:
            waiter.take(plan)
            if not self._may_send(plan):
                return False
            if waiter.last_call:
                # At its late rank it would wait at the engine as well, behind
                # all that come after it and still can be on time.
                waiter.plan = plan._replace(rank=urgency(waiter.job))
        self._release(waiter)
        return True

    def _release(self, waiter: Waiter) -> None:
        waiter.due.set()
        self._waiters.pop(waiter, None)

    def _may_send(self, plan: EnginePlan) -> bool:
        """Tell whether the engine is free, and was so for a while drawn by lot."""
        reader = plan.view.runner
        if must_wait(plan):
            self._send_at.pop(reader, None)
            return False
        if plan.path.work_s < LONG_WORK_S:
            return True
        now = trio.current_time()
        send_at = self._send_at.setdefault(reader, now + self._rng.uniform(0, BACK_OFF_S))
        if now < send_at:
            return False
        self._send_at.pop(reader)
        return True


def _large_last(waiter: Waiter) -> bool:
    return not waiter.small


__all__ = ('WaitingRoom',)
