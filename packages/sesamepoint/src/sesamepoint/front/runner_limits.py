"""The limits that runners name in their answers, and the permits to send there."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import trio

from sesamepoint_core.runner_limit.belief import FIRST_SENDS
from sesamepoint_core.runner_limit.sharing import UNKNOWN_S, Sharing
from sesamepoint import events
from sesamepoint.front.runner_words import FROM_ANSWER

if TYPE_CHECKING:
    from random import Random

    from sesamepoint_core.serving.suspects import Start
    from sesamepoint.front.job import Job
    from sesamepoint.front.limit_words import AskWord, GrantWord
    from sesamepoint.front.member import Member

START_BITS = 50
# A runner may name another limit in each answer; there is one line a runner in
# this time, in seconds.
LINE_EVERY_S = 1.0
# A runner that has not answered yet mostly does so within this time, in seconds.
FIRST_ANSWER_S = 0.1


class RunnerLimits:
    """What is known of the limit of each start of a runner, and what may be sent there."""

    def __init__(self, entry: str, rng: Random) -> None:
        """Know of no limit; ``entry`` is this one's name."""
        # Set when there may be something to tell the others, or somebody to let go.
        self.fresh = trio.Event()
        self._entry = entry
        self._rng = rng
        self._start = rng.getrandbits(START_BITS)
        self._own_from = math.inf
        self._sharings: dict[Start, Sharing] = {}
        self._lines = _Lines()

    def begin(self) -> None:
        """Note that this instance starts now."""
        self._own_from = trio.current_time() + UNKNOWN_S

    def count(self) -> int:
        """Return how many runners name a limit."""
        return sum(self.limited(start) for start in self._sharings)

    def sharings(self) -> list[tuple[Start, Sharing]]:
        """Return all limits that are known."""
        return list(self._sharings.items())

    def limited(self, start: Start) -> bool:
        """Tell whether a runner names a limit, or has until lately."""
        return self._limiting(start) is not None

    def admits(self, member: Member, job: Job) -> bool:
        """Tell whether ``job`` may be sent to ``member`` now."""
        return member.in_flight < self.room(member) and self.has_permit(member.start, job)

    def room(self, member: Member) -> float:
        """Return how many requests ``member`` may have at a time, as long as it may name a limit any moment."""
        if member.answered or self.limited(member.start):
            return math.inf
        return FIRST_SENDS

    def has_permit(self, start: Start, job: Job) -> bool:
        """Tell whether there is a permit to send ``job`` to a runner, or it takes none."""
        sharing = self._limiting(start)
        return sharing is None or start in job.standing.permits or sharing.stock(trio.current_time()) > 0

    def set_aside(self, member: Member, job: Job) -> bool:
        """Set a permit aside if ``job`` takes one to be sent to ``member``; returns whether it may be."""
        start = member.start
        if start in job.standing.permits or self._limiting(start) is None:
            return True
        self.fresh.set()
        return self.reserve(start, job)

    def use(self, start: Start, job: Job) -> None:
        """Use a permit, as ``job`` is sent to the runner of ``start``."""
        if start in job.standing.permits:
            job.standing.permits.discard(start)
            return
        sharing = self._limiting(start)
        if sharing is not None:
            sharing.take(trio.current_time())
            self.fresh.set()

    def reserve(self, start: Start, job: Job) -> bool:
        """Set a permit aside for ``job``, if there is one."""
        sharing = self._sharings.get(start)
        if sharing is None or not sharing.take(trio.current_time()):
            return False
        job.standing.permits.add(start)
        return True

    def give_back(self, job: Job) -> None:
        """Take back the permits of a job that it has not used."""
        for start in job.standing.permits:
            sharing = self._sharings.get(start)
            if sharing is not None:
                sharing.put_back(trio.current_time())
        job.standing.permits.clear()

    def expected_rate(self, start: Start, priority: int) -> float | None:
        """Return the permits a second that requests of ``priority`` may expect; None if the runner names no limit."""
        sharing = self._limiting(start)
        return None if sharing is None else sharing.expected_rate(priority, trio.current_time())

    def place_s(self, start: Start) -> float:
        """Return the seconds from one request that the limit of a runner allows to the next; 0 without a limit."""
        sharing = self._sharings.get(start)
        rate = sharing.belief.allowed(trio.current_time()) if sharing else None
        return 1 / rate if rate else 0

    def permit_wait_s(self, member: Member, job: Job) -> float:
        """Return how long ``job`` may expect to wait for a permit for ``member``."""
        if self.admits(member, job):
            return 0
        rate = self.expected_rate(member.start, job.priority)
        if rate is None:
            return FIRST_ANSWER_S
        return 1 / rate if rate else math.inf

    def note_named(self, start: Start, rate: float) -> None:
        """Take the limit that an answer of a runner names."""
        if self._sharing(start).belief.named(rate, trio.current_time()):
            self._lines.told(start, rate, FROM_ANSWER, 0, ended=False)
            self.fresh.set()

    def note_silent(self, start: Start, sent_at: float) -> None:
        """Take that a good answer to a request of ``sent_at`` names no limit of its runner."""
        sharing = self._sharings.get(start)
        if sharing is not None and sharing.belief.unnamed(sent_at, trio.current_time()):
            self._lines.told(start, 0, FROM_ANSWER, 0, ended=True)
            self.fresh.set()

    def heard(self, word: AskWord | GrantWord) -> None:
        """Take the word of another instance."""
        told = word.word.told
        if word.start not in self._sharings and (told is None or told.ended):
            return
        if self._sharing(word.start).heard(word.entry, word.word, trio.current_time()) and told is not None:
            self._lines.told(word.start, told.rate, word.entry, told.age_s, ended=told.ended)
        self.fresh.set()

    def forget(self, start: Start, cause: str) -> None:
        """Drop what is known of a limit."""
        self._sharings.pop(start, None)
        self._lines.forget(start, cause)

    def _limiting(self, start: Start) -> Sharing | None:
        """Return how the limit of a runner is kept; None if it names none."""
        sharing = self._sharings.get(start)
        if sharing is None or sharing.belief.allowed(trio.current_time()) is None:
            return None
        return sharing

    def _sharing(self, start: Start) -> Sharing:
        found = self._sharings.get(start)
        if found is None:
            found = Sharing(self._entry, start.runner, self._start, self._own_from, self._rng.random())
            self._sharings[start] = found
        return found


class _Lines:
    """Writes what is learned of limits, bounded for each runner."""

    def __init__(self) -> None:
        self._told_at: dict[Start, float] = {}

    def told(self, start: Start, rate: float, source: str, age_s: float, *, ended: bool) -> None:
        if ended:
            events.log_event(events.LIMIT_ENDED, runner=start.runner, source=source, age_s=round(age_s, 3))
        elif self._due(self._told_at, start, LINE_EVERY_S):
            events.log_event(events.LIMIT_NAMED, runner=start.runner, rate=rate, source=source, age_s=round(age_s, 3))

    def forget(self, start: Start, cause: str) -> None:
        self._told_at.pop(start, None)
        events.log_event(events.LIMIT_FORGOTTEN, runner=start.runner, cause=cause)

    def _due(self, written: dict[Start, float], start: Start, every_s: float) -> bool:
        now = trio.current_time()
        if now - written.get(start, -math.inf) < every_s:
            return False
        written[start] = now
        return True


__all__ = ('RunnerLimits',)
